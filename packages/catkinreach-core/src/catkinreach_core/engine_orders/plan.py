"""What an engine has, what the settings want, and the orders between.

Every node derives the same orders from the same accepted settings, so the
revision of the settings is their fencing number. An engine that fences
refuses a lower one; for the others the state is read again and again, and a
late order of an earlier owner is undone by the next reading.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..ids import Revision, UpstreamId
    from ..settings.fleet import Pool


class OrderKind(Enum):
    """What an engine can be told to do."""

    LOAD_MODEL = 'load-model'
    SET_VERSION = 'set-version'
    SET_ROLE = 'set-role'

    @property
    def reads_weights(self) -> bool:
        """Tells whether the order makes the engine read the weight store."""
        return self is not OrderKind.SET_ROLE


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself.

    Attributes:
        role: Role it has, ``prefill`` or ``decode``.
        models: Models it has loaded.
        versions: Version of each loaded model, where it has one.
        fence: Highest fencing number it has seen.
    """

    role: str
    models: tuple[str, ...] = ()
    versions: dict[str, str] = {}
    fence: int = 0


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order to one engine.

    Attributes:
        upstream_id: Engine that gets it.
        kind: What it is to do.
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
    """Returns the order that an engine needs first, if it needs any.

    The model comes before the role, so that an engine never takes work of a
    role without its weights.
    """

    def order(kind: OrderKind, target: str) -> EngineOrder:
        return EngineOrder(upstream_id, kind, target, pool.version, revision)

    if pool.model and pool.model not in state.models:
        return order(OrderKind.LOAD_MODEL, pool.model)
    if pool.version and state.versions.get(pool.model) != pool.version:
        return order(OrderKind.SET_VERSION, pool.model)
    if state.role != pool.role.value:
        return order(OrderKind.SET_ROLE, pool.role.value)
    return None


__all__ = ('EngineOrder', 'EngineState', 'OrderKind', 'next_order')
