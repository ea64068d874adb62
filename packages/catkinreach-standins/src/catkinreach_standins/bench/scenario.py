"""One scenario on a running deployment: its calls, marks and checks."""

from __future__ import annotations

import random
import secrets
import time
from collections import Counter
from typing import TYPE_CHECKING

from catkinreach_ctl.load.idempotency import uuid7

from ..checks.answers import check_answers
from ..checks.fleet import check_keys, check_revisions
from ..checks.holdings import check_holdings_after_run
from ..checks.orders import check_orders
from ..checks.rates import admitted_requests, check_rate
from .background import Background, UpstreamRestarts
from .callers import Callers
from .faults import FaultInjector
from .links import caller_link
from .observer import Observer
from .processes import wait_until

if TYPE_CHECKING:
    import http.client
    from collections.abc import Callable
    from concurrent.futures import Future

    from catkinreach_core.ids import WorkspaceId

    from ..checks.records import CallRecord, RevisionSample, Violation
    from .deployment import Deployment

SAMPLE_PERIOD_S = 0.25
MILLISECONDS_PER_S = 1000
KEY_RANDOM_BITS = 74
RECOVERY_LIMIT_S = 20.0
VOCABULARY_SIZE = 50_000
LOAD_PERIOD_S = 0.1
CROWD = 'the crowd'
LOAD = 'the load'


def demo_keys(deployment: Deployment) -> dict[str, str]:
    """Returns the key of each workspace in the example texts."""
    return {name: f'demo-key-{name}' for name in deployment.settings.workspaces}


