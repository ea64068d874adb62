"""What the stages need of the parts that decide together."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.placement.round_robin import RoundRobinPolicy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from catkinreach_core.placement.policy import (
        Placement,
        PlacementPolicy,
        WorkItem,
    )

    from .context import SessionContext


class Reservation(Protocol):
    """Places held on upstreams for one request."""

    @property
    def placement(self) -> Placement:
        """Returns the upstreams that hold the places."""


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


class LocalReservation:
    """A reservation that nothing stands behind."""

    def __init__(self, placement: Placement) -> None:
        """Keeps the placement."""
        self._placement = placement

    @property
    def placement(self) -> Placement:
        """Returns the chosen upstreams."""
        return self._placement


class LocalScheduler:
    """Places without a queue, from this node's own view."""

    def __init__(self, policy: PlacementPolicy) -> None:
        """Uses the policy for every request."""
        self._policy = policy

    @classmethod
    def round_robin(cls) -> LocalScheduler:
        """Returns the baseline scheduler."""
        return cls(RoundRobinPolicy())

    @asynccontextmanager
    async def reserve(
        self,
        session: SessionContext,
        work: WorkItem,
        *,
        is_resume: bool = False,  # noqa: ARG002 - part of the protocol
    ) -> AsyncIterator[Reservation]:
        """Places at once or refuses."""
        settings = session.settings
        placement = self._policy.place(
            work,
            [
                upstream
                for upstream in settings.upstreams_of(
                    session.service.prefill_pool
                )
                if settings.is_in_service(upstream)
            ],
            [
                upstream
                for upstream in settings.upstreams_of(
                    session.service.decode_pool
                )
                if settings.is_in_service(upstream)
            ],
        )
        if placement is None:
            raise CatkinreachError(ErrorKind.NO_UPSTREAM)
        yield LocalReservation(placement)


class UnlimitedGrant:
    """A grant that nothing was drawn for."""

    def settle(self, used_tokens: int) -> None:
        """Does nothing."""


class UnlimitedLimiter:
    """Admits everything; for tests and measurements of the bare path."""

    async def admit(
        self,
        session: SessionContext,  # noqa: ARG002 - part of the protocol
        tokens: int,  # noqa: ARG002 - part of the protocol
    ) -> LimitGrant:
        """Admits the request."""
        return UnlimitedGrant()


__all__ = (
    'LimitGrant',
    'Limiter',
    'LocalScheduler',
    'Reservation',
    'Scheduler',
    'UnlimitedLimiter',
)
