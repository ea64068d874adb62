"""Replacements of silent engines that fall silent, or answer late, as well."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

from catkinreach_core.ids import ServiceId
from catkinreach_node.gateway.engine_stream import EngineStream
from catkinreach_node.gateway.exchange import ignore_sending
from catkinreach_node.gateway.handover import Handover
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.silent_upstreams import (
    WHOLE,
    DeploymentWithOneRetry,
    DeploymentWithThreeEngines,
    decode_engines,
    fetch,
    run_scenario,
    script_in_turn,
    set_pause,
    stream_request,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour, RawReply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    import pytest

    from catkinreach_node.gateway.node import Node
    from catkinreach_standins.platform.deployment import Deployment

PAUSE_S = 2.5
SERVICE_ID = ServiceId(MODEL_SERVICE)
LATE_LOSS = RawReply(b'', delay_s=1.2, is_reset=True)
"""Later than a further engine is looked for."""

STEP_S = 0.01


# The search for a third engine gave back the retry that was held for a failure
# of the second one; another stream took it.
def test_search_for_a_further_engine_gives_the_held_retry_away() -> None:
    async def run() -> None:
        deployment = DeploymentWithThreeEngines()
        async with running_deployment(deployment=deployment) as (_, gateway):
            await scenario(deployment, gateway._node)

    async def scenario(deployment: Deployment, node: Node) -> None:
        set_pause(deployment, PAUSE_S)
        fetching = asyncio.ensure_future(
            fetch(deployment, stream_request(deployment))
        )
        first, _ = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.SERVE
        )
        others = [one for one in decode_engines(deployment) if one is not first]
        script: deque[Behaviour | RawReply] = deque([Behaviour.SERVE] * 9)
        script.appendleft(LATE_LOSS)
        for engine in others:
            engine.script = script

        async def is_sent() -> bool:
            return any(engine.received for engine in others)

        await eventually(is_sent, within_s=PAUSE_S)
        taken = 0
        while not fetching.done():
            taken += node.retry_budget.hold(SERVICE_ID, 1, node.clock())
            await asyncio.sleep(STEP_S)
        assert await fetching == (200, WHOLE)
        assert not taken

    asyncio.run(run())


# The replacement's first event had been read when it was withdrawn: the silent
# engine was closed for a stream that was closed, too.
def test_replacement_is_withdrawn_after_its_first_event(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ends: list[Callable[[], None]] = []
    real_overlap = Handover.overlap
    real_start = EngineStream.start

    @contextmanager
    def overlap(
        handover: Handover[EngineStream],
        may_give_up: Callable[[], bool],
        withdraw: Callable[[], None],
    ) -> Iterator[Callable[[], None]]:
        def end() -> None:
            if may_give_up():
                handover.give_up()
            else:
                withdraw()

        ends.append(end)
        with real_overlap(handover, may_give_up, withdraw) as begin:
            yield begin

    def start(
        stream: EngineStream,
        resume_after: int | None,
        on_sending: Callable[[], None] = ignore_sending,
    ) -> asyncio.Future[None]:
        opening = real_start(stream, resume_after, on_sending)
        if ends:
            # As a timer that is due in the same turn of the event loop.
            loop = asyncio.get_running_loop()
            opening.add_done_callback(lambda _: loop.call_soon(ends[-1]))
        return opening

    monkeypatch.setattr(Handover, 'overlap', overlap)
    monkeypatch.setattr(EngineStream, 'start', start)

    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, PAUSE_S)
        fetching = asyncio.ensure_future(
            fetch(deployment, stream_request(deployment))
        )
        await script_in_turn(deployment, Behaviour.PAUSE, Behaviour.SERVE)
        assert await fetching == (200, WHOLE)
        assert ends

    run_scenario(scenario, DeploymentWithOneRetry)
