"""Settings of the fleet and of a node: typed records, loaders and checks."""

from __future__ import annotations

from .faults import SettingsError, SettingsFault
from .load_fleet import load_fleet
from .load_node import load_node

__all__ = ('SettingsError', 'SettingsFault', 'load_fleet', 'load_node')
