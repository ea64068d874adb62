"""The sends of one request to upstreams, and the limits of its retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.crash_suspects import CRASHES_TO_STOP_RETRY

from ..http.connection import ClosedToRequestsError
from .decision_log import Event
from .held_retries import HeldRetries
from .outcomes import RETRY_AFTER_S, refusal
from .send_failure import SendFailure
from .suspect_keys import refuse_if_quarantined

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import Candidate
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from ..http.connection import ConnectError
    from .admitted_request import AdmittedRequest
    from .exchange import Reply
    from .node import Node


MAX_RETURNS = 1
"""Sends of a request, beyond the route's attempts, to an upstream that was
silent: it had the request before, so no further upstream gets it."""


class Attempts:
    """Counts the sends of one request and limits its retries.

    A retry must be within the route's ``max_attempts``, or return to an
    upstream that was silent. It spends one unit of the retry budget that all
    nodes share.

    Attributes:
        may_have_run: Whether an upstream may have run the request.
        has_timed_out: Whether an upstream didn't reply in time.
        excluded: Upstreams that get no further send of the request.
    """

    def __init__(self, node: Node, admitted: AdmittedRequest) -> None:
        """Starts without sends."""
        self._node = node
        self._admitted = admitted
        self._sends = 0
        self._refused_sends = 0
        self._readmitted: set[UpstreamId] = set()
        self._retries = HeldRetries(node, admitted.service.service_id)
        self._is_retry = False
        self._may_crash_upstreams = False
        self._crash_checks: set[asyncio.Future[None]] = set()
        self.may_have_run = False
        self.has_timed_out = False
        self.excluded: set[UpstreamId] = set()

    @property
    def remaining_s(self) -> float:
        """Returns the seconds until the request times out."""
        return self._admitted.deadline_s - self._node.clock()

    @property
    def has_sent(self) -> bool:
        """Returns whether an upstream may have received the request."""
        return self._sends > 0

    @property
    def can_retry(self) -> bool:
        """Returns whether the route allows one more send."""
        return self._is_repeatable and (
            self._may_send_anywhere or self._may_return
        )

    @property
    def holds_retry(self) -> bool:
        """Returns whether one more retry is certain."""
        return self._retries.count > 0

    @property
    def has_retried(self) -> bool:
        """Returns whether a retry was sent."""
        return self._retries.spent > 0

    @property
    def can_replace(self) -> bool:
        """Returns whether a silent upstream may be given up for another one."""
        return self.can_retry

    @property
    def _is_repeatable(self) -> bool:
        return not self._may_crash_upstreams and (
            self._admitted.route.is_retryable or not self.may_have_run
        )

    @property
    def _may_send_anywhere(self) -> bool:
        return self._sends < self._admitted.route.max_attempts

    @property
    def _may_return(self) -> bool:
        """Returns whether a readmitted upstream may get one more send."""
        max_sends = self._admitted.route.max_attempts + MAX_RETURNS
        return bool(self._readmitted) and self._sends < max_sends

    def usable(self, candidates: list[Candidate]) -> list[Candidate]:
        """Returns the candidates that may get the next send."""
        if self._may_send_anywhere:
            return candidates
        return [
            candidate
            for candidate in candidates
            if candidate.known.upstream.upstream_id in self._readmitted
        ]

    def count_send(self) -> None:
        """Counts a send."""
        self._sends += 1

    def uncount_send(self) -> None:
        """Undoes the count of a send that missed the intended upstream."""
        self._sends -= 1

    def try_hold_retries(self, count: int = 1) -> bool:
        """Returns whether so many retries are allowed; holds what there is.

        Sends spend what is held; the rest is given back with
        ``release_retries``.
        """
        return self.can_retry and self._retries.try_hold(count)

    def release_retries(self) -> None:
        """Gives back the retries that no send has spent."""
        self._retries.release()

    def try_acquire_send(self) -> bool:
        """Returns whether a send is allowed; a retry spends retry budget.

        Raises:
            CatkinreachError: if requests like this one crash upstreams.
        """
        refuse_if_quarantined(self._node, self._admitted.suspect_keys)
        self._is_retry = False
        if not self._sends:
            return True
        self._is_retry = self.try_hold_retries()
        if self._is_retry:
            self._retries.spend()
        return self._is_retry

    def set_aside(self, upstream: Upstream) -> None:
        """Excludes an upstream that is silent but may go on."""
        self.may_have_run = True
        self.excluded.add(upstream.upstream_id)
        self._readmitted.discard(upstream.upstream_id)

    def readmit(self, upstream: Upstream) -> None:
        """Lets an upstream that was silent get the request once more."""
        self.excluded.discard(upstream.upstream_id)
        self._readmitted.add(upstream.upstream_id)

    def try_reserve_return(self, upstream: Upstream) -> bool:
        """Returns whether a silent upstream may get the request anew.

        It is one that was set aside and still runs the request: it may only
        take the place of an upstream that refused. Like a retry this spends
        budget now.
        """
        runs = self._sends - self._refused_sends
        if runs >= self._admitted.route.max_attempts:
            return False
        self.readmit(upstream)
        is_allowed = self.try_hold_retries()
        if not is_allowed:
            self.set_aside(upstream)
        return is_allowed

    def record_failed_send(
        self, upstream_id: UpstreamId, failure: SendFailure, **inputs: object
    ) -> None:
        """Logs a failed send and excludes the upstream from further sends."""
        self.excluded.add(upstream_id)
        self._readmitted.discard(upstream_id)
        self._node.metrics.count_failed_send(failure.value)
        self._node.log.write(
            Event.SEND_FAILED,
            request=self._admitted.metadata.request_id,
            upstream=upstream_id,
            reason=failure.value,
            sent=self._sends,
            may_have_run=self.may_have_run,
            **inputs,
        )

    def record_unreachable(
        self, upstream: Upstream, error: ConnectError
    ) -> None:
        """Records a failed connect, which counts neither as send nor retry."""
        self.uncount_send()
        if self._is_retry:
            self._is_retry = False
            self._retries.take_back()
        if isinstance(error, ClosedToRequestsError):
            failure = SendFailure.CLOSED
        else:
            failure = SendFailure.UNREACHABLE
            self._node.mark_unreachable(upstream.upstream_id, str(error))
        self.record_failed_send(upstream.upstream_id, failure)

    def record_lost(
        self,
        upstream: Upstream,
        failure: SendFailure,
        detail: str,
        *,
        has_started: bool = False,
    ) -> None:
        """Records that an upstream disconnected, or was given up as silent.

        A silent upstream may get the request once more. The request may have
        crashed one that disconnected, which is checked in the background.

        Args:
            upstream: Upstream that is lost.
            failure: Whether it disconnected or was silent.
            detail: What was seen.
            has_started: Whether the request had been running for a while.
        """
        self.record_failure_after_send(upstream, failure, detail=detail)
        is_silent = failure is SendFailure.SILENT
        if is_silent:
            self.has_timed_out = True
            self.readmit(upstream)
        if is_silent or has_started:
            self._node.checks.check_reachable(upstream)
            return
        self.start_crash_check(upstream)

    def start_crash_check(self, upstream: Upstream) -> None:
        """Starts to check whether the request crashed an upstream."""
        check = asyncio.ensure_future(self._check_crash(upstream))
        self._crash_checks.add(check)
        check.add_done_callback(self._crash_checks.discard)

    async def finish_crash_check(self) -> None:
        """Waits until it is known whether the request crashed upstreams.

        The wait ends at the deadline; the checks go on.
        """
        while self._crash_checks and self.remaining_s > 0:
            await asyncio.wait(
                set(self._crash_checks), timeout=self.remaining_s
            )

    async def _check_crash(self, upstream: Upstream) -> None:
        """Checks whether the request, as it started, crashed the upstream.

        If requests like it crashed others before, it isn't sent again.
        """
        check = self._node.spawn(
            self._node.checks.confirm_crash(upstream, self._admitted)
        )
        # The crash counts even if the caller leaves meanwhile.
        crashes = await asyncio.shield(check)
        self._may_crash_upstreams |= crashes >= CRASHES_TO_STOP_RETRY

    def record_timeout(self, upstream: Upstream, **inputs: object) -> None:
        """Records that an upstream didn't reply before the deadline."""
        self.has_timed_out = True
        self.record_failure_after_send(upstream, SendFailure.SILENT, **inputs)
        self._node.checks.check_reachable(upstream)

    def record_refusal(self, reply: Reply, **inputs: object) -> None:
        """Records a reply which states that the request did not run."""
        self._node.record_refusal(reply)
        if reply.metadata.is_misdirected:
            self.uncount_send()
        else:
            self._refused_sends += 1
        self.record_failed_send(
            reply.upstream.upstream_id,
            SendFailure.REFUSED,
            status=reply.status,
            **inputs,
        )

    def record_failure_after_send(
        self, upstream: Upstream, failure: SendFailure, **inputs: object
    ) -> None:
        """Records a failure after which the request may have run."""
        self.may_have_run = True
        self._node.health.record_failure(
            upstream.upstream_id, self._node.clock()
        )
        self.record_failed_send(upstream.upstream_id, failure, **inputs)

    def error(
        self, kind: ErrorKind = ErrorKind.NO_UPSTREAM, detail: str = ''
    ) -> CatkinreachError:
        """Returns the error for a request that can't be served."""
        if not self.may_have_run:
            service_id = self._admitted.service.service_id
            delay_s = max(
                self._node.availability_notes.retry_delay_s(service_id),
                self._node.limit_notes.retry_delay_s(service_id),
            )
            self._node.availability_notes.log_unavailable(
                service_id, self._admitted.metadata.request_id
            )
            return refusal(
                self._node,
                kind,
                min_delay_s=max(delay_s, RETRY_AFTER_S),
                detail=detail,
            )
        if self.has_timed_out or self.remaining_s <= 0:
            return CatkinreachError(ErrorKind.UPSTREAM_TIMEOUT)
        return CatkinreachError(ErrorKind.UPSTREAM_FAILED)


__all__ = ('Attempts',)
