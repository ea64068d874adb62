"""VMs that are cut off from all upstreams, but not from callers and peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.ids import RequestId, UpstreamId
from catkinreach_node.gateway.relay_messages import (
    OUTCOME_HEADER,
    RelayOutcome,
    RelayTarget,
    read_outcome,
    wrap_request,
)
from catkinreach_node.http.connection import ConnectError, ExchangeError
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.gateway_fleet import running_fleet
from catkinreach_standins.platform.upstream import EVENT_COUNT
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.gateway_fleet import FleetGateway

VMS = 3
DETECTION_TRIES = 8
DETECTION_S = 1.0
"""Time after the cut in which requests may fail; the least stable window of a
deployment is 3 s."""

RETURN_TIMEOUT_S = 3.0
TRIES = 10
LEAVES_AFTER_S = 0.1
FROZEN_S = 4.0
LEFT_WITHIN_S = 0.5
PAUSE_S = 1.2
"""Longer than a stopping VM waits for callers that are on their way, and within
its grace."""


async def _call(
    deployment: Deployment, gateway: FleetGateway, request: HttpRequest
) -> tuple[int, bytes]:
    """Returns the status and what came of the body."""
    body = b''
    async with deployment.client.exchange(
        gateway.caller_address, request, is_new_connection=True
    ) as response:
        try:
            async for data in response.chunks():
                body += data
        except ExchangeError:
            return 0, body
        return response.status, body


def _plain(deployment: Deployment, kind: str) -> HttpRequest:
    if kind == 'read':
        return deployment.make_request('/read/')
    return deployment.make_request('/order/', method='POST', body=b'x')


def _stream(deployment: Deployment) -> HttpRequest:
    return deployment.make_request(
        '/stream/', method='POST', body=b'prompt', token_count='300,100'
    )


async def _cut_off(
    deployment: Deployment,
    gateways: list[FleetGateway],
    *,
    is_refused: bool = True,
) -> None:
    """Cuts VMs off, and lets requests show them that they are."""
    for gateway in gateways:
        gateway.cut_off(is_refused=is_refused)
    for _ in range(DETECTION_TRIES):
        for gateway in gateways:
            await _call(deployment, gateway, _plain(deployment, 'read'))
    await asyncio.sleep(DETECTION_S)


# Callers of the VM got 503 or 504 until the cut ended.
@pytest.mark.parametrize('is_refused', [True, False])
@pytest.mark.parametrize('cut_off_vms', [1, 2])
def test_callers_of_a_vm_that_reaches_no_upstream_are_refused(
    cut_off_vms: int, *, is_refused: bool
) -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            cut_off = gateways[:cut_off_vms]
            await _cut_off(deployment, cut_off, is_refused=is_refused)
            for gateway in cut_off:
                for _ in range(TRIES):
                    for kind in ('read', 'order'):
                        request = _plain(deployment, kind)
                        status, _ = await _call(deployment, gateway, request)
                        assert status == 200
                    status, events = await _call(
                        deployment, gateway, _stream(deployment)
                    )
                    assert status == 200
                    assert events.count(b'\n\n') == EVENT_COUNT

    asyncio.run(run())


# Upstreams stayed marked down after the links were back.
def test_vm_returns_to_its_own_links() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            gateway = gateways[0]
            assert gateway.node.reach.is_cut_off
            gateway.reconnect()

            async def is_back() -> bool:
                return not gateway.node.reach.is_cut_off

            await eventually(is_back, within_s=RETURN_TIMEOUT_S)
            relayed = gateway.node.metrics.exposition()
            status, _ = await _call(
                deployment, gateway, _plain(deployment, 'order')
            )
            assert status == 200
            assert _relayed(gateway.node.metrics.exposition()) == _relayed(
                relayed
            )

    asyncio.run(run())


def _relayed(metrics: str) -> str:
    name = 'catkinreach_relayed_requests_total'
    return next(line for line in metrics.splitlines() if line.startswith(name))


# A crashed upstream must not be taken for a cut, or the reverse.
def test_upstreams_that_crash_at_once_are_no_cut() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            for name in 'de':
                deployment.upstreams[name].close()
            for _ in range(DETECTION_TRIES):
                await _call(deployment, gateways[0], _stream(deployment))
            status, _ = await _call(
                deployment, gateways[0], _plain(deployment, 'read')
            )
            assert status == 200
            assert not gateways[0].node.reach.is_cut_off

    asyncio.run(run())


# An order that a peer had passed on ran once more at another upstream.
@pytest.mark.parametrize(
    'behaviour', [Behaviour.DISCONNECT, Behaviour.RESET_BODY, Behaviour.FAIL]
)
def test_order_that_fails_beyond_a_peer_runs_once(
    behaviour: Behaviour,
) -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            for name in 'ab':
                deployment.upstreams[name].script.append(behaviour)
            request = _plain(deployment, 'order')
            status, _ = await _call(deployment, gateways[0], request)
            assert status in {500, 502, 504}
            request_id = request.header('request-id') or ''
            received = sum(
                one.request_id == request_id
                for name in 'ab'
                for one in deployment.upstreams[name].received
            )
            assert received == 1

    asyncio.run(run())


# The end of the peer's response was taken for that of the engine's.
@pytest.mark.parametrize(
    'behaviour', [Behaviour.DISCONNECT, Behaviour.RESET_BODY]
)
def test_stream_that_breaks_beyond_a_peer_goes_on(behaviour: Behaviour) -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            deployment.upstreams['d'].script.append(behaviour)
            deployment.upstreams['e'].script.append(behaviour)
            for _ in range(TRIES):
                status, events = await _call(
                    deployment, gateways[0], _stream(deployment)
                )
                is_whole = events.count(b'\n\n') == EVENT_COUNT
                assert (status == 200) == is_whole

    asyncio.run(run())


# The engine went on for a caller that had left.
def test_caller_that_leaves_ends_its_request_beyond_a_peer() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            upstreams = [deployment.upstreams[name] for name in 'ab']
            for upstream in upstreams:
                upstream.script.append(Behaviour.HANG)
            request = _plain(deployment, 'read')
            call = asyncio.ensure_future(
                _call(deployment, gateways[0], request)
            )
            await asyncio.sleep(LEAVES_AFTER_S)
            call.cancel()
            await asyncio.wait({call})
            request_id = request.header('request-id') or ''

            async def is_abandoned() -> bool:
                return any(request_id in one.abandoned_ids for one in upstreams)

            await eventually(is_abandoned, within_s=LEFT_WITHIN_S)

    asyncio.run(run())


# A VM that stopped cut the requests that it passed on for others.
def test_peer_that_stops_ends_what_it_passes_on() -> None:
    async def run() -> None:
        async with running_fleet(2) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            for name in 'ab':
                deployment.upstreams[name].pause_s = PAUSE_S
                deployment.upstreams[name].script.append(Behaviour.PAUSE)
            call = asyncio.ensure_future(
                _call(deployment, gateways[0], _plain(deployment, 'order'))
            )
            await asyncio.sleep(LEAVES_AFTER_S)
            gateways[1].app.stop()
            status, _ = await call
            assert status == 200

    asyncio.run(run())


# Refused connects of a VM that was cut off were taken for crashes, and parts
# of prompts for their cause.
def test_cut_is_no_evidence_of_crashes() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            for name in 'de':
                deployment.upstreams[name].script.append(Behaviour.DISCONNECT)
            gateway = gateways[0]
            gateway.cut_off(is_refused=True)
            upstream = gateway.node.view.find_upstream(UpstreamId('d'))
            assert upstream is not None
            checks = gateway.node.checks
            assert not await checks._has_crashed(upstream.upstream)

    asyncio.run(run())


# A caller's path was taken for a question of the VM itself.
def test_path_of_a_caller_is_no_probe() -> None:
    async def run() -> None:
        async with running_fleet(2) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            request = deployment.make_request('/read/')
            link = gateways[0].node.paths
            known = gateways[0].node.view.find_upstream(UpstreamId('a'))
            assert known is not None
            probe = HttpRequest('OPTIONS', '/relay-probe', request.headers)
            request_id = RequestId(request.header('request-id') or '')
            reply = await link.exchange(known.upstream, probe, request_id)
            reply.abort()
            (received,) = (
                one
                for one in deployment.upstreams['a'].received
                if one.request_id == request_id
            )
            assert received.target == '/relay-probe'

    asyncio.run(run())


# VMs waited for a chosen upstream to come back while others already had.
def test_fleet_that_reaches_no_upstream_returns_at_once() -> None:
    async def run() -> None:
        async with running_fleet(2) as (deployment, gateways):
            await _cut_off(deployment, gateways)
            assert all(one.node.reach.is_cut_off for one in gateways)
            for gateway in gateways:
                gateway.reconnect()
                gateway.node.health.forget_unreachable()
                status, _ = await _call(
                    deployment, gateway, _plain(deployment, 'read')
                )
                assert status == 200

            # The first one that is back passes requests on for the other.
            async def are_back() -> bool:
                return not any(one.node.reach.is_cut_off for one in gateways)

            await eventually(are_back, within_s=RETURN_TIMEOUT_S)

    asyncio.run(run())


# An upstream was marked down since the peer that was asked was cut off, too.
def test_peer_that_is_cut_off_unawares_says_so() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            gateways[1].cut_off(is_refused=True)
            gateways[2].cut_off(is_refused=True)
            node = gateways[0].node
            known = node.view.find_upstream(UpstreamId('a'))
            assert known is not None
            with pytest.raises(ConnectError, match='no peer'):
                await node.paths._relay.probe(known.upstream)

    asyncio.run(run())


# A peer that froze held up all probes, and with them the expiry of entries.
def test_probe_waits_for_a_frozen_peer_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with running_fleet(2) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            paths = gateways[0].node.paths
            known = gateways[0].node.view.find_upstream(UpstreamId('a'))
            assert known is not None

            async def freeze(*_: object) -> None:
                await asyncio.sleep(FROZEN_S)

            monkeypatch.setattr(paths._relay, '_read_answer', freeze)
            async with asyncio.timeout(FROZEN_S / 2):
                with pytest.raises(ConnectError):
                    await paths._relay.probe(known.upstream)

    asyncio.run(run())


# Orders got 502, though the peer had not taken them.
@pytest.mark.parametrize('started', ['1' * 5000, '-1', 'x', ''])
def test_malformed_target_is_no_upstream(started: str) -> None:
    assert RelayTarget.from_text(f'send {started} a') is None


def test_refusal_of_a_full_peer_says_that_nothing_was_sent() -> None:
    assert read_outcome(503, []) is RelayOutcome.NO_PATH
    assert read_outcome(500, []) is RelayOutcome.BROKEN
    assert read_outcome(503, [('relay-outcome', 'replied')]) is (
        RelayOutcome.REPLIED
    )


# The crash of the only upstream that was left counted as a cut.
def test_crash_of_the_last_upstream_is_evidence() -> None:
    async def run() -> None:
        async with running_fleet(2) as (deployment, gateways):
            node = gateways[0].node
            for name in 'abep':
                node.mark_unreachable(UpstreamId(name), 'went down before')
            deployment.upstreams['d'].close()
            known = node.view.find_upstream(UpstreamId('d'))
            assert known is not None
            assert await node.checks._has_crashed(known.upstream)

    asyncio.run(run())


# Anyone who reaches the port could run requests without a key.
def test_peers_pass_on_no_requests_of_strangers() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            known = gateways[0].node.view.find_upstream(UpstreamId('a'))
            assert known is not None
            request = wrap_request(
                HttpRequest('GET', '/read/', [('request-id', 'stranger')]),
                known.upstream,
            )
            async with deployment.client.exchange(
                gateways[0].peer_address, request, is_new_connection=True
            ) as response:
                assert response.header(OUTCOME_HEADER) == 'no-path'
            assert not deployment.upstreams['a'].received

    asyncio.run(run())


# A peer sent requests on to an engine that had told it that it leaves.
def test_peer_passes_nothing_on_to_an_upstream_that_leaves() -> None:
    async def run() -> None:
        async with running_fleet(VMS) as (deployment, gateways):
            await _cut_off(deployment, gateways[:1])
            upstream = deployment.upstreams['a']
            for peer in gateways[1:]:
                known = peer.node.view.find_upstream(UpstreamId('a'))
                assert known is not None
                peer.node.availability.record_leaving(known.upstream)
            received = len(upstream.received)
            for _ in range(TRIES):
                status, _ = await _call(
                    deployment, gateways[0], _plain(deployment, 'read')
                )
                assert status == 200
            assert len(upstream.received) == received

    asyncio.run(run())
