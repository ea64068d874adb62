"""A rolling restart of the whole fleet under load fails no request."""

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
SETTLED_S = 4.0
PAUSE_S = 0.3
NOTICED_S = 0.2
"""Time after SIGTERM in which a caller may not have noticed."""

STOP_LIMIT_S = 60.0


class Traffic:
    """Status reads and orders through the balancer, one after another."""

    def __init__(self, port: int) -> None:
        """Starts nothing yet."""
        self.answers: list[tuple[str, int, str]] = []
        self._port = port
        self._salts = itertools.count(1)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._repeat, args=(method, path))
            for method, path in (
                ('GET', '/bee/status'),
                ('POST', '/bee/claims'),
            )
            for _ in range(2)
        ]

    @property
    def failures(self) -> list[tuple[str, int, str]]:
        """Returns the answers that were not whole."""
        return [answer for answer in self.answers if answer[1] != 200]

    def start(self) -> None:
        """Starts the traffic."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the traffic."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _repeat(self, method: str, path: str) -> None:
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
        time.sleep(SETTLED_S)
        traffic = Traffic(deployment.balancer_port)
        traffic.start()
        try:
            for node in deployment.nodes:
                process = deployment.processes[node.vm_id]
                process.terminate()
                assert process.wait(STOP_LIMIT_S) == 0
                deployment.start_node(node)
                deployment.wait_ready(node)
        finally:
            traffic.stop()
    assert len(traffic.answers) > 50
    assert not traffic.failures


def test_draining_node_serves_what_still_arrives() -> None:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    with Deployment(BenchOptions(fleet=fleet)) as deployment:
        node = deployment.nodes[0]
        deployment.wait_ready(node)
        connection = HTTPConnection('127.0.0.1', node.caller_port, timeout=10)
        connection.request('GET', '/bee/status', headers=CALLER)
        with connection.getresponse() as before:
            before.read()
        deployment.processes[node.vm_id].terminate()
        time.sleep(NOTICED_S)
        connection.request('GET', '/bee/status', headers=CALLER)
        with connection.getresponse() as after:
            after.read()
        connection.close()
    assert (before.status, after.status) == (200, 200)
