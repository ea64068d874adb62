"""What the stages need of the parts that decide together."""

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
    """Places held on upstreams for one request."""

    @property
    def placement(self) -> Placement:
        """Returns the upstreams that hold the places."""

    @property
    def engine_request_id(self) -> RequestId:
        """Returns the id under which the engines know the attempt."""

    def report_prefill(self, cached_tokens: int) -> None:
        """Reports the end of the prefill and the cached tokens it found."""

    def report_first_token(self) -> None:
        """Reports the first token."""

    def report_end(self, ending: AttemptResult) -> None:
        """Reports how the attempt ended; only the first report counts."""


class Scheduler(Protocol):
    """Queues a model request and reserves its places."""

    def reserve(
        self,
        session: SessionContext,
        work: WorkItem,
        *,
        is_resume: bool = False,
    ) -> AbstractAsyncContextManager[Reservation]:
        """Waits for a reservation and releases it on exit.

        Raises:
            CatkinreachError: a refusal before anything ran.
        """


class LimitGrant(Protocol):
    """Admission of one request against its workspace's limits."""

    def settle(self, used_tokens: int) -> None:
        """Gives back what the request did not use; called once."""


class Limiter(Protocol):
    """Rate and burst of the workspaces over all VMs together."""

    async def admit(self, session: SessionContext, tokens: int) -> LimitGrant:
        """Admits one request of up to that many tokens.

        Raises:
            CatkinreachError: ``RATE_LIMITED``.
        """


class OrderHandler(Protocol):
    """Runs requests that may not be repeated, at most once."""

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Answers an order.

        Raises:
            CatkinreachError: a refusal that tells what is known.
        """


class UntrackedReservation:
    """A reservation that nothing stands behind."""

    def __init__(
        self, placement: Placement, engine_request_id: RequestId
    ) -> None:
        """Keeps the placement."""
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

    def report_end(self, ending: AttemptResult) -> None:
        """Does nothing."""


class UnlimitedGrant:
    """A grant that nothing was drawn for."""

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
