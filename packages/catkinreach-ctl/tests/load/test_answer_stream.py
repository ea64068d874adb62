"""Completeness and token times of parsed completion streams."""

from __future__ import annotations

import pytest

from catkinreach_core.ids import WorkspaceId
from catkinreach_ctl.load.answer_stream import AnswerReader
from catkinreach_ctl.load.observation import Observation
from catkinreach_ctl.load.plan import PlannedRequest
from catkinreach_ctl.load.workload import RequestClass, RequestKind

TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"%b "}}]}\n\n'
FINISH = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}\n\n'
)
DONE = b'data: [DONE]\n\n'
ERROR = b'event: error\ndata: {"code":"upstream-failed"}\n\n'


@pytest.fixture
def observation() -> Observation:
    planned = PlannedRequest(
        at_s=0.5,
        workspace_id=WorkspaceId('one'),
        request_class=RequestClass(
            name='c', kind=RequestKind.MODEL, share=1, path='/'
        ),
        body=b'',
        prompt=(1,),
        output_tokens=2,
        salt=0,
    )
    return Observation(planned=planned, sent_at_s=0.6)


def test_first_token_time_counts_from_intended_send_time(
    observation: Observation,
) -> None:
    reader = AnswerReader(observation)
    reader.feed(TOKEN % b'a', 1.0)
    reader.feed(TOKEN % b'b' + FINISH + DONE, 1.25)
    assert reader.text == 'a b '
    assert not reader.fault
    assert observation.first_token_s == pytest.approx(0.5)
    assert observation.gaps_s == [pytest.approx(0.25)]


def test_event_split_over_chunks_is_parsed(observation: Observation) -> None:
    reader = AnswerReader(observation)
    whole = TOKEN % b'a' + FINISH + DONE
    for start in range(0, len(whole), 7):
        reader.feed(whole[start : start + 7], 1.0)
    assert reader.text == 'a '
    assert not reader.fault


@pytest.mark.parametrize(
    ('stream', 'fault'),
    [
        (TOKEN % b'a' + FINISH, 'cut-short'),
        (TOKEN % b'a' + DONE, 'cut-short'),
        (TOKEN % b'a' + FINISH + DONE + DONE, 'cut-short'),
        (TOKEN % b'a' + FINISH + DONE + b'data', 'cut-short'),
        (TOKEN % b'a' + ERROR, 'upstream-failed'),
    ],
)
def test_incomplete_stream_has_fault(
    observation: Observation, stream: bytes, fault: str
) -> None:
    reader = AnswerReader(observation)
    reader.feed(stream, 1.0)
    assert reader.fault == fault
