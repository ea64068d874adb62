"""Tests of the loader of a node's start-up settings."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import json

from catkinreach_core.settings import SettingsError, load_node

EXAMPLES = Path(__file__).parents[4] / 'examples'
NODE = (EXAMPLES / 'ninepatch' / 'vm-1.ini').read_text('utf-8')


def faults_of(text: str) -> list[tuple[int, str]]:
    with pytest.raises(SettingsError) as caught:
        load_node(text, source='vm.ini')
    return [(fault.line, fault.option) for fault in caught.value.faults]


@pytest.mark.parametrize(
    ('example', 'count'), [('ninepatch', 6), ('dar-el-qarmid', 8)]
)
def test_example_nodes_match_the_vm_list(example: str, count: int) -> None:
    vms = json.decode((EXAMPLES / example / 'vms.json').read_bytes())
    assert len(vms) == count
    for vm in vms:
        path = EXAMPLES / example / f'{vm["id"]}.ini'
        node = load_node(path.read_text('utf-8'), source=path.name)
        assert node.vm_id == vm['id']
        assert node.domain_id == vm['failure_domain']
        assert str(node.peer_address) == vm['peer_address']


def test_each_missing_required_option_is_reported() -> None:
    assert len(faults_of('[node]\n')) == 7
    assert faults_of('') == [(1, '')]


def test_duplicate_listener_address_is_refused() -> None:
    text = NODE.replace('18101', '18001')
    assert faults_of(text) == [(5, 'operator_address')]


def test_incomplete_tls_options_are_refused() -> None:
    faults = faults_of('[tls]\npeer_authority = a\ncaller_key = k\n' + NODE)
    assert faults == [(1, 'caller_certificate'), (2, 'peer_authority')]


def test_empty_options_turn_features_off() -> None:
    node = load_node(
        f'{NODE}[traces]\nfile =\ncollector =\n[tls]\npeer_key =\n',
        source='vm.ini',
    )
    assert not node.traces.file
    assert not node.peer_tls.key


@given(text=st.text(), before=st.sampled_from(['', NODE]))
@settings(deadline=None, derandomize=True, max_examples=200)
def test_random_text_loads_or_is_refused(text: str, before: str) -> None:
    try:
        load_node(before + text, source='vm.ini')
    except SettingsError as error:
        is_explained = bool(error.faults)
    else:
        is_explained = True
    assert is_explained
