"""Orders that bring an engine from its state to the one in the settings.

Every node derives the same orders from the same accepted settings, so the
revision of the settings is their fencing number. An engine that supports
fencing refuses an order with a lower number. For other engines the owner polls
the state, and the next poll reverts a late order of an earlier owner.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from ..json_ranges import Sequence

if TYPE_CHECKING:
    from ..ids import Revision, UpstreamId
    from ..settings.fleet import Pool


class OrderKind(Enum):
    """Kinds of orders to engines."""

    LOAD_MODEL = 'load-model'
    SET_VERSION = 'set-version'
    SET_ROLE = 'set-role'

    @property
    def reads_weights(self) -> bool:
        """Returns whether the engine reads the weight store for the order."""
        return self is not OrderKind.SET_ROLE


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """State that an engine reports.

    Attributes:
        role: Its role, ``prefill`` or ``decode``.
        models: Models it has loaded.
        versions: Version of each loaded model that has a version.
        fence: Highest fencing number that it has received.
    """

    role: str
    models: tuple[str, ...] = ()
    versions: dict[str, str] = {}
    fence: Sequence = 0


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        upstream_id: Engine that receives the order.
        kind: Kind of the order.
        target: Model or role.
        version: Version of the model, empty if the settings name none.
        fence: Revision of the settings that the order follows from.
    """

    upstream_id: UpstreamId
    kind: OrderKind
    target: str
    version: str
    fence: Revision


def next_order(
    upstream_id: UpstreamId,
    pool: Pool,
    state: EngineState,
    revision: Revision,
) -> EngineOrder | None:
    """Returns the next order for an engine, ``None`` if it needs none.

    The model precedes the role, so that an engine never gets requests of a
    role before it has loaded the weights.
    """

    def new_order(kind: OrderKind, target: str) -> EngineOrder:
        return EngineOrder(upstream_id, kind, target, pool.version, revision)

    if pool.model and pool.model not in state.models:
        return new_order(OrderKind.LOAD_MODEL, pool.model)
    if pool.version and state.versions.get(pool.model) != pool.version:
        return new_order(OrderKind.SET_VERSION, pool.model)
    if state.role != pool.role.value:
        return new_order(OrderKind.SET_ROLE, pool.role.value)
    return None


__all__ = ('EngineOrder', 'EngineState', 'OrderKind', 'next_order')
