"""Random pairs of faults under load, with every check afterwards."""

from __future__ import annotations