class Scenario:
    """What one scenario has started and seen.

    Attributes:
        deployment: The processes, which may serve several scenarios.
        faults: Faults by name.
        callers: Callers with their records.
        observer: Records of upstreams and nodes.
        fleet_text: The fleet's text as last published.
        calls: Calls under way, by the name that the scenario gave.
        recorded_times: Moments that the scenario named, in monotonic seconds.
    """

    def __init__(self, deployment: Deployment, *, seed: int) -> None:
        """Begins on a deployment that is whole."""
        self.deployment = deployment
        self.faults = FaultInjector(deployment)
        self.observer = Observer(deployment)
        self.callers = Callers(demo_keys(deployment))
        self.fleet_text = deployment.fleet_text
        self.calls: dict[str, list[Future[CallRecord]]] = {}
        self.recorded_times: dict[str, float] = {}
        self._order_keys: dict[str, str] = {}
        self.random = random.Random(seed)
        self.started_s = time.monotonic()
        self._revisions: list[RevisionSample] = []
        self._kept_workspace = ''
        self._kept: http.client.HTTPConnection
        self.upstream_restarts: UpstreamRestarts | None = None
        self._sampler = Background(self._sample, SAMPLE_PERIOD_S)
        self._load: Background | None = None

    def prompt(self, length: int) -> list[int]:
        """Returns a new random prompt."""
        return [self.random.randrange(VOCABULARY_SIZE) for _ in range(length)]

    def add_call(self, name: str, call: Future[CallRecord]) -> None:
        """Keeps a started call under a name."""
        self.calls.setdefault(name, []).append(call)

    def wait_records(self, name: str) -> list[CallRecord]:
        """Waits for the calls of a name and returns their records."""
        return [call.result() for call in self.calls[name]]

    def wait_calls(self) -> None:
        """Waits until every started call has ended."""
        for name in tuple(self.calls):
            self.wait_records(name)

    def record_time(self, name: str) -> None:
        """Keeps this moment under a name."""
        self.recorded_times[name] = time.monotonic()

    def publish(self, text: str) -> None:
        """Publishes a text of the operators."""
        self.fleet_text = text
        self.deployment.publish_config(text)

    def idempotency_key(self, key: str) -> str:
        """Returns the UUIDv7 that stands for a name in this scenario.

        It is born when the scenario first uses the name.
        """
        if key not in self._order_keys:
            born_ms = int(time.time() * MILLISECONDS_PER_S)
            salt = secrets.randbits(KEY_RANDOM_BITS)
            self._order_keys[key] = uuid7(born_ms, salt)
        return self._order_keys[key]

    def caller_port(self, vm_id: str) -> int:
        """Returns where callers reach a VM, or the balancer for ``''``."""
        if not vm_id:
            return self.deployment.balancer_port
        node = self.faults.node(vm_id)
        return self.deployment.link_port(caller_link(vm_id), node.caller_port)

    def open_connection(self, workspace: str, vm_id: str) -> CallRecord:
        """Opens a connection that stays open and reads on it."""
        self._kept = self.callers.open_connection(self.caller_port(vm_id))
        self._kept_workspace = workspace
        return self.read_on_open_connection()

    def read_on_open_connection(self) -> CallRecord:
        """Reads once more on the connection that stays open."""
        return self.callers.send_read_on(
            self._kept, self._kept_workspace, '/bee/status'
        )

    def start_load(self, workspace: str, tokens: int) -> None:
        """Keeps asking through the balancer until the load is stopped."""

        def ask() -> None:
            call = self.callers.start_completion(
                self.caller_port(''),
                workspace,
                self.prompt(100),
                max_tokens=tokens,
            )
            self.add_call(LOAD, call)

        self._load = Background(ask, LOAD_PERIOD_S)

    def stop_load(self) -> list[CallRecord]:
        """Stops the load and returns its records."""
        if self._load is not None:
            self._load.stop()
            self._load = None
        return self.wait_records(LOAD)

    def start_upstream_restarts(self) -> None:
        """Lets the platform start upstreams again that have ended."""
        self.upstream_restarts = UpstreamRestarts(self.faults)

    def published_revision(self) -> int:
        """Returns the newest revision of the configuration service."""
        record = self.deployment.standin_call(
            self.deployment.config_port, 'GET', '/standin/record'
        )
        revision: int = record['config_revision']
        return revision

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Polls a condition until the limit is over."""
        return wait_until(condition, limit_s=limit_s)

    def violations(self) -> list[Violation]:
        """Waits for every call; returns breaches of what always holds."""
        self.wait_calls()
        calls = self.callers.records
        started_s = self.started_s
        runs = [
            run for run in self.observer.executions() if run.at_s >= started_s
        ]
        return [
            *check_answers(calls),
            *check_orders(calls, runs),
            *check_revisions(self._revisions),
            *check_keys(
                self.observer.captures(),
                demo_keys(self.deployment).values(),
            ),
        ]

    def summary(self) -> str:
        """Returns one line on how the calls ended."""
        ends = Counter(
            call.code or call.end.value for call in self.callers.records
        )
        told = ', '.join(f'{name} {count}' for name, count in ends.items())
        return f'calls: {told or "none"}'

    def leaked_holdings(self) -> list[Violation]:
        """Returns memory that engines still hold for calls that ended."""
        ends = [call.ended_s for call in self.callers.records]
        last_s = max(ends, default=self.started_s)
        return check_holdings_after_run(self.observer.holdings(), last_s)

    def rate_violations(self, workspace: WorkspaceId) -> list[Violation]:
        """Returns windows in which a workspace got too many requests."""
        limits = self.deployment.settings.workspaces[workspace]
        return check_rate(
            admitted_requests(self.callers.records, workspace),
            workspace=workspace,
            rate=limits.requests_per_s,
            burst=limits.request_burst,
        )

    def finish(self) -> None:
        """Ends the callers and makes the deployment whole again."""
        if self._load is not None:
            self._load.stop()
        if self.upstream_restarts is not None:
            self.upstream_restarts.stop()
        self.heal()
        self.callers.close()
        self._sampler.stop()
        self._restore()

    def heal(self) -> None:
        """Ends every fault of network, platform and pauses."""
        self.faults.heal()
        self.faults.set_platform_faults(
            down=False, stale=False, frozen_vms=False
        )
        for process in self.deployment.processes.values():
            if process.is_running:
                process.resume()

    def _restore(self) -> None:
        """Starts what was ended and publishes the first text again."""
        deployment = self.deployment
        running = deployment.processes
        for upstream in deployment.settings.upstreams.values():
            if not running[upstream.upstream_id].is_running:
                self.faults.restart_upstream(upstream.upstream_id)
        for node in deployment.nodes:
            if not running[node.vm_id].is_running:
                deployment.start_node(node)
        deployment.publish_vms(deployment.vm_entries())
        self.publish(deployment.fleet_text)
        for node in deployment.nodes:
            deployment.wait_ready(node)
        revision = self.published_revision()
        wait_until(
            lambda: self.lowest_revision() >= revision,
            limit_s=RECOVERY_LIMIT_S,
        )

    def lowest_revision(self) -> int:
        """Returns the oldest revision in force on a reachable node."""
        samples = self.observer.revisions()
        return min((one.revision for one in samples), default=0)

    def _sample(self) -> None:
        self._revisions += self.observer.revisions()


__all__ = ('CROWD', 'LOAD', 'Scenario', 'demo_keys')
