"""An entry node lists the reservation of the attempt that goes on."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import ShardId, UpstreamId, VmId
from catkinreach_core.messages.cell import PlaceReply, PlaceRequest
from catkinreach_node.cell.owner_link import OwnerLink
from catkinreach_standins.fakes.cells import make_request

if TYPE_CHECKING:
    from catkinreach_core.cell.placement_request import Granted

PREFILL = UpstreamId('prefill')
SILENT = UpstreamId('silent')
OTHER = UpstreamId('other')


class ScriptedTransport:
    """Transport to an owner that places on the other engine, or refuses."""

    def __init__(self) -> None:
        """Starts with an owner that places."""
        self.refuses = False

    async def call(
        self, _: VmId, message: PlaceRequest, *_args: object, **_kwargs: object
    ) -> PlaceReply:
        """Answers a placement request."""
        if self.refuses:
            raise CatkinreachError(ErrorKind.QUEUE_TIMEOUT)
        decode = OTHER if message.ask.attempt else SILENT
        return PlaceReply(prefill=PREFILL, decode=decode)

    def send(self, *_: object) -> None:
        """Drops a message."""


def _link(transport: ScriptedTransport) -> OwnerLink:
    context: Any = SimpleNamespace(
        ownership=SimpleNamespace(owner_of=lambda _: VmId('vm-2')),
        settings=SimpleNamespace(vm_id=VmId('vm-1')),
        state=SimpleNamespace(
            settings=SimpleNamespace(queue=SimpleNamespace(max_age_s=1.0))
        ),
        transport=transport,
    )
    service: Any = SimpleNamespace()
    owner: Any = SimpleNamespace()
    return OwnerLink(context, owner, ShardId('cell/x'), service)


async def _place(link: OwnerLink, attempt: int) -> Granted:
    request = make_request(1, attempt=attempt, is_resume=attempt > 0)
    return await link.place(request, 0.0)


def test_end_of_silent_attempt_drops_its_successor() -> None:
    # The reservation of the engines that took over was released by the owner.
    async def scenario() -> tuple[int, int]:
        link = _link(ScriptedTransport())
        silent = await _place(link, 0)
        successor = await _place(link, 1)
        link.report_end(link.make_end_report(silent, is_complete=False))
        held_count = link.held_count
        link.report_end(link.make_end_report(successor, is_complete=True))
        return held_count, link.held_count

    assert asyncio.run(scenario()) == (1, 0)


def test_kept_attempt_is_held_again_after_refusal() -> None:
    async def scenario() -> tuple[int, int, int]:
        transport = ScriptedTransport()
        link = _link(transport)
        silent = await _place(link, 0)
        transport.refuses = True
        with pytest.raises(CatkinreachError):
            await _place(link, 1)
        dropped_count = link.held_count
        link.report_kept(silent)
        kept_count = link.held_count
        link.report_end(link.make_end_report(silent, is_complete=True))
        return dropped_count, kept_count, link.held_count

    assert asyncio.run(scenario()) == (0, 1, 0)
