"""Rate limit refusals, classified by the exact reference limiter."""

from __future__ import annotations

from catkinreach_core.ids import WorkspaceId
from catkinreach_core.settings.fleet import Workspace
from catkinreach_ctl.load.observation import Observation, Verdict
from catkinreach_ctl.load.plan import PlannedRequest
from catkinreach_ctl.load.reference_limiter import count_wrongful_refusals
from catkinreach_ctl.load.workload import RequestClass, RequestKind

WORKSPACE = Workspace(
    workspace_id=WorkspaceId('one'),
    requests_per_s=1,
    request_burst=2,
    tokens_per_s=100,
    token_burst=1000,
)
REQUEST_CLASS = RequestClass(
    name='c', kind=RequestKind.MODEL, share=1, path='/'
)


def _observation(
    at_s: float, verdict: Verdict, code: str = '', tokens: int = 100
) -> Observation:
    planned = PlannedRequest(
        at_s=at_s,
        workspace_id=WORKSPACE.workspace_id,
        request_class=REQUEST_CLASS,
        body=b'',
        prompt=(1,) * (tokens // 2),
        output_tokens=tokens // 2,
        salt=0,
    )
    return Observation(
        planned=planned,
        sent_at_s=at_s,
        ended_at_s=at_s + 0.01,
        verdict=verdict,
        code=code,
        token_count=tokens // 2,
    )


def test_refusal_within_burst_is_wrongful() -> None:
    observations = [
        _observation(0, Verdict.ANSWERED),
        _observation(0.1, Verdict.REFUSED, 'rate-limited'),
    ]
    assert count_wrongful_refusals(WORKSPACE, observations) == 1


def test_refusal_beyond_burst_is_not_wrongful() -> None:
    observations = [
        _observation(0, Verdict.ANSWERED),
        _observation(0.1, Verdict.ANSWERED),
        _observation(0.2, Verdict.REFUSED, 'rate-limited'),
        _observation(1.5, Verdict.REFUSED, 'rate-limited'),
    ]
    assert count_wrongful_refusals(WORKSPACE, observations) == 1


def test_token_limit_is_checked() -> None:
    observations = [
        _observation(0, Verdict.ANSWERED, tokens=1000),
        _observation(0.5, Verdict.REFUSED, 'rate-limited', tokens=200),
        _observation(5, Verdict.REFUSED, 'rate-limited', tokens=200),
    ]
    assert count_wrongful_refusals(WORKSPACE, observations) == 1


def test_refusal_with_another_code_is_not_counted() -> None:
    observations = [_observation(0, Verdict.REFUSED, 'queue-full')]
    assert count_wrongful_refusals(WORKSPACE, observations) == 0
