"""Streams of which one part of the prompt crashes each engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.crash_log import SAME_CRASH_S
from catkinreach_core.gateway.crash_suspects import (
    CRASHES_TO_REFUSE,
    MIN_REFUSAL_S,
)
from catkinreach_core.ids import UpstreamId
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_node.gateway.app import GatewayApp
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.upstream_behaviour import (
        RawReply,
    )
    from catkinreach_standins.platform.upstream_exchange import (
        UpstreamExchange,
    )

SHARED_PART = 'a1'
CRASHING_PART = 'd1'
CRASHING_REQUESTS = 6
STARTED_MS = 1_700_000_000_000
FIRST_RESTART_MS = STARTED_MS + 1000
LOST_DOMAIN = 'zone-b'
MAX_STREAMS = 24


class CrashingEngine(UpstreamStandin):
    """Decode engine that crashes when it starts to answer on one part."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Crashes, or runs a request whose prompt lacks the part."""
        if CRASHING_PART not in exchange.request.headers['prompt-prefix']:
            return await super().run(exchange, behaviour)
        self.close()
        exchange.writer.transport.abort()
        return False


class EngineOfLostDomain(CrashingEngine):
    """Decode engine of a failure domain that has no other engines."""

    def entry(self, **changed: object) -> dict[str, object]:
        """Returns the entry for the store, with its failure domain."""
        return super().entry(zone=LOST_DOMAIN, **changed)

    def crash(self) -> None:
        """Stops listening and ends all connections."""
        self.close()
        for writer in self._running:
            writer.transport.abort()


def _deployment() -> Deployment:
    deployment = Deployment()
    for upstream_id in ('d', 'e'):
        deployment.upstreams[upstream_id] = CrashingEngine(
            upstream_id, MODEL_SERVICE, 'decode'
        )
    return deployment


def _stream(deployment: Deployment, *parts: str) -> HttpRequest:
    """Returns a request whose prompt ends with a part of its own."""
    own = f'b{len(deployment.upstreams["p"].received)}'
    prefix = ','.join(f'{part}:100' for part in (*parts, own))
    return deployment.make_request(
        '/stream/',
        method='POST',
        body=own.encode(),
        token_count='300,100',
        prompt_prefix=prefix,
    )


async def _restart_crashed(
    deployment: Deployment, gateway: GatewayApp, born_ms: int
) -> None:
    """Restarts the engines that don't listen.

    Args:
        deployment: Deployment of the engines.
        gateway: Node that has to know the restarted engines.
        born_ms: Start of the incarnations that the store tells of.
    """
    for upstream in deployment.upstreams.values():
        if upstream.is_listening:
            continue
        await upstream.start()
        deployment.publish_upstream(upstream, born=born_ms)

        async def is_known(upstream: UpstreamStandin = upstream) -> bool:
            upstream_id = UpstreamId(upstream.upstream_id)
            known = gateway._node.view.find_upstream(upstream_id)
            return (
                known is not None
                and str(known.upstream.address) == upstream.address
                and not gateway._node.health.is_down(upstream_id)
            )

        await eventually(is_known, within_s=5.0)


def _count_crashing(deployment: Deployment) -> int:
    """Returns the crashing requests that decode engines received."""
    return sum(
        CRASHING_PART in received.headers.get('prompt-prefix', '')
        for upstream_id in ('d', 'e')
        for received in deployment.upstreams[upstream_id].received
    )


def test_streams_with_one_crashing_part_are_sent_on_and_on() -> None:
    # Crashes were counted by the hash of the whole request only.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            client = deployment.client
            for number in range(CRASHING_REQUESTS):
                status, _ = await client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                assert status >= 500
                await _restart_crashed(
                    deployment, gateway, FIRST_RESTART_MS + number
                )
            assert _count_crashing(deployment) == CRASHES_TO_REFUSE
            status, _ = await client.call_raw(
                deployment.caller_address, _stream(deployment, SHARED_PART)
            )
            assert status == 200

    asyncio.run(run())


def test_stream_that_crashed_after_others_is_not_sent_again() -> None:
    # It was retried, and so crashed one engine more.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            arrivals = []
            for number in range(2):
                await deployment.client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                arrivals.append(_count_crashing(deployment))
                await _restart_crashed(
                    deployment, gateway, FIRST_RESTART_MS + number
                )
            assert arrivals == [2, 3]

    asyncio.run(run())


def _skip_time(gateway: GatewayApp, duration_s: float) -> None:
    """Lets time pass for the gateway."""
    clock = gateway._node.clock
    gateway._node.clock = lambda: clock() + duration_s


