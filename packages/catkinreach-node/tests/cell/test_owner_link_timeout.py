"""A request is refused after the queue timeout if its cell has no owner.

Every node refuses the call with ``NO_OWNER``, and no engine is warm, so that
the entry node can't place the request itself.
"""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest

from catkinreach_core.cell.placement_request import PlacementRequest
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import RequestId, ShardId, VmId
from catkinreach_node.cell import owner_link, owner_reachability
from catkinreach_node.cell.fallback import FallbackCell
from catkinreach_node.cell.owner_link import OwnerLink

LIMIT_S = 6.0


class NoOwnerTransport:
    """Transport on which every node refuses calls with ``NO_OWNER``."""

    async def call(self, *_: Any, **_fields: Any) -> None:
        """Refuses the call."""
        raise CatkinreachError(ErrorKind.NO_OWNER)


def _link() -> OwnerLink:
    context: Any = SimpleNamespace(
        ownership=SimpleNamespace(owner_of=lambda _: VmId('vm-2')),
        settings=SimpleNamespace(vm_id=VmId('vm-1')),
        state=SimpleNamespace(
            settings=SimpleNamespace(queue=SimpleNamespace(max_age_s=1.0))
        ),
        transport=NoOwnerTransport(),
    )
    service: Any = SimpleNamespace()
    owner: Any = SimpleNamespace()
    return OwnerLink(context, owner, ShardId('cell/x'), service)


def test_request_without_owner_is_refused_after_queue_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner_link, 'CALL_SLACK_S', 0.1)
    monkeypatch.setattr(owner_reachability, 'OWNER_UNREACHABLE_S', 0.05)
    monkeypatch.setattr(FallbackCell, 'can_serve', lambda *_, **_fields: False)
    request = PlacementRequest(
        request_id=RequestId('one'),
        attempt=0,
        vm_id=VmId('vm-1'),
        workspace_id=None,
        prompt_tokens=1,
        max_tokens=1,
    )

    async def place() -> None:
        async with asyncio.timeout(LIMIT_S):
            await _link().place(request, time.monotonic())

    with pytest.raises(CatkinreachError) as refusal:
        asyncio.run(place())
    assert refusal.value.kind is ErrorKind.NO_OWNER
