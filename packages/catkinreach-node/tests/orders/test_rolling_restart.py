"""A rolling restart of all nodes under load must not fail a request.

A stopping node must also serve requests that arrive on open connections
before the callers notice its shutdown.
"""

from __future__ import annotations

import itertools
import json
import threading
import time
from http.client import HTTPConnection
from pathlib import Path

from catkinreach_ctl.load.idempotency import uuid7
from catkinreach_standins.bench.deployment import (
    BenchOptions,
    Deployment,
    http_call,
)

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
CALLER = {'authorization': 'Bearer demo-key-sunday-bee'}
SETTLING_S = 4.0
PAUSE_S = 0.3
UNNOTICED_S = 0.2
"""Time after SIGTERM before a caller notices that the node is stopping."""

STOP_TIMEOUT_S = 60.0


class Traffic:
    """Threads that send status reads or orders through the balancer."""

    def __init__(self, port: int) -> None:
        """Prepares the threads without starting them."""
        self.answers: list[tuple[str, int, str]] = []
        self._port = port
        self._salts = itertools.count(1)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(method, path))
            for method, path in (
                ('GET', '/bee/status'),
                ('POST', '/bee/claims'),
            )
            for _ in range(2)
        ]

    @property
    def failures(self) -> list[tuple[str, int, str]]:
        """Returns the answers whose status is not 200."""
        return [answer for answer in self.answers if answer[1] != 200]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads and waits for them."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_requests(self, method: str, path: str) -> None:
        while not self._stopping.wait(PAUSE_S):
            key = uuid7(int(time.time() * 1000), next(self._salts))
            headers = {**CALLER, 'idempotency-key': key}
            try:
                status, body = http_call(
                    self._port, method, path, b'', headers, timeout_s=30
                )
                code = json.loads(body).get('code', '')
            except OSError as error:
                status, code = 0, type(error).__name__
            self.answers.append((path, status, code))


def test_rolling_restart_fails_no_request() -> None:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    with Deployment(BenchOptions(fleet=fleet)) as deployment:
        time.sleep(SETTLING_S)
        traffic = Traffic(deployment.balancer_port)
        traffic.start()
        try:
            for node in deployment.nodes:
                process = deployment.processes[node.vm_id]
                process.terminate()
                assert process.wait(STOP_TIMEOUT_S) == 0
                deployment.start_node(node)
                deployment.wait_ready(node)
        finally:
            traffic.stop()
    assert len(traffic.answers) > 50
    assert not traffic.failures


def test_draining_node_serves_requests_on_open_connections() -> None:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    with Deployment(BenchOptions(fleet=fleet)) as deployment:
        node = deployment.nodes[0]
        deployment.wait_ready(node)
        connection = HTTPConnection('127.0.0.1', node.caller_port, timeout=10)
        connection.request('GET', '/bee/status', headers=CALLER)
        with connection.getresponse() as before:
            before.read()
        deployment.processes[node.vm_id].terminate()
        time.sleep(UNNOTICED_S)
        connection.request('GET', '/bee/status', headers=CALLER)
        with connection.getresponse() as after:
            after.read()
        connection.close()
    assert (before.status, after.status) == (200, 200)
