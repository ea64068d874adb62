"""Randomized soak test of front processes under external faults.

A seed determines the faults of a run. Afterwards the calls, the requests at
upstreams and the logs are checked against invariants.
"""

from __future__ import annotations
