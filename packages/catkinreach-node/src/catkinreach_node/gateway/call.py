"""One request of a caller on its way through the node."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.terms import SendTerms

from .decision_log import Event
from .gateway_metrics import Stage

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import (
        Route,
        ServiceTraits,
        WorkspaceTerms,
    )
    from catkinreach_core.gateway.crash_suspects import Fingerprint
    from catkinreach_core.gateway.terms import KvHandle, RequestTerms
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId, WorkspaceId

    from ..http.client import ConnectError, ExchangeError
    from ..http.messages import HttpRequest
    from .exchange import Reply
    from .node import Node

RETRY_AFTER_S = 0.25
RETRY_SPREAD_S = 0.25
"""Callers that were refused together return spread over this time."""


class SendFailure(Enum):
    """Ways in which a send to an upstream fails."""

    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    SILENT = 'silent'
    REFUSED = 'refused'
    FAILED = 'failed'
    PREFILL_UNREACHABLE = 'prefill-unreachable'
    PREFILL_BROKEN = 'prefill-broken'
    PREFILL_SILENT = 'prefill-silent'
    PREFILL_REFUSED = 'prefill-refused'


@dataclass(frozen=True, slots=True)
class Call:
    """A request that was admitted.

    Attributes:
        request: Method, target, headers and body.
        terms: What the caller asks.
        route: The route that matched.
        service: The service that runs it.
        workspace: Workspace of the key, ``None`` on public routes.
        fingerprint: Names the request among repeated ones.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time at which the caller's wait ends.
        version: Version of the configuration that was applied.
    """

    request: HttpRequest
    terms: RequestTerms
    route: Route
    service: ServiceTraits
    workspace: WorkspaceTerms | None
    fingerprint: Fingerprint
    arrived_s: float
    deadline_s: float
    version: int

    @property
    def priority(self) -> int:
        """Returns the rank: the workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def workspace_id(self) -> WorkspaceId | None:
        """Returns the workspace that the request runs for, if any."""
        return None if self.workspace is None else self.workspace.workspace_id

    def send_terms(
        self,
        upstream: Upstream,
        now_s: float,
        *,
        source: KvHandle | None = None,
        resume_after: int | None = None,
    ) -> SendTerms:
        """Returns what an upstream is told."""
        return SendTerms(
            upstream_id=upstream.upstream_id,
            workspace_id=self.workspace_id,
            deadline_s=self.deadline_s - now_s,
            priority=self.priority,
            source=source,
            resume_after=resume_after,
        )


class Attempts:
    """Sends of one call, held to the route's bound and the shared budget."""

    def __init__(self, node: Node, call: Call) -> None:
        """Starts with nothing sent."""
        self._node = node
        self._call = call
        self._sent = 0
        self.may_have_run = False
        self.has_timed_out = False
        self.excluded: set[UpstreamId] = set()

    @property
    def left_s(self) -> float:
        """Returns the seconds until the caller's wait ends."""
        return self._call.deadline_s - self._node.clock()

    @property
    def is_repeatable(self) -> bool:
        """Tells whether the route allows one more send after this one."""
        may_repeat = self._call.route.may_repeat or not self.may_have_run
        return may_repeat and self._sent < self._call.route.max_attempts

    def note_sent(self) -> None:
        """Counts a send."""
        self._sent += 1

    def note_not_counted(self) -> None:
        """Takes a send back that reached another upstream than was meant."""
        self._sent -= 1

    def may_send(self) -> bool:
        """Tells whether a send is allowed; spends budget for a repeat."""
        if not self._sent:
            return True
        return self.is_repeatable and self._node.repeats.spend(
            self._call.service.service_id,
            self._node.members.share_count,
            self._node.clock(),
        )

    def failed(
        self, upstream_id: UpstreamId, failure: SendFailure, **inputs: object
    ) -> None:
        """Logs a send that failed and avoids the upstream from now on."""
        self.excluded.add(upstream_id)
        self._node.metrics.count_failed_send(failure.value)
        self._node.log.write(
            Event.SEND_FAILED,
            request=self._call.terms.request_id,
            upstream=upstream_id,
            reason=failure.value,
            sent=self._sent,
            may_have_run=self.may_have_run,
            **inputs,
        )

    def unreachable(self, upstream: Upstream, error: ConnectError) -> None:
        """Takes that a connection was not opened; the send doesn't count."""
        self.note_not_counted()
        self._node.note_unreachable(upstream.upstream_id, str(error))
        self.failed(upstream.upstream_id, SendFailure.UNREACHABLE)

    def broken(self, upstream: Upstream, error: ExchangeError) -> None:
        """Takes that a reply broke off; the request may have crashed it."""
        self.may_have_failed(upstream, SendFailure.BROKEN, detail=str(error))
        self._node.checks.check_crash(upstream, self._call.fingerprint)

    def silent(self, upstream: Upstream, **inputs: object) -> None:
        """Takes that no reply came in time."""
        self.has_timed_out = True
        self.may_have_failed(upstream, SendFailure.SILENT, **inputs)
        self._node.checks.check_reachable(upstream)

    def refused(self, reply: Reply, **inputs: object) -> None:
        """Takes a reply that promises that the request did not run."""
        self._node.note_refused(reply)
        if reply.marks.is_misdirected:
            self.note_not_counted()
        self.failed(
            reply.upstream.upstream_id,
            SendFailure.REFUSED,
            status=reply.status,
            **inputs,
        )

    def may_have_failed(
        self, upstream: Upstream, failure: SendFailure, **inputs: object
    ) -> None:
        """Takes a send that failed after the request may have run."""
        self.may_have_run = True
        self._node.health.note_failure(upstream.upstream_id, self._node.clock())
        self.failed(upstream.upstream_id, failure, **inputs)

    def error(
        self, kind: ErrorKind = ErrorKind.NO_UPSTREAM, detail: str = ''
    ) -> CatkinreachError:
        """Returns the answer to a call that can't be served."""
        if not self.may_have_run:
            return refusal(self._node, kind, detail=detail)
        if self.has_timed_out or self.left_s <= 0:
            return CatkinreachError(ErrorKind.UPSTREAM_TIMEOUT)
        return CatkinreachError(ErrorKind.UPSTREAM_FAILED)


def note_answered(
    node: Node, call: Call, upstream_id: UpstreamId, **inputs: object
) -> None:
    """Takes that an upstream has answered a call well and in full."""
    now_s = node.clock()
    after_s = now_s - call.arrived_s
    node.health.note_success(upstream_id, now_s)
    node.suspects.clear(call.fingerprint)
    node.metrics.record(Stage.TOTAL, after_s)
    node.log.write(
        Event.ANSWERED,
        request=call.terms.request_id,
        upstream=upstream_id,
        **inputs,
        after_s=round(after_s, 4),
    )


def refusal(
    node: Node,
    kind: ErrorKind,
    *,
    after_s: float = RETRY_AFTER_S,
    detail: str = '',
) -> CatkinreachError:
    """Returns a refusal whose advice spreads the return of callers."""
    return CatkinreachError(
        kind,
        detail,
        retry_after_s=after_s + node.rng.random() * RETRY_SPREAD_S,
    )


__all__ = ('Attempts', 'Call', 'SendFailure', 'note_answered', 'refusal')
