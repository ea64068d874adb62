"""State that the tasks of a gateway process share."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any, TypeVar

from catkinreach_core.gateway.aggregation import AggregatorChoice
from catkinreach_core.gateway.availability import Availability
from catkinreach_core.gateway.crash_suspects import CrashSuspects
from catkinreach_core.gateway.early_changes import EarlyChanges
from catkinreach_core.gateway.health import HealthTable
from catkinreach_core.gateway.load_table import LoadTable
from catkinreach_core.gateway.members import Members
from catkinreach_core.gateway.output_estimate import OutputEstimate
from catkinreach_core.gateway.peer_availability import PeerAvailability
from catkinreach_core.gateway.peer_reports import PeerReports
from catkinreach_core.gateway.placement import Candidate, has_spare_slots
from catkinreach_core.gateway.quota import QuotaTable
from catkinreach_core.gateway.retry_budget import RetryBudget
from catkinreach_core.gateway.shared_rate import SharedRateLimiter
from catkinreach_core.gateway.switching_engines import SwitchingEngines
from catkinreach_core.gateway.upstream_limits import UpstreamLimits
from catkinreach_core.gateway.upstream_reach import UpstreamReach
from catkinreach_core.gateway.view import FleetView
from catkinreach_core.ids import Revision, ShardId, VmId
from catkinreach_core.rendezvous import rank_vms

from ..http.client import HttpClient
from ..http.connection import ConnectError, ExchangeError
from ..supervisor import Supervisor
from .availability_notes import AvailabilityNotes
from .decision_log import DecisionLog, Event
from .fleet_totals import FleetTotals
from .gateway_metrics import GatewayMetrics
from .identity_check import IdentityCheck
from .limit_notes import LimitNotes
from .load_queries import LoadQueries
from .node_gauges import add_gauges
from .reply_buffer import ReplyBuffer
from .shutdown import Shutdown
from .stream_versions import StreamVersions
from .upstream_checks import UpstreamChecks
from .upstream_paths import UpstreamPaths
from .upstream_pool import UpstreamPool
from .wait_queues import WaitQueues

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from catkinreach_core.gateway.catalog import Catalog, ServiceTraits
    from catkinreach_core.gateway.crash_reports import SuspectKey
    from catkinreach_core.gateway.load_table import UpstreamLoad
    from catkinreach_core.gateway.metadata import KvHandle, ReplyMetadata
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.gateway.view import KnownUpstream
    from catkinreach_core.ids import RequestId, ServiceId, UpstreamId

    from .dialect import Dialect
    from .exchange import Reply
    from .settings import GatewaySettings

RELEASE_TIMEOUT_S = 0.3

_Result = TypeVar('_Result')


class Node:
    """State of one gateway process; changed only on its event loop."""

    def __init__(self, settings: GatewaySettings, dialect: Dialect) -> None:
        """Starts with the settings; nothing is known of peers or upstreams."""
        bounds = settings.bounds
        self.settings = settings
        self.dialect = dialect
        self.clock = time.monotonic
        self.rng = random.Random()
        self.view = FleetView()
        self.loads = LoadTable()
        self.health = HealthTable()
        self.availability = Availability()
        self.peer_availability = PeerAvailability()
        self.cold_rate_limiter = SharedRateLimiter(self.rng.random)
        self.limits = UpstreamLimits(settings.host, self.rng.random)
        self.output_estimate = OutputEstimate()
        self.crash_suspects = CrashSuspects(
            self._trial_rank, started_s=self.clock()
        )
        self.members = Members(settings.host, settings.peer_hosts)
        self.quota = QuotaTable(
            window_s=bounds.quota_window_s,
            excess_ratio=bounds.quota_excess_ratio,
            slack=bounds.quota_slack,
            started_s=self.clock(),
        )
        self.retry_budget = RetryBudget(
            ratio=bounds.repeat_ratio,
            slack=bounds.repeat_slack,
            window_s=bounds.repeat_window_s,
        )
        self.peer_reports = PeerReports()
        self.totals = FleetTotals(self)
        self.reply_buffer = ReplyBuffer()
        self.reach = UpstreamReach()
        self.pool = UpstreamPool(self.clock, self.reach)
        self.paths = UpstreamPaths(self)
        self.checks = UpstreamChecks(self)
        self.identity_check = IdentityCheck(self)
        self.control_http = HttpClient()
        self.metrics = GatewayMetrics()
        self.log = DecisionLog(self.clock)
        self.supervisor = Supervisor(self.metrics, self._log_failure)
        self.wait_queues = WaitQueues(self.view, self._now_s)
        self.voted_leader = ''
        self.switching_engines = SwitchingEngines()
        self.peer_handlers: dict[type[object], Callable[[Any], None]] = {}
        self.send_datagram: Callable[[str, bytes], None] = _drop_datagram
        self.apply_limits: Callable[[Catalog], None] = _ignore_limits
        self.aggregators = AggregatorChoice()
        self.load_queries = LoadQueries(self)
        self.load_changed = asyncio.Event()
        self.shutdown = Shutdown(settings, self.members, self.clock)
        self.limit_notes = LimitNotes(self)
        self.stream_versions = StreamVersions(self)
        self.revision = Revision(0)
        self.changed_revision = Revision(0)
        self.early_changes = EarlyChanges()
        self.store_bytes: Callable[[], int] = _no_bytes
        self.store_read_at_s: float | None = None
        self.peer_is_ahead = asyncio.Event()
        self.availability_notes = AvailabilityNotes(
            self.view,
            self.availability,
            self.peer_availability,
            self.log,
            self._now_s,
            self.load_changed.set,
        )
        add_gauges(self)

    def begin_stop(self, answer_within_s: float) -> None:
        """Starts the shutdown; all requests must be answered in this time."""
        self.shutdown.begin(answer_within_s)
        # Peers learn of it at once.
        self.load_changed.set()

    @property
    def store_read_age_s(self) -> float | None:
        """Returns the age of this node's last read; ``None`` for none."""
        read_at_s = self.store_read_at_s
        return None if read_at_s is None else self.clock() - read_at_s

    def _now_s(self) -> float:
        """Returns the time of the clock that the node has now."""
        return self.clock()

    def candidates(
        self,
        service_id: ServiceId,
        traits: ServiceTraits,
        excluded: set[UpstreamId],
    ) -> list[Candidate]:
        """Returns the upstreams of a service that may receive a request now."""
        now_s = self.clock()
        unusable = excluded | self.switching_engines.current(now_s)
        return [
            self._candidate(known, now_s)
            for known in self.view.usable_upstreams(service_id)
            if known.upstream.upstream_id not in unusable
            and not self.health.is_down(known.upstream.upstream_id)
            and self.availability.may_get_requests(known.upstream, now_s)
            and self._has_cold_capacity(known, traits, now_s)
            and self.limit_notes.allows_request(known.upstream)
        ]

    def report_change(self) -> None:
        """Tells the aggregators of a large fleet about a change."""
        if self.load_queries.is_active:
            self.load_changed.set()

    def has_capacity(self, service: ServiceTraits) -> bool:
        """Returns whether a service has capacity that nobody waits for."""
        service_id = service.service_id
        if service_id in self.wait_queues.tokens():
            return False
        if service.engine is not None:
            return not self.totals.queued_tokens(service_id)
        return has_spare_slots(self.candidates(service_id, service, set()))

    def note_reply(
        self, upstream: Upstream, metadata: ReplyMetadata, request_id: RequestId
    ) -> None:
        """Notes what a reply says of the upstream itself."""
        self.availability_notes.note(upstream, metadata, request_id)
        self.limit_notes.note(upstream, metadata, request_id)

    def may_still_send(self, upstream: Upstream) -> bool:
        """Returns whether an upstream that was chosen may get a request now.

        A prefill, a connect or a wait lies between the choice and the send.
        """
        return self.view.may_still_get_work(
            upstream
        ) and self.availability.may_get_requests(upstream, self.clock())

    def begin_work(self, upstream_id: UpstreamId, work: UpstreamLoad) -> None:
        """Adds work that is about to be sent to an upstream to its load."""
        self.loads.begin_work(upstream_id, work)
        self.load_changed.set()

    def end_work(self, upstream_id: UpstreamId, work: UpstreamLoad) -> None:
        """Removes finished work from an upstream's load."""
        self.loads.end_work(upstream_id, work)
        self.load_changed.set()

    def mark_unreachable(self, upstream_id: UpstreamId, reason: str) -> None:
        """Marks an upstream down that doesn't accept connections."""
        if not self.health.is_down(upstream_id):
            self.log.write(
                Event.UPSTREAM_DOWN, upstream=upstream_id, reason=reason
            )
            self.load_changed.set()
        self.health.record_unreachable(upstream_id, self.clock())

    def record_refusal(self, reply: Reply) -> None:
        """Records a refusal, or that another upstream uses the address."""
        upstream_id = reply.upstream.upstream_id
        metadata = reply.metadata
        if metadata.is_from_other_upstream(upstream_id):
            self.mark_replaced(reply.upstream)
        else:
            self.health.record_failure(upstream_id, self.clock())

    def mark_replaced(self, upstream: Upstream) -> None:
        """Marks an upstream as replaced: another one answers at its address."""
        upstream_id = upstream.upstream_id
        if not self.health.is_replaced(upstream_id):
            self.log.write(
                Event.UPSTREAM_DOWN, upstream=upstream_id, reason='replaced'
            )
            self.load_changed.set()
        self.health.record_replaced(upstream_id, self.clock())

    def replaced_upstreams(self) -> dict[UpstreamId, int]:
        """Returns the start time in Unix ms of each replaced upstream."""
        found = map(self.view.find_upstream, self.health.replaced_upstreams())
        return {
            known.upstream.upstream_id: known.upstream.started_ms
            for known in found
            if known is not None
        }

    def release_handle(self, handle: KvHandle) -> None:
        """Frees the KV cache of a handle that won't be imported.

        It lapses by itself at an engine that wants no requests.
        """
        if self.availability.is_paused_at(handle.engine, self.clock()):
            return
        self.spawn(self._release_handle(handle))

    def spawn(
        self, work: Coroutine[None, None, _Result]
    ) -> asyncio.Task[_Result]:
        """Runs a coroutine in the background."""
        return self.supervisor.run_in_background(work)

    def _log_failure(self, name: str, error: BaseException) -> None:
        self.log.write(
            Event.TASK_FAILED,
            task=name,
            reason=f'{type(error).__name__}: {error}',
        )

    def _trial_rank(self, key: SuspectKey) -> int:
        """Returns this node's place in the order of trials of a key."""
        own = VmId(self.settings.host)
        peers = map(VmId, self.members.responsive(self.clock()))
        return rank_vms(ShardId(key), {own, *peers}).index(own)

    async def _release_handle(self, handle: KvHandle) -> None:
        request = self.dialect.release_request(handle)
        with suppress(ConnectError, ExchangeError, TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self.control_http.call_raw(handle.engine, request)

    def _candidate(self, known: KnownUpstream, now_s: float) -> Candidate:
        upstream_id = known.upstream.upstream_id
        return Candidate(
            known=known,
            load=self.loads.total_load(upstream_id, now_s),
            penalty=self.health.penalty(upstream_id, now_s)
            * self.peer_availability.penalty(known.upstream, now_s),
            is_cold=self._is_cold(known, now_s),
        )

    def _is_cold(self, known: KnownUpstream, now_s: float) -> bool:
        """Returns whether an upstream can serve only little load."""
        return known.is_cold(now_s) or self.availability.is_returning(
            known.upstream, now_s
        )

    def _has_cold_capacity(
        self, known: KnownUpstream, traits: ServiceTraits, now_s: float
    ) -> bool:
        """Returns whether the upstream is warm or may get a request now."""
        if not traits.cold_per_s or not self._is_cold(known, now_s):
            return True
        return self.cold_rate_limiter.allows_request(
            known.upstream.upstream_id,
            traits.cold_per_s,
            self.members.share_count,
            now_s,
        )


def _ignore_limits(catalog: Catalog) -> None:
    """Stands for the server of the callers until it exists."""
    del catalog


def _no_bytes() -> int:
    """Stands for the reads of the store until they begin."""
    return 0


def _drop_datagram(host: str, data: bytes) -> None:
    """Stands for the socket until it is open."""
    del host, data


__all__ = ('Node',)
