"""Documents that the command line can't read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_core.documents import DocumentError
from catkinreach_core.ids import WorkspaceId
from catkinreach_core.settings.node import Address
from catkinreach_ctl.exit_codes import ExitCode
from catkinreach_ctl.load.answer_stream import AnswerReader
from catkinreach_ctl.load.caller import _record_refusal
from catkinreach_ctl.load.observation import Observation
from catkinreach_ctl.load.plan import PlannedRequest
from catkinreach_ctl.load.workload import RequestClass, RequestKind
from catkinreach_ctl.log_reading.lines import read_lines
from catkinreach_ctl.operator_client import _refusal_text
from catkinreach_ctl.run import parse_arguments

if TYPE_CHECKING:
    from pathlib import Path

DEPTH = 100_000
NESTED = b'{"event":"a","time":1,"x":' + b'[' * DEPTH + b']' * DEPTH + b'}'
"""Too deep for the JSON decoder of every Python."""

LINE = b'{"event":"answered","time":1}'


@pytest.fixture
def observation() -> Observation:
    request_class = RequestClass(
        name='c', kind=RequestKind.MODEL, share=1, path='/'
    )
    planned = PlannedRequest(
        at_s=0.5,
        workspace_id=WorkspaceId('one'),
        request_class=request_class,
        body=b'',
        prompt=(1,),
        output_tokens=2,
        salt=0,
    )
    return Observation(planned=planned, sent_at_s=0.6)


# One such line ended `explain`, whatever the other lines said.
def test_nested_log_line_ends_explain() -> None:
    skipped, line = read_lines('front', [NESTED, LINE])
    assert skipped is None
    assert line is not None
    assert line.event == 'answered'


def test_nested_refusal_ends_an_operator_command() -> None:
    text = _refusal_text(Address(host='127.0.0.1', port=1), 503, NESTED)
    assert '503 unknown' in text


# The load tool records such an answer as unreadable, and goes on.
def test_nested_answer_ends_the_load_tool(observation: Observation) -> None:
    reader = AnswerReader(observation)
    with pytest.raises(DocumentError):
        reader.read_body(NESTED, 1.0)
    with pytest.raises(DocumentError):
        reader.feed(b'data: ' + NESTED + b'\n\n', 1.0)
    with pytest.raises(DocumentError):
        _record_refusal(observation, NESTED)


def test_nested_experiment_ends_report(tmp_path: Path) -> None:
    file = tmp_path / 'experiment.json'
    file.write_bytes(NESTED)
    options = parse_arguments(['catkinreach', 'report', str(file)])
    assert options.run(options) == ExitCode.SETTINGS
