"""Interfaces through which the stages use the node's components."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from catkinreach_core.cell.reservations import AttemptResult
    from catkinreach_core.ids import RequestId
    from catkinreach_core.placement.policy import Placement, WorkItem

    from ..http.messages import HttpResponse
    from .context import SessionContext


class Reservation(Protocol):
    """Capacity of a prefill and a decode engine reserved for one attempt."""

    @property
    def placement(self) -> Placement:
        """Returns the upstreams on which the capacity is reserved."""

    @property
    def engine_request_id(self) -> RequestId:
        """Returns the id under which the engines know the attempt."""

    def report_prefill(self, cached_tokens: int) -> None:
        """Reports the end of the prefill and its number of cached tokens."""

    def report_first_token(self) -> None:
        """Reports that the first token of the attempt has arrived."""

    def report_kept(self) -> None:
        """Reports that the attempt goes on after others were reserved for."""

    def report_end(self, result: AttemptResult) -> None:
        """Reports the result of the attempt; later reports are ignored."""


class Scheduler(Protocol):
    """Queues model requests and reserves engines for them."""

    def reserve(
        self,
        session: SessionContext,
        work: WorkItem,
        *,
        is_resume: bool = False,
    ) -> AbstractAsyncContextManager[Reservation]:
        """Returns a context that waits for a reservation and releases it.

        Raises:
            CatkinreachError: if the request is refused before it ran.
        """


class LimitGrant(Protocol):
    """Admission of one request under the limits of its workspace."""

    def settle(self, used_tokens: int) -> None:
        """Releases the unused part of the grant; called exactly once."""


class Limiter(Protocol):
    """Enforces the workspaces' rates and bursts over all VMs."""

    async def admit(self, session: SessionContext, tokens: int) -> LimitGrant:
        """Admits one request of up to ``tokens`` tokens.

        Raises:
            CatkinreachError: ``RATE_LIMITED``.
        """


class OrderHandler(Protocol):
    """Runs requests that are not repeatable, at most once."""

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Runs an order and returns its response.

        Raises:
            CatkinreachError: if the order is refused or fails; the outcome of
                the error states whether the order ran.
        """


class UntrackedReservation:
    """A reservation without capacity accounting, for baseline policies.

    Reports are ignored.
    """

    def __init__(
        self, placement: Placement, engine_request_id: RequestId
    ) -> None:
        """Takes the placement and the id of the attempt."""
        self._placement = placement
        self._engine_request_id = engine_request_id

    @property
    def placement(self) -> Placement:
        """Returns the chosen upstreams."""
        return self._placement

    @property
    def engine_request_id(self) -> RequestId:
        """Returns the id under which the engines know the attempt."""
        return self._engine_request_id

    def report_prefill(self, cached_tokens: int) -> None:
        """Does nothing."""

    def report_first_token(self) -> None:
        """Does nothing."""

    def report_kept(self) -> None:
        """Does nothing."""

    def report_end(self, result: AttemptResult) -> None:
        """Does nothing."""


class UnlimitedGrant:
    """Admission of a request that no limit applies to."""

    def settle(self, used_tokens: int) -> None:
        """Does nothing."""


__all__ = (
    'LimitGrant',
    'Limiter',
    'OrderHandler',
    'Reservation',
    'Scheduler',
    'UnlimitedGrant',
    'UntrackedReservation',
)