def test_crashes_that_the_store_does_not_tell_of_never_add_up() -> None:
    # An engine crashed again before the store told of its restart.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            for _ in range(CRASHING_REQUESTS):
                await deployment.client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                await _restart_crashed(deployment, gateway, STARTED_MS)
                _skip_time(gateway, 2 * SAME_CRASH_S)
            assert _count_crashing(deployment) == CRASHES_TO_REFUSE

    asyncio.run(run())


def test_gateway_that_just_started_tries_a_part_once_more() -> None:
    # review/10: three retries to learn anew, and a fourth after 20 s.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            for wait_s in (SAME_CRASH_S + 1, MIN_REFUSAL_S + 1, 0.0):
                await deployment.client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                await _restart_crashed(deployment, gateway, FIRST_RESTART_MS)
                _skip_time(gateway, wait_s)
            assert _count_crashing(deployment) == CRASHES_TO_REFUSE

    asyncio.run(run())


async def _restart_at_once(deployment: Deployment, gateway: GatewayApp) -> None:
    """Restarts crashed engines at their addresses; the store isn't told."""
    for upstream in deployment.upstreams.values():
        if not upstream.is_listening:
            await upstream.start(upstream._port)

    async def are_up() -> bool:
        health = gateway._node.health
        return not any(
            health.is_down(UpstreamId(upstream_id))
            for upstream_id in deployment.upstreams
        )

    await eventually(are_up, within_s=5.0)


def test_engine_that_restarts_at_once_crashes_on_and_on() -> None:
    # Its crashes counted as one until 3 s had passed.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            for _ in range(CRASHING_REQUESTS):
                await deployment.client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                await _restart_at_once(deployment, gateway)
            assert _count_crashing(deployment) == CRASHES_TO_REFUSE

    asyncio.run(run())


def _add_lost_domain(
    deployment: Deployment, upstream_ids: str
) -> list[EngineOfLostDomain]:
    """Adds the decode engines of a domain, or puts them in place of others."""
    engines = [
        EngineOfLostDomain(upstream_id, MODEL_SERVICE, 'decode')
        for upstream_id in upstream_ids
    ]
    deployment.upstreams |= {one.upstream_id: one for one in engines}
    return engines


async def _start_streams_at(
    deployment: Deployment, engines: list[EngineOfLostDomain]
) -> list[asyncio.Task[tuple[int, bytes]]]:
    """Sends streams that hang until each engine has one."""
    streams: list[asyncio.Task[tuple[int, bytes]]] = []
    for engine in engines:
        engine.script.extend([Behaviour.HANG] * MAX_STREAMS)
    while not all(engine.received for engine in engines):
        assert len(streams) < MAX_STREAMS
        sent = sum(len(engine.received) for engine in engines)
        call = deployment.client.call_raw(
            deployment.caller_address, _stream(deployment, SHARED_PART)
        )
        streams.append(asyncio.create_task(call))

        async def has_arrived(sent: int = sent) -> bool:
            return sum(len(engine.received) for engine in engines) > sent

        await eventually(has_arrived, within_s=1.0)
    return streams


def test_part_that_starts_at_a_lost_failure_domain_is_refused() -> None:
    # The loss of a domain counted as one crash for each of its engines.
    async def run() -> None:
        deployment = Deployment()
        engines = _add_lost_domain(deployment, 'def')
        async with running_deployment(deployment=deployment) as (_, gateway):
            streams = await _start_streams_at(deployment, engines)
            for engine in engines:
                engine.script.clear()
                engine.crash()

            async def are_down() -> bool:
                health = gateway._node.health
                return all(
                    health.is_down(UpstreamId(one.upstream_id))
                    for one in engines
                )

            await eventually(are_down, within_s=2.0)
            await _restart_crashed(deployment, gateway, FIRST_RESTART_MS)
            status, _ = await deployment.client.call_raw(
                deployment.caller_address, _stream(deployment, SHARED_PART)
            )
            assert status == 200
            await asyncio.gather(*streams)

    asyncio.run(run())


def test_part_that_crashes_a_failure_domain_in_turn_is_sent_on() -> None:
    # The last engine of the domain to crash looks like the domain's loss.
    async def run() -> None:
        deployment = Deployment()
        _add_lost_domain(deployment, 'de')
        async with running_deployment(deployment=deployment) as (_, gateway):
            for number in range(CRASHING_REQUESTS):
                await deployment.client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, CRASHING_PART),
                )
                await _restart_crashed(
                    deployment, gateway, FIRST_RESTART_MS + number
                )
                _skip_time(gateway, 2 * SAME_CRASH_S)
            assert _count_crashing(deployment) == CRASHES_TO_REFUSE

    asyncio.run(run())
