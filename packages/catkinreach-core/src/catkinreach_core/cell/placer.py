"""Choice of the engines for one request.

The prefill engine is the one expected to finish first, given its cached
prefixes and queued work. The decode engine is the least loaded one that has a
free place, enough free KV pieces and a short queue of transfers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..ids import UpstreamId
    from .engine_view import EngineView
    from .placement_request import PlacementRequest

MAX_PREFILL_WAIT_S = 0.12
"""Queued prefill work above which a prefill engine gets no requests."""

MAX_LINK_WAIT_S = 0.3
"""Queued transfers above which a decode engine gets no requests.

Well below the lifetime of an export.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Constraint:
    """Engines allowed for a suspect or for a copy of an unproven prompt.

    Attributes:
        needs_idle_prefill: Needs a prefill engine that runs nothing else.
        needs_decode_without_suspect: Needs a decode engine that runs no other
            suspect.
        prefill: The only prefill engine allowed, if set.
        decode: The only decode engine allowed, if set.
    """

    needs_idle_prefill: bool = False
    needs_decode_without_suspect: bool = False
    prefill: UpstreamId | None = None
    decode: UpstreamId | None = None


UNCONSTRAINED = Constraint()


@dataclass(frozen=True, slots=True)
class Choice:
    """Engines chosen for a request and the expected time of its work.

    Attributes:
        prefill: Engine that prefills.
        decode: Engine that decodes.
        prefill_s: Expected time of the prefill alone.
        transfer_s: Expected time of the transfer alone.
        first_token_s: Expected time to the first token, with all waits.
    """

    prefill: EngineView
    decode: EngineView
    prefill_s: float
    transfer_s: float
    first_token_s: float


class Placer:
    """Chooses among the engines of one cell."""

    def __init__(
        self,
        prefill: Sequence[EngineView],
        decode: Sequence[EngineView],
        *,
        reserves_decode: bool = True,
    ) -> None:
        """Stores the engines of both pools.

        Args:
            prefill: Prefill engines.
            decode: Decode engines.
            reserves_decode: Whether a decode place is reserved before the
                prefill. If not, the bounds of decode engines are ignored.
        """
        self.prefill = prefill
        self.decode = decode
        self.views = {view.upstream_id: view for view in (*prefill, *decode)}
        self._reserves_decode = reserves_decode

    @property
    def reserves_decode(self) -> bool:
        """Returns whether a decode place is reserved before the prefill."""
        return self._reserves_decode

    @property
    def has_engines(self) -> bool:
        """Returns whether both pools have a usable engine."""
        return any(view.is_usable for view in self.prefill) and any(
            view.is_usable for view in self.decode
        )

    def has_free_capacity(self, now_s: float) -> bool:
        """Returns whether both pools have free capacity."""
        return self._has_decode_capacity() and self._has_prefill_capacity(now_s)

    def choose_engines(
        self, request: PlacementRequest, constraint: Constraint, now_s: float
    ) -> Choice | None:
        """Returns engines for a request, or ``None`` if it has to wait."""
        decode = self._choose_decode(request, constraint, now_s)
        if decode is None:
            return None
        best: Choice | None = None
        best_s = 0.0
        for view in self._prefill_candidates(request, constraint, now_s):
            cached = view.prefixes.cached_tokens(request.blocks)
            work_s = view.prefill_s(request.prompt_tokens - cached)
            total_s = view.wait_s(now_s) + work_s
            if best is None or total_s < best_s:
                transfer_s = decode.transfer_s(request.prompt_pieces)
                first_token_s = max(total_s, decode.wait_s(now_s)) + transfer_s
                best = Choice(view, decode, work_s, transfer_s, first_token_s)
                best_s = total_s
        return best

    def unloaded_s(self, request: PlacementRequest) -> float:
        """Returns the least time to the first token, on idle engines."""
        prefill_s = min(
            (
                view.prefill_s(
                    request.prompt_tokens
                    - view.prefixes.cached_tokens(request.blocks)
                )
                for view in self.prefill
                if view.is_usable
            ),
            default=0.0,
        )
        transfer_s = min(
            (
                view.transfer_s(request.prompt_pieces)
                for view in self.decode
                if view.is_usable
            ),
            default=0.0,
        )
        return prefill_s + transfer_s

    def _prefill_candidates(
        self, request: PlacementRequest, constraint: Constraint, now_s: float
    ) -> Iterable[EngineView]:
        for view in self.prefill:
            if not _is_allowed(view, request, constraint.prefill):
                continue
            if not view.has_free_place or view.has_suspect:
                continue
            if constraint.needs_idle_prefill and view.occupancies:
                continue
            if view.wait_s(now_s) <= MAX_PREFILL_WAIT_S:
                yield view

    def _has_prefill_capacity(self, now_s: float) -> bool:
        for view in self.prefill:
            if view.has_free_place and view.wait_s(now_s) <= MAX_PREFILL_WAIT_S:
                return True
        return False

    def _has_decode_capacity(self) -> bool:
        for view in self.decode:
            if view.has_free_place or (
                not self._reserves_decode and view.is_usable
            ):
                return True
        return False

    def _choose_decode(
        self, request: PlacementRequest, constraint: Constraint, now_s: float
    ) -> EngineView | None:
        best: EngineView | None = None
        best_load = 0.0
        for view in self.decode:
            if not self._has_capacity_for(view, request, now_s):
                continue
            if not _is_allowed(view, request, constraint.decode):
                continue
            if constraint.needs_decode_without_suspect and view.has_suspect:
                continue
            load = view.load + view.wait_s(now_s)
            if best is None or load < best_load:
                best, best_load = view, load
        return best

    def _has_capacity_for(
        self, view: EngineView, request: PlacementRequest, now_s: float
    ) -> bool:
        if not self._reserves_decode:
            return view.is_usable
        return (
            view.has_free_place
            and request.kv_pieces <= view.free_pieces
            and view.wait_s(now_s) <= MAX_LINK_WAIT_S
        )


def _is_allowed(
    view: EngineView, request: PlacementRequest, required: UpstreamId | None
) -> bool:
    if required is not None:
        return view.upstream_id == required
    return view.upstream_id not in request.excluded


__all__ = ('UNCONSTRAINED', 'Choice', 'Constraint', 'Placer')
