"""Settings file of a process: lines of the form ``a.b=value``."""

from __future__ import annotations

import math
import os
from pathlib import Path
from typing import Final

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import FailureDomainId, VmId
from catkinreach_core.settings.node import Address

from ..gateway.settings import GatewaySettings, SharedBounds

BOOT_VARIABLE: Final = 'CATKINREACH_BOOT'
MS_PER_S: Final = 1000.0
BYTES_PER_MEGABIT: Final = 125_000.0
BYTES_PER_MEGABYTE: Final = 1_000_000.0


class BootFile:
    """Reads the settings file and detects changes to it."""

    def __init__(self, path: Path) -> None:
        """Prepares the reader; nothing is read yet."""
        self._path = path
        self._text = ''

    @classmethod
    def from_environment(cls) -> BootFile:
        """Returns the file named by the environment variable."""
        return cls(Path(os.environ[BOOT_VARIABLE]))

    def read(self, metrics_port: int) -> GatewaySettings:
        """Reads the settings; the metrics port isn't part of the file.

        Raises:
            CatkinreachError: if a field is missing or malformed.
        """
        self._text = self._path.read_text(encoding='utf-8')
        return read_settings(self._text, metrics_port)

    def has_changed(self) -> bool:
        """Returns whether the file differs from the text last read."""
        return self._path.read_text(encoding='utf-8') != self._text


def read_settings(text: str, metrics_port: int) -> GatewaySettings:
    """Parses the text of a settings file.

    Raises:
        CatkinreachError: if a field is missing or malformed.
    """
    fields = dict(
        line.strip().split('=', 1)
        for line in text.splitlines()
        if '=' in line and not line.lstrip().startswith('#')
    )
    try:
        return _settings(fields, metrics_port)
    except (KeyError, ValueError) as error:
        raise CatkinreachError(
            ErrorKind.SETTINGS_INVALID,
            f'settings file: missing or malformed field: {error!r}',
        ) from error


def _settings(fields: dict[str, str], metrics_port: int) -> GatewaySettings:
    first_port = int(fields['internal-ports'].split(',')[0])
    own_host = fields['ip']
    seeds = [seed for seed in fields.get('seeds', '').split(',') if seed]
    return GatewaySettings(
        vm_id=VmId(fields['node-name']),
        domain_id=FailureDomainId(fields['zone']),
        host=own_host,
        caller_address=Address.from_text(fields['listen.front']),
        ready_address=Address.from_text(fields['listen.ready']),
        peer_address=Address(host=own_host, port=first_port),
        metrics_address=Address(host=own_host, port=metrics_port),
        store_address=Address.from_text(fields['platform.address']),
        # The seeds' ports belong to another service; only the host is used.
        peer_hosts=tuple(Address.from_text(seed).host for seed in seeds),
        bounds=_bounds(fields),
        link_bytes_per_s=_link_bytes_per_s(fields),
        memory_bytes=int(
            float(fields.get('limits.memory-mb', 0)) * BYTES_PER_MEGABYTE
        ),
    )


def _link_bytes_per_s(fields: dict[str, str]) -> float:
    """Returns the bandwidth of the link; infinite if it isn't known."""
    megabits_per_s = float(fields.get('limits.link-mbps', 0))
    return megabits_per_s * BYTES_PER_MEGABIT or math.inf


def _bounds(fields: dict[str, str]) -> SharedBounds:
    return SharedBounds(
        stop_grace_s=float(fields['bounds.grace-s']),
        apply_within_s=float(fields['bounds.config-apply-ms']) / MS_PER_S,
        repeat_ratio=float(fields['bounds.budget-ratio']),
        repeat_slack=float(fields['bounds.retry-slack']),
        repeat_window_s=float(fields['bounds.budget-window-s']),
        quota_window_s=float(fields['bounds.quota-window-s']),
        quota_excess_ratio=float(fields['bounds.quota-over']),
        quota_slack=float(fields['bounds.quota-slack']),
    )


__all__ = ('BootFile', 'read_settings')
