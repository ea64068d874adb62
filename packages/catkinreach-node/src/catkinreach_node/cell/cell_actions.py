"""Operator actions that show the queues and decisions of owned cells."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from ..http.messages import HttpResponse

if TYPE_CHECKING:
    from catkinreach_core.cell.cell import Cell

    from ..http.messages import HttpRequest
    from ..operator.api import OperatorApi
    from .cell_owner import CellOwner


class CellActions:
    """``/queue`` and ``/explain`` for the cells that this node owns."""

    def __init__(self, owner: CellOwner) -> None:
        """Shows the cells of ``owner``."""
        self._owner = owner

    def add_to(self, api: OperatorApi) -> None:
        """Registers the actions with the operator API."""
        api.add_action('GET', '/queue', self._show_queue)
        api.add_action('GET', '/explain', self._explain)

    def _show_queue(self, _: HttpRequest) -> HttpResponse:
        document = {
            owned.tenure.shard: _queue_document(owned.cell)
            for owned in self._owner.owned
        }
        return HttpResponse.from_json(HTTPStatus.OK, document)

    def _explain(self, request: HttpRequest) -> HttpResponse:
        query = parse_qs(request.target.partition('?')[2])
        request_id = query.get('request', [''])[0]
        now_s = time.monotonic()
        decisions = [
            {
                'cell': owned.tenure.shard,
                'attempt': record.attempt,
                'age_s': now_s - record.at_s,
                'verdict': record.verdict,
                'why': record.why,
            }
            for owned in self._owner.owned
            for record in owned.cell.decisions.find_by_request(request_id)
        ]
        status = HTTPStatus.OK if decisions else HTTPStatus.NOT_FOUND
        return HttpResponse.from_json(
            status, {'request': request_id, 'decisions': decisions}
        )


def _queue_document(cell: Cell) -> dict[str, object]:
    now_s = time.monotonic()
    return {
        'waiting': len(cell.queue),
        'tokens': cell.queue.tokens,
        'outage': cell.unavailable_dependency,
        'workspaces': {
            workspace_id or '': {
                'waiting': depth,
                'tokens': tokens,
                'oldest_age_s': now_s - oldest_s,
            }
            for workspace_id, (
                depth,
                tokens,
                oldest_s,
            ) in cell.queue.depth_by_workspace().items()
        },
        'order': [
            {
                'request': queued.request.request_id,
                'workspace': queued.request.workspace_id,
                'age_s': now_s - queued.arrived_at_s,
            }
            for queued in cell.queue.heads()
        ],
    }


__all__ = ('CellActions',)
