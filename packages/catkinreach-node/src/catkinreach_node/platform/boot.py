"""Settings file of a process: lines of the form ``a.b=value``."""

from __future__ import annotations

import math
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import FailureDomainId, VmId
from catkinreach_core.ranges import MAX_COUNT
from catkinreach_core.settings.node import Address

from ..gateway.settings import GatewaySettings, SharedBounds
from .addresses import read_address

if TYPE_CHECKING:
    from collections.abc import Callable

BOOT_VARIABLE: Final = 'CATKINREACH_BOOT'
MS_PER_S: Final = 1000.0
BYTES_PER_MEGABIT: Final = 125_000.0
BYTES_PER_MEGABYTE: Final = 1_000_000.0

SETTINGS_WAIT_S: Final = 30.0
"""Time that the file may take until it can be read when a process starts."""

SETTINGS_POLL_S: Final = 0.1


class BootFile:
    """Reads the settings file and detects changes to it."""

    def __init__(self, path: Path) -> None:
        """Prepares the reader; nothing is read yet."""
        self._path = path
        self._text = ''
        self._unfinished_text = ''

    @classmethod
    def from_environment(cls) -> BootFile:
        """Returns the file named by the environment variable."""
        return cls(Path(os.environ[BOOT_VARIABLE]))

    def read(self, metrics_port: int) -> GatewaySettings:
        """Reads the settings; the metrics port isn't part of the file.

        Raises:
            CatkinreachError: if a field is missing or malformed, or the file
                is still being written.
            OSError: if it can't be read.
        """
        text = self._read_text()
        self._check_is_finished(text)
        self._text = text
        return read_settings(text, metrics_port)

    def wait_and_read(
        self, metrics_port: int, on_wait: Callable[[Exception], None]
    ) -> GatewaySettings:
        """Reads the settings; blocks while the file is missing or not whole.

        Args:
            metrics_port: Port of the metrics, which isn't part of the file.
            on_wait: Called once, with the reason, if it has to wait.

        Raises:
            CatkinreachError: if a field is still missing or malformed after
                ``SETTINGS_WAIT_S``.
            OSError: if the file can't be read then.
        """
        until_s = time.monotonic() + SETTINGS_WAIT_S
        is_waiting = False
        while True:
            try:
                return self.read(metrics_port)
            except (OSError, CatkinreachError) as error:
                if time.monotonic() > until_s:
                    raise
                if not is_waiting:
                    on_wait(error)
            is_waiting = True
            time.sleep(SETTINGS_POLL_S)

    def has_changed(self) -> bool:
        """Returns whether the file differs from the text last read."""
        return self._read_text() != self._text

    def _check_is_finished(self, text: str) -> None:
        """Checks that nothing is missing at the end of a text.

        A text without a newline at its end must have been read twice: a value
        that is cut off may be another valid value.

        Raises:
            CatkinreachError: if the text may go on.
        """
        if text.endswith('\n') or text == self._unfinished_text:
            return
        self._unfinished_text = text
        raise CatkinreachError(
            ErrorKind.SETTINGS_INVALID,
            'settings file: the last line has no end and may go on',
        )

    def _read_text(self) -> str:
        """Returns the text; bytes that are no UTF-8 are malformed values."""
        return self._path.read_text(encoding='utf-8', errors='replace')


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
    first_port = fields['internal-ports'].split(',')[0]
    own_host = fields['ip']
    seeds = [seed for seed in fields.get('seeds', '').split(',') if seed]
    return GatewaySettings(
        vm_id=VmId(fields['node-name']),
        domain_id=FailureDomainId(fields['zone']),
        host=own_host,
        caller_address=read_address(fields['listen.front']),
        ready_address=read_address(fields['listen.ready']),
        peer_address=read_address(f'{own_host}:{first_port}'),
        metrics_address=Address(host=own_host, port=metrics_port),
        store_address=read_address(fields['platform.address']),
        # The seeds' ports belong to another service; only the host is used.
        peer_hosts=tuple(Address.from_text(seed).host for seed in seeds),
        bounds=_bounds(fields),
        link_bytes_per_s=_link_bytes_per_s(fields),
        memory_bytes=int(
            _number(fields.get('limits.memory-mb', '0')) * BYTES_PER_MEGABYTE
        ),
        max_descriptors=int(_number(fields.get('limits.max-fds', '0'))),
    )


def _link_bytes_per_s(fields: dict[str, str]) -> float:
    """Returns the bandwidth of the link; infinite if it isn't known."""
    megabits_per_s = _number(fields.get('limits.link-mbps', '0'))
    return megabits_per_s * BYTES_PER_MEGABIT or math.inf


def _bounds(fields: dict[str, str]) -> SharedBounds:
    return SharedBounds(
        stop_grace_s=_number(fields['bounds.grace-s']),
        apply_within_s=_number(fields['bounds.config-apply-ms']) / MS_PER_S,
        repeat_ratio=_number(fields['bounds.budget-ratio']),
        repeat_slack=_number(fields['bounds.retry-slack']),
        repeat_window_s=_number(fields['bounds.budget-window-s']),
        quota_window_s=_number(fields['bounds.quota-window-s']),
        quota_excess_ratio=_number(fields['bounds.quota-over']),
        quota_slack=_number(fields['bounds.quota-slack']),
    )


def _number(text: str) -> float:
    """Returns a number from 0 to ``MAX_COUNT``.

    Raises:
        ValueError: if it isn't one.
    """
    number = float(text)
    if not 0 <= number <= MAX_COUNT:
        raise ValueError(f'number out of range: {text!r}')
    return number


__all__ = ('BootFile', 'read_settings')
