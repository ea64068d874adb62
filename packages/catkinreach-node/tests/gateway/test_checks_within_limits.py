"""Checks of responses' ends count towards the limits that upstreams name."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.raw_replies import fetch
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import Behaviour
from catkinreach_standins.platform.upstream_plain import respond_plain

if TYPE_CHECKING:
    from catkinreach_standins.platform.received_request import ReceivedRequest
    from catkinreach_standins.platform.upstream_behaviour import RawReply
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

LIMIT_PER_S = 10.0
CALLS_PER_S = 30.0
WINDOW_S = 4.0
MAX_IN_WINDOW = LIMIT_PER_S * WINDOW_S + 5
"""What the rate allows and some slack, without the half that is borne."""


@dataclass
class NeedyUpstream(UpstreamStandin):
    """Names a limit, and ends its responses with their connections.

    Attributes:
        arrivals_s: Monotonic times of all requests and checks.
    """

    arrivals_s: list[float] = field(default_factory=list)

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Answers without a length."""
        del behaviour
        self.arrivals_s.append(time.monotonic())
        return await respond_plain(exchange, Behaviour.CLOSED_END)

    def _answer_check(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.arrivals_s.append(time.monotonic())
        super()._answer_check(request, writer)


async def _call_steadily(
    deployment: Deployment, duration_s: float
) -> dict[str, int]:
    """Returns the statuses of calls at a steady rate, by request id."""

    async def call() -> None:
        request = deployment.make_request('/read/')
        status, _ = await fetch(deployment, request)
        statuses[request.header('request-id') or ''] = status

    statuses: dict[str, int] = {}
    async with asyncio.TaskGroup() as group:
        for _ in range(int(duration_s * CALLS_PER_S)):
            group.create_task(call())
            await asyncio.sleep(1 / CALLS_PER_S)
    return statuses


# An engine got a check for each response besides the requests that it allowed,
# and responses that it had made were lost as it turned their checks away.
def test_checks_pass_the_limit_that_an_upstream_names() -> None:
    async def run() -> None:
        deployment = Deployment()
        needy = {
            name: NeedyUpstream(name, deployment.upstreams[name].service)
            for name in 'ab'
        }
        for one in needy.values():
            one.availability.limit_per_s = LIMIT_PER_S
        deployment.upstreams.update(needy)
        async with running_deployment(deployment=deployment):
            statuses = await _call_steadily(deployment, 1.5 * WINDOW_S)
        for one in needy.values():
            most = max(
                sum(
                    first <= at_s <= first + WINDOW_S for at_s in one.arrivals_s
                )
                for first in one.arrivals_s
            )
            assert most <= MAX_IN_WINDOW
            assert {statuses[request_id] for request_id in one.runs} == {200}

    asyncio.run(run())
