"""Calls, faults and checks of one test scenario on a running deployment."""

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
from .background import PeriodicThread, UpstreamRestarter
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
UUID7_RANDOM_BITS = 74
RECOVERY_TIMEOUT_S = 20.0
VOCABULARY_SIZE = 50_000
LOAD_PERIOD_S = 0.1
CROWD = 'the crowd'
"""Name of the calls of all steps that start several at once."""

LOAD = 'the load'
"""Name of the calls that `Scenario.start_load` sends."""


def demo_keys(deployment: Deployment) -> dict[str, str]:
    """Returns the API keys of an example fleet by workspace."""
    return {name: f'demo-key-{name}' for name in deployment.settings.workspaces}


class Scenario:
    """Sends the calls of one scenario and collects the records for its checks.

    Attributes:
        deployment: The deployment, which several scenarios may share.
        faults: Injects faults into the deployment.
        callers: Sends calls and keeps their records.
        observer: Reads the records of upstreams and nodes.
        fleet_text: The last published valid fleet configuration.
        calls: Started calls by the name of their caller or group of callers.
        recorded_times: Monotonic times of events by the name of the event.
        random: Random number generator with the seed of the scenario.
        started_s: Monotonic time at which the scenario started.
        upstream_restarter: Restarts exited upstreams, ``None`` until started.
    """

    def __init__(self, deployment: Deployment, *, seed: int) -> None:
        """Starts to sample the revisions of a deployment.

        All processes of the deployment must run, without faults.
        """
        self.deployment = deployment
        self.faults = FaultInjector(deployment)
        self.observer = Observer(deployment)
        self.callers = Callers(demo_keys(deployment))
        self.fleet_text = deployment.fleet_text
        self.calls: dict[str, list[Future[CallRecord]]] = {}
        self.recorded_times: dict[str, float] = {}
        self._idempotency_keys: dict[str, str] = {}
        self.random = random.Random(seed)
        self.started_s = time.monotonic()
        self._revisions: list[RevisionSample] = []
        self._connection_workspace = ''
        self._connection: http.client.HTTPConnection
        self.upstream_restarter: UpstreamRestarter | None = None
        self._revision_sampler = PeriodicThread(
            self._sample_revisions, SAMPLE_PERIOD_S
        )
        self._load: PeriodicThread | None = None

    def random_prompt(self, length: int) -> list[int]:
        """Returns a random prompt of ``length`` tokens."""
        return [self.random.randrange(VOCABULARY_SIZE) for _ in range(length)]

    def add_call(self, name: str, call: Future[CallRecord]) -> None:
        """Adds a started call to the calls of a name."""
        self.calls.setdefault(name, []).append(call)

    def wait_records(self, name: str) -> list[CallRecord]:
        """Waits for the calls of a name and returns their records."""
        return [call.result() for call in self.calls[name]]

    def wait_calls(self) -> None:
        """Waits until every started call has ended."""
        for name in tuple(self.calls):
            self.wait_records(name)

    def record_time(self, name: str) -> None:
        """Records the current time as the time of an event."""
        self.recorded_times[name] = time.monotonic()

    def publish(self, text: str) -> None:
        """Publishes a fleet configuration as operators do."""
        self.fleet_text = text
        self.deployment.publish_config(text)

    def idempotency_key(self, order_name: str) -> str:
        """Returns the idempotency key, a UUIDv7, of the order with a name.

        The key is created at the first call with the name.
        """
        if order_name not in self._idempotency_keys:
            created_ms = int(time.time() * MILLISECONDS_PER_S)
            random_bits = secrets.randbits(UUID7_RANDOM_BITS)
            self._idempotency_keys[order_name] = uuid7(created_ms, random_bits)
        return self._idempotency_keys[order_name]

    def caller_port(self, vm_id: str) -> int:
        """Returns the port for calls to a VM, or to the balancer for ``''``.

        Calls to a VM pass through its link of the fault proxy.
        """
        if not vm_id:
            return self.deployment.balancer_port
        node = self.faults.node(vm_id)
        return self.deployment.link_port(caller_link(vm_id), node.caller_port)

    def open_connection(self, workspace: str, vm_id: str) -> CallRecord:
        """Opens a persistent connection to a VM and sends a read on it."""
        self._connection = self.callers.open_connection(self.caller_port(vm_id))
        self._connection_workspace = workspace
        return self.read_on_open_connection()

    def read_on_open_connection(self) -> CallRecord:
        """Sends another read on the persistent connection."""
        return self.callers.send_read_on(
            self._connection, self._connection_workspace, '/bee/status'
        )

    def start_load(self, workspace: str, tokens: int) -> None:
        """Starts to send completions through the balancer until `stop_load`."""

        def send_request() -> None:
            call = self.callers.start_completion(
                self.caller_port(''),
                workspace,
                self.random_prompt(100),
                max_tokens=tokens,
            )
            self.add_call(LOAD, call)

        self._load = PeriodicThread(send_request, LOAD_PERIOD_S)

    def stop_load(self) -> list[CallRecord]:
        """Stops the load, waits for its calls and returns their records."""
        if self._load is not None:
            self._load.stop()
            self._load = None
        return self.wait_records(LOAD)

    def start_upstream_restarter(self) -> None:
        """Starts to restart exited upstreams, as the platform does."""
        self.upstream_restarter = UpstreamRestarter(self.faults)

    def published_revision(self) -> int:
        """Returns the revision of the newest published configuration."""
        record = self.deployment.standin_call(
            self.deployment.config_port, 'GET', '/standin/record'
        )
        revision: int = record['config_revision']
        return revision

    def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Polls a condition until it holds or the timeout is over."""
        return wait_until(condition, timeout_s=timeout_s)

    def violations(self) -> list[Violation]:
        """Waits for every call and returns the violations of invariants."""
        self.wait_calls()
        calls = self.callers.records
        started_s = self.started_s
        executions = [
            execution
            for execution in self.observer.executions()
            if execution.at_s >= started_s
        ]
        return [
            *check_answers(calls),
            *check_orders(calls, executions),
            *check_revisions(self._revisions),
            *check_keys(
                self.observer.captures(),
                demo_keys(self.deployment).values(),
            ),
        ]

    def summary(self) -> str:
        """Returns one line with the number of calls by refusal code or end."""
        ends = Counter(
            call.code or call.end.value for call in self.callers.records
        )
        counts = ', '.join(f'{name} {count}' for name, count in ends.items())
        return f'calls: {counts or "none"}'

    def leaked_holdings(self) -> list[Violation]:
        """Returns the KV cache that engines still hold for ended calls."""
        ends = [call.ended_s for call in self.callers.records]
        last_end_s = max(ends, default=self.started_s)
        return check_holdings_after_run(self.observer.holdings(), last_end_s)

    def rate_violations(self, workspace: WorkspaceId) -> list[Violation]:
        """Returns windows in which a workspace exceeded its request limit."""
        limits = self.deployment.settings.workspaces[workspace]
        return check_rate(
            admitted_requests(self.callers.records, workspace),
            workspace=workspace,
            rate=limits.requests_per_s,
            burst=limits.request_burst,
        )

    def finish(self) -> None:
        """Stops the callers and restores the deployment for other scenarios."""
        if self._load is not None:
            self._load.stop()
        if self.upstream_restarter is not None:
            self.upstream_restarter.stop()
        self.heal()
        self.callers.close()
        self._revision_sampler.stop()
        self._restore_deployment()

    def heal(self) -> None:
        """Removes network and platform faults and resumes paused processes."""
        self.faults.heal()
        self.faults.set_platform_faults(
            down=False, stale=False, frozen_vms=False
        )
        for process in self.deployment.processes.values():
            if process.is_running:
                process.resume()

    def _restore_deployment(self) -> None:
        """Restarts exited processes and publishes the initial configuration."""
        deployment = self.deployment
        processes = deployment.processes
        for upstream in deployment.settings.upstreams.values():
            if not processes[upstream.upstream_id].is_running:
                self.faults.restart_upstream(upstream.upstream_id)
        for node in deployment.nodes:
            if not processes[node.vm_id].is_running:
                deployment.start_node(node)
        deployment.publish_vms(deployment.vm_entries())
        self.publish(deployment.fleet_text)
        for node in deployment.nodes:
            deployment.wait_ready(node)
        revision = self.published_revision()
        wait_until(
            lambda: self.lowest_revision() >= revision,
            timeout_s=RECOVERY_TIMEOUT_S,
        )

    def lowest_revision(self) -> int:
        """Returns the oldest revision that a reachable node applies.

        It is 0 if no node is reachable.
        """
        samples = self.observer.revisions()
        return min((sample.revision for sample in samples), default=0)

    def _sample_revisions(self) -> None:
        self._revisions += self.observer.revisions()


__all__ = ('CROWD', 'LOAD', 'Scenario', 'demo_keys')
