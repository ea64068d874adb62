"""Renewals, shared state and end of tenure of a cell at its owner."""

from __future__ import annotations

import asyncio
import math
from pathlib import Path

import pytest

from catkinreach_core.cell.configured_cell import ConfiguredCell
from catkinreach_core.cell.suspect_blocks import CRASHES_TO_REFUSE
from catkinreach_core.cell.suspects import Crash
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import (
    Incarnation,
    Revision,
    ServiceId,
    UpstreamId,
    VmId,
)
from catkinreach_core.messages.cell import (
    LiveReservation,
    QuarantinedPrompt,
    ReservationRenewal,
    ReservationRenewalReply,
    WarmupProgress,
)
from catkinreach_core.ownership.shards import cell_shard
from catkinreach_core.ownership.tenure import Tenure
from catkinreach_core.settings import load_fleet
from catkinreach_node.cell.message_conversion import to_placement_details
from catkinreach_node.cell.owned_cell import OwnedCell
from catkinreach_standins.fakes.cells import make_request

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
SERVICE = ServiceId('pattern-llm')
SHARD = cell_shard(SERVICE)
PREFILL = UpstreamId('pattern-prefill-1')
DECODE = UpstreamId('pattern-decode-1')
VM = VmId('vm-1')
CRASHING_BLOCK = 2**64 - 1


def _owned_cell(*, is_still_owner: bool = True) -> OwnedCell:
    text = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    settings = load_fleet(text, revision=Revision(1), source='fleet')
    configured_cell = ConfiguredCell(settings, settings.services[SERVICE])
    tenure = Tenure(SHARD, VM, Incarnation('i'), 1, 0.0, math.inf)
    return OwnedCell(configured_cell, tenure, lambda: is_still_owner)


def _renewal(**fields: object) -> ReservationRenewal:
    return ReservationRenewal(
        shard=SHARD,
        incarnation=Incarnation('i'),
        **fields,  # type: ignore[arg-type]
    )


def _live_reservation() -> LiveReservation:
    return LiveReservation(
        ask=to_placement_details(make_request(1)),
        prefill=PREFILL,
        decode=DECODE,
        stage='decode',
    )


def test_new_owner_requests_details_of_unknown_reservations() -> None:
    owned = _owned_cell()
    request_id = make_request(1).request_id
    first = owned.handle_renewal(VM, _renewal(live=(request_id,)))
    assert first.unknown == (request_id,)
    second = owned.handle_renewal(
        VM, _renewal(live=(request_id,), told=(_live_reservation(),))
    )
    assert not second.unknown
    view = owned.cell.view(DECODE)
    assert view is not None
    assert view.used_places == 1


def test_shared_state_is_sent_until_its_version_is_seen() -> None:
    owned = _owned_cell()
    prompt = QuarantinedPrompt(digest='bad', left_s=100.0)
    lost_reply = owned.handle_renewal(VM, _renewal(quarantined=(prompt,)))
    second_reply = owned.handle_renewal(VM, _renewal())
    assert [item.digest for item in second_reply.quarantined] == ['bad']
    assert second_reply.version == lost_reply.version
    assert not owned.handle_renewal(
        VM, _renewal(seen=second_reply.version)
    ).quarantined


def test_new_owner_takes_over_warm_engines() -> None:
    owned = _owned_cell()
    warm = WarmupProgress(upstream_id=DECODE, boot='b', completed=100)
    owned.handle_renewal(VM, _renewal(warm=(warm,)))
    view = owned.cell.view(DECODE)
    assert view is not None
    assert view.places == 20
    assert view.update_boot('another')
    assert view.places == 2


def test_new_owner_forgets_crashing_blocks() -> None:
    # A part of prompts crashed as many engines again under each new owner.
    async def refused_kind(reply: ReservationRenewalReply) -> ErrorKind:
        next_owned = _owned_cell()
        next_owned.handle_renewal(
            VM, _renewal(suspected_blocks=reply.suspected_blocks)
        )
        next_owned.cell.placement_starts_at_s = 0.0
        with pytest.raises(CatkinreachError) as refusal:
            await next_owned.place(make_request(1, blocks=(CRASHING_BLOCK,)))
        return refusal.value.kind

    owned = _owned_cell()
    for number in range(CRASHES_TO_REFUSE):
        owned.cell.crashes.blocks.record_crash(
            (CRASHING_BLOCK, number), Crash(PREFILL, f'b{number}'), 0.0
        )
    reply = owned.handle_renewal(VM, _renewal())
    assert {item.block for item in reply.suspected_blocks} == {CRASHING_BLOCK}
    kind = asyncio.run(refused_kind(reply))
    assert kind is ErrorKind.REQUEST_QUARANTINED


def test_closed_cell_refuses_queued_requests() -> None:
    async def run() -> ErrorKind:
        owned = _owned_cell()
        waiting = asyncio.create_task(owned.place(make_request(1)))
        await asyncio.sleep(0)
        owned.close()
        with pytest.raises(CatkinreachError) as refusal:
            await waiting
        return refusal.value.kind

    assert asyncio.run(run()) is ErrorKind.NO_OWNER


def test_owner_without_tenure_places_nothing() -> None:
    async def run() -> None:
        owned = _owned_cell(is_still_owner=False)
        owned.cell.placement_starts_at_s = 0.0
        waiting = asyncio.create_task(owned.place(make_request(1)))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        assert not owned.cell.reserved
        waiting.cancel()

    asyncio.run(run())
