"""Settings file of a gateway process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.settings.node import Address
from catkinreach_node.platform.boot import BootFile, read_settings

if TYPE_CHECKING:
    from pathlib import Path

TEXT = """\
node-name=front-1
zone=zone-a
ip=10.1.0.25
listen.front=10.1.0.25:8221
listen.ready=10.1.0.25:8224
internal-ports=7600,7615
seeds=10.1.0.25:8229,10.2.0.17:8229
platform.address=10.200.1.7:8225
bounds.grace-s=8
bounds.budget-ratio=0.2
bounds.retry-slack=58
bounds.budget-window-s=10
bounds.quota-window-s=8
bounds.config-apply-ms=2000
bounds.quota-over=0.25
bounds.quota-slack=190000
limits.link-mbps=10.0
unknown.field=some other text
"""
METRICS_PORT = 9464


def test_settings_file_is_parsed() -> None:
    settings = read_settings(TEXT, METRICS_PORT)
    assert settings.vm_id == 'front-1'
    assert settings.caller_address == Address(host='10.1.0.25', port=8221)
    assert settings.peer_address.port == 7600
    assert settings.peer_hosts == ('10.1.0.25', '10.2.0.17')
    assert settings.bounds.stop_grace_s == 8
    assert settings.link_bytes_per_s == 1_250_000


def test_bandwidth_of_the_link_may_be_unknown() -> None:
    settings = read_settings(
        TEXT.replace('limits.link-mbps=10.0\n', ''), METRICS_PORT
    )
    assert math.isinf(settings.link_bytes_per_s)


@pytest.mark.parametrize(
    ('line', 'wrong'),
    [
        ('ip=10.1.0.25\n', ''),
        ('bounds.grace-s=8', 'bounds.grace-s=soon'),
        ('listen.front=10.1.0.25:8221', 'listen.front=8221'),
    ],
)
def test_missing_or_malformed_field_is_an_error(line: str, wrong: str) -> None:
    with pytest.raises(CatkinreachError):
        read_settings(TEXT.replace(line, wrong), METRICS_PORT)


def test_change_of_the_file_is_detected(tmp_path: Path) -> None:
    path = tmp_path / 'boot.conf'
    path.write_text(TEXT)
    boot = BootFile(path)
    boot.read(METRICS_PORT)
    assert not boot.has_changed()
    path.write_text(TEXT.replace(',10.2.0.17:8229', ''))
    assert boot.has_changed()


# A value that was cut off was taken for another one.
def test_settings_without_a_last_newline_are_read_twice(tmp_path: Path) -> None:
    path = tmp_path / 'boot.conf'
    path.write_text(TEXT.rstrip())
    boot = BootFile(path)
    with pytest.raises(CatkinreachError):
        boot.read(METRICS_PORT)
    assert boot.read(METRICS_PORT) == read_settings(TEXT, METRICS_PORT)
