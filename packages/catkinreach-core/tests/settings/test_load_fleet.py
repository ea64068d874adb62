"""Tests of the loader of the fleet settings."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinreach_core.errors import ErrorKind
from catkinreach_core.ids import Revision
from catkinreach_core.settings import SettingsError, SettingsFault, load_fleet
from catkinreach_core.settings.fleet import FleetSettings

EXAMPLES = Path(__file__).parents[4] / 'examples'
BASE = """\
[failure-domain zone]
[pool early]
role = prefill
[pool late]
role = decode
[pool desk]
role = plain
[service shop]
kind = plain
pool = desk
"""
BASE_LINES = BASE.count('\n')


def load(text: str) -> FleetSettings:
    return load_fleet(text, revision=Revision(7), source='fleet.ini')


def faults_of(text: str) -> list[tuple[int, str, str]]:
    """Returns line, option and message of each fault in ``BASE + text``.

    Lines are counted from the end of ``BASE``.
    """
    with pytest.raises(SettingsError) as caught:
        load(BASE + text)
    return [
        (fault.line - BASE_LINES, fault.option, str(fault))
        for fault in caught.value.faults
    ]


def only_fault(text: str) -> tuple[int, str, str]:
    (fault,) = faults_of(text)
    return fault


@pytest.mark.parametrize(
    ('example', 'upstreams', 'routes'),
    [('ninepatch', 8, 6), ('dar-el-qarmid', 10, 5)],
)
def test_example_loads(example: str, upstreams: int, routes: int) -> None:
    fleet = load((EXAMPLES / example / 'fleet.ini').read_text('utf-8'))
    assert fleet.revision == 7
    assert len(fleet.upstreams) == upstreams
    assert len(fleet.routes) == routes
    assert len(fleet.workspaces) == 5
    assert any(service.depends_on for service in fleet.services.values())


def test_empty_text_takes_defaults() -> None:
    assert load('') == FleetSettings(revision=Revision(7))


def test_all_faults_are_reported_at_once_with_lines() -> None:
    with pytest.raises(SettingsError) as caught:
        load(
            'stray = 1\n'
            '[poool x]\n'
            '[pool a]\n'
            'role = plian\n'
            'foo\n'
            'role = plain\n'
            '[pool a]\n'
            'rolle = plain\n'
            '[queue]\n'
            'max_age_s = soon\n'
            'max_tokens = 0\n'
            '[fleet\n'
        )
    lines = [fault.line for fault in caught.value.faults]
    assert lines == [1, 2, 4, 5, 6, 7, 7, 8, 10, 11, 12]
    assert caught.value.kind is ErrorKind.SETTINGS_INVALID
    assert str(caught.value).splitlines()[2] == (
        'fleet.ini:4 [pool a] role: '
        "expected one of prefill, decode, plain, found 'plian'"
    )


def test_faults_suggest_nearest_names() -> None:
    words = [words for _, _, words in faults_of('[quue]\n[queue]\nmax_age=1\n')]
    assert 'Did you mean queue?' in words[0]
    assert 'Did you mean max_age_s?' in words[1]


def test_unknown_references_suggest_nearest_names() -> None:
    faults = faults_of(
        '[upstream u]\npool = dsk\naddress = 127.0.0.1:1\n'
        'failure_domain = zon\n'
        '[route r]\nservice = shp\npath = /r\n'
        '[service s]\nkind = plain\npool = desc\ndepends_on = shop, shops\n'
    )
    assert [fault[:2] for fault in faults] == [
        (2, 'pool'),
        (4, 'failure_domain'),
        (6, 'service'),
        (10, 'pool'),
        (11, 'depends_on'),
    ]
    assert faults[0][2].endswith('Did you mean desk?')


def test_section_with_faults_counts_as_defined() -> None:
    """A section with faults causes no more faults in sections that name it."""
    line, option, _ = only_fault(
        '[pool odd]\nrole = odd\n[service s]\nkind = plain\npool = odd\n'
    )
    assert (line, option) == (2, 'role')


def test_each_dependency_cycle_is_reported() -> None:
    plain = 'kind = plain\npool = desk\n'
    faults = faults_of(
        f'[service a]\n{plain}depends_on = b\n'
        f'[service b]\n{plain}depends_on = c\n'
        f'[service c]\n{plain}depends_on = a\n'
        f'[service self]\n{plain}depends_on = self\n'
    )
    assert [option for _, option, _ in faults] == ['depends_on'] * 2
    cycles = {message.rpartition('the cycle ')[2] for _, _, message in faults}
    assert 'self -> self' in cycles
    assert cycles & {'a -> b -> c -> a', 'b -> c -> a -> b', 'c -> a -> b -> c'}


@pytest.mark.parametrize(
    ('options', 'expected'),
    [
        ('kind = model\n', [(1, 'prefill_pool'), (1, 'decode_pool')]),
        ('kind = plain\n', [(1, 'pool')]),
        ('kind = plain\npool = late\n', [(3, 'pool')]),
        (
            'kind = model\nprefill_pool = late\ndecode_pool = early\n',
            [(3, 'prefill_pool'), (4, 'decode_pool')],
        ),
        (
            'kind = plain\npool = desk\nprefill_pool = early\n',
            [(4, 'prefill_pool')],
        ),
    ],
)
def test_service_pools_match_its_kind(
    options: str, expected: list[tuple[int, str]]
) -> None:
    faults = faults_of(f'[service s]\n{options}')
    assert [fault[:2] for fault in faults] == expected


def test_duplicate_upstream_address_is_refused() -> None:
    upstream = 'pool = desk\nfailure_domain = zone\naddress = 10.0.0.1:80\n'
    line, option, message = only_fault(
        f'[upstream u]\n{upstream}[upstream v]\n{upstream}'
    )
    assert (line, option) == (8, 'address')
    assert 'upstream u' in message


def test_key_of_two_workspaces_is_refused() -> None:
    limits = (
        'requests_per_s = 1\nrequest_burst = 1\n'
        'tokens_per_s = 1\ntoken_burst = 1\n'
        f'key_digests = sha256:{"a" * 64}\n'
    )
    line, option, message = only_fault(
        f'[workspace w]\n{limits}[workspace x]\n{limits}'
    )
    assert (line, option) == (12, 'key_digests')
    assert 'workspace w' in message


def test_duplicate_route_is_refused() -> None:
    line, option, _ = only_fault(
        '[route r]\nservice = shop\npath = /r\nmethods = GET, POST\n'
        '[route s]\nservice = shop\npath = /r\nmethods = POST\n'
    )
    assert (line, option) == (7, 'path')


def test_model_route_with_repeatable_no_is_refused() -> None:
    line, option, _ = only_fault(
        '[service m]\nkind = model\nprefill_pool = early\ndecode_pool = late\n'
        '[route r]\nservice = m\npath = /r\nrepeatable = no\n'
    )
    assert (line, option) == (8, 'repeatable')


@pytest.mark.parametrize(
    ('section', 'line'),
    [
        ('[fleet]\nmax_nodes = 0\n', 2),
        ('[targets]\nfirst_token_s = nan\n', 2),
        ('[queue]\nmax_age_s = 2 days\n', 2),
        ('[failure-domain z]\nstate = gone\n', 2),
        ('[pool]\nrole = plain\n', 1),
        ('[fleet main]\n', 1),
    ],
)
def test_invalid_value_is_refused(section: str, line: int) -> None:
    assert only_fault(section)[0] == line


def test_weight_of_zero_is_refused() -> None:
    faults = faults_of('[workspace w]\nweight = 0\n')
    assert (2, 'weight') in [fault[:2] for fault in faults]
    assert len(faults) == 5


@pytest.mark.parametrize('address', ['localhost:80', '10.0.0.1', '10.0.0.1:0'])
def test_address_without_ip_or_port_is_refused(address: str) -> None:
    line, option, _ = only_fault(
        '[upstream u]\npool = desk\nfailure_domain = zone\n'
        f'address = {address}\n'
    )
    assert (line, option) == (4, 'address')


def test_fault_messages_contain_no_key() -> None:
    faults = faults_of(
        '[workspace w]\nkey_digests = raw-key\nkey_digests = raw-key\nraw-key\n'
    )
    assert not any('raw-key' in message for _, _, message in faults)


def test_text_over_the_size_limit_is_refused() -> None:
    with pytest.raises(SettingsError, match='at most 1000000 bytes'):
        load('#' * 1_000_001)


FRAGMENTS = st.sampled_from([
    '[', ']', '=', ':', '\n', ' ', '#', ',', '\u2028', 'pool', 'service',
    'a', 'b', 'depends_on', 'kind', 'plain', 'model', 'role', 'upstream',
    'address', '127.0.0.1:1', 'route', 'path', '/', 'fleet', 'workspace',
])  # fmt: skip
HEADERS = st.sampled_from([
    '[service a]\nkind=plain\n', '[service b]\nkind=model\n', '[fleet]\n',
    '[pool a]\nrole=plain\n', 'depends_on=a,b\n', 'pool=a\n', '[queue]\n',
])  # fmt: skip


@given(
    text=st.one_of(
        st.text(), st.lists(st.one_of(FRAGMENTS, HEADERS)).map(''.join)
    )
)
@settings(deadline=None, derandomize=True, max_examples=400)
def test_random_text_loads_or_is_refused(text: str) -> None:
    faults: tuple[SettingsFault, ...] = ()
    try:
        load(text)
    except SettingsError as error:
        faults = error.faults
        is_refused = True
    else:
        is_refused = False
    assert is_refused == bool(faults)
    assert all(fault.line >= 1 for fault in faults)
