"""Which upstreams may get a request once more, and how often."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest

from catkinreach_core.gateway.retry_budget import SLACK_USE, RetryBudget
from catkinreach_core.ids import RequestId, ServiceId
from catkinreach_node.gateway.attempts import Attempts
from catkinreach_node.gateway.send_failure import SendFailure
from catkinreach_node.http.connection import ConnectError
from catkinreach_standins.fakes.gateway import make_upstream
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import Candidate
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId
    from catkinreach_node.gateway.admitted_request import AdmittedRequest
    from catkinreach_node.gateway.exchange import Reply
    from catkinreach_node.gateway.upstream_checks import UpstreamChecks

CHECK_S = 0.02
WINDOW_S = 10.0
MAX_ATTEMPTS = 2
SILENT, OTHER, THIRD = map(make_upstream, ('silent', 'other', 'third'))


def _make_attempts() -> Attempts:
    """Returns the sends of a request that went to a silent upstream."""
    admitted = SimpleNamespace(
        route=SimpleNamespace(is_retryable=True, max_attempts=MAX_ATTEMPTS),
        metadata=SimpleNamespace(request_id=RequestId('one')),
        deadline_s=math.inf,
        service=SimpleNamespace(service_id=ServiceId('models')),
        suspect_keys=(),
    )
    attempts = Attempts(idle_node(), cast('AdmittedRequest', admitted))
    attempts.count_send()
    attempts.record_failure_after_send(SILENT, SendFailure.SILENT)
    attempts.readmit(SILENT)
    attempts.count_send()
    return attempts


def _refuse(attempts: Attempts, upstream: Upstream) -> None:
    metadata = SimpleNamespace(
        is_misdirected=False, is_from_other_upstream=lambda _: False
    )
    reply = SimpleNamespace(upstream=upstream, metadata=metadata, status=503)
    attempts.record_refusal(cast('Reply', reply))


def _usable(attempts: Attempts) -> list[UpstreamId]:
    candidates = [
        SimpleNamespace(known=SimpleNamespace(upstream=upstream))
        for upstream in (SILENT, OTHER, THIRD)
    ]
    found = attempts.usable(cast('list[Candidate]', candidates))
    return [one.known.upstream.upstream_id for one in found]


def test_only_silent_upstream_replaces_a_refused_send() -> None:
    attempts = _make_attempts()
    _refuse(attempts, OTHER)
    assert attempts.can_retry
    assert _usable(attempts) == [SILENT.upstream_id]


@pytest.mark.parametrize('failure', [SendFailure.BROKEN, SendFailure.SILENT])
def test_lost_replacement_ends_the_request_of_a_silent_upstream(
    failure: SendFailure,
) -> None:
    # The silent one had been healthy, and nothing else was tried.
    attempts = _make_attempts()
    attempts.record_failure_after_send(OTHER, failure)
    assert attempts.can_retry
    assert _usable(attempts) == [SILENT.upstream_id]
    attempts.count_send()
    attempts.readmit(OTHER)
    assert not attempts.can_retry


def test_silent_upstreams_take_turns() -> None:
    # Each would be given up for the other one, and get the request anew.
    attempts = _make_attempts()
    assert attempts.can_replace
    attempts.set_aside(OTHER)
    assert _usable(attempts) == [SILENT.upstream_id]
    attempts.count_send()
    attempts.readmit(OTHER)
    assert not attempts.can_replace


def test_lost_upstream_gets_a_request_beyond_the_attempts() -> None:
    attempts = _make_attempts()
    attempts.record_failure_after_send(OTHER, SendFailure.BROKEN)
    attempts.record_failure_after_send(SILENT, SendFailure.BROKEN)
    assert not attempts.can_retry
    assert not attempts.can_replace


def test_crash_check_of_one_upstream_is_not_waited_for() -> None:
    # Only the last check was kept, and the request was sent again meanwhile.
    async def run() -> None:
        attempts = _make_attempts()
        gates = {one.upstream_id: asyncio.Event() for one in (SILENT, OTHER)}

        async def confirm_crash(upstream: Upstream, _: object) -> int:
            await gates[upstream.upstream_id].wait()
            return 0

        checks = SimpleNamespace(confirm_crash=confirm_crash)
        attempts._node.checks = cast('UpstreamChecks', checks)
        for upstream in (SILENT, OTHER):
            attempts.record_lost(upstream, SendFailure.BROKEN, 'lost')
        finishing = asyncio.ensure_future(attempts.finish_crash_check())
        gates[OTHER.upstream_id].set()
        await asyncio.sleep(CHECK_S)
        assert not finishing.done()
        gates[SILENT.upstream_id].set()
        await finishing

    asyncio.run(run())


def test_silent_upstream_gets_one_more_send() -> None:
    attempts = _make_attempts()
    _refuse(attempts, OTHER)
    attempts.count_send()
    _refuse(attempts, SILENT)
    assert not attempts.can_retry


# Nothing had been sent, but the retry was spent: a stream whose engine had been
# given up for the one that can't be connected to went nowhere.
def test_failed_connect_spends_a_retry() -> None:
    attempts = _make_attempts()
    attempts._node.retry_budget = RetryBudget(
        ratio=0.0, slack=1 / SLACK_USE, window_s=WINDOW_S
    )
    assert attempts.try_hold_retries()
    for _ in range(2):
        assert attempts.try_acquire_send()
        attempts.count_send()
        attempts.record_unreachable(OTHER, ConnectError('silent'))
