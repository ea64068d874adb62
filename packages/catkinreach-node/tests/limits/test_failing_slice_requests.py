"""Slice requests that fail with an error nobody expected."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from catkinreach_core.ids import Incarnation, RouteId, VmId, WorkspaceId
from catkinreach_core.messages.limits import Slice, SliceGrant
from catkinreach_node.config.state import FleetState
from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.limits.service import LimitService
from catkinreach_node.limits.task import LimitTask
from catkinreach_standins.fakes.sessions import (
    load_example_fleet,
    make_session,
    read_example_fleet,
)

if TYPE_CHECKING:
    import pytest

    from catkinreach_core.messages.limits import SliceRequest
    from catkinreach_core.settings.fleet import FleetSettings

WORKSPACE = WorkspaceId('sunday-bee')
VM = VmId('vm-1')
LIMIT_S = 10.0
FAILURES = 2


def _failing_service(monkeypatch: pytest.MonkeyPatch) -> list[SliceRequest]:
    """Lets the owner fail some times; returns the requests to it."""
    slice_requests: list[SliceRequest] = []

    async def respond(
        *parts: object,
    ) -> SliceGrant:
        slice_request: Any = parts[-1]
        slice_requests.append(slice_request)
        if len(slice_requests) <= FAILURES:
            raise LookupError('nobody expected this')
        ample = Slice(granted=1e4)
        return SliceGrant(
            term=1, sequence=slice_request.sequence, slices=(ample, ample)
        )

    monkeypatch.setattr(LimitService, 'respond', respond)
    return slice_requests


def _limit_task(fleet: FleetSettings) -> LimitTask:
    state = FleetState()
    state.accept_settings(fleet, '')
    context: Any = SimpleNamespace(
        incarnation=Incarnation('i'),
        ownership=SimpleNamespace(owner_of=lambda _: VM),
        settings=SimpleNamespace(vm_id=VM),
        state=state,
        tenures=SimpleNamespace(has_collected_terms=True),
        transport=SimpleNamespace(on_call=lambda *_: None),
    )
    sink: Any = SimpleNamespace(record_admission=lambda *_: None)
    return LimitTask(context, sink)


# The workspace's requests waited for a slice that nobody asked for again.
def test_failing_slice_request_is_the_last_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    slice_requests = _failing_service(monkeypatch)

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = load_example_fleet(read_example_fleet())
        limits = _limit_task(fleet)
        running = asyncio.create_task(limits.run())
        session = make_session(
            fleet, RouteId('completions'), HttpRequest('POST', '/')
        )
        session = replace(session, workspace_id=WORKSPACE)
        async with asyncio.timeout(LIMIT_S):
            grant = await limits.admit(session, 1)
        grant.settle(1)
        running.cancel()

    asyncio.run(run())
    assert len(slice_requests) > FAILURES
