"""Sends calls on threads and keeps a record of each for the checks.

A call is a request that a caller sends, with its answer.
"""

from __future__ import annotations

import http.client
import json
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

from ..checks.records import CallEnd, CallKind, CallRecord
from .pending_call import PendingCall, read_stream
from .ports import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CALL_TIMEOUT_S = 60.0
RETRY_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.5
RETRIED_STATUSES = frozenset({429, 503})
NOT_RUN = 'not-run'
MAX_CALLER_THREADS = 64
COMPLETIONS_PATH = '/v1/completions'
REQUEST_ID_HEADER = 'x-request-id'
_HTTP_OK = 200


class Callers:
    """Thread pool that sends calls and keeps their records.

    Attributes:
        records: Records of all ended calls.
    """

    def __init__(self, keys: Mapping[str, str]) -> None:
        """Creates the pool; ``keys`` are the API keys by workspace."""
        self._keys = dict(keys)
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(MAX_CALLER_THREADS)
        self.records: list[CallRecord] = []

    def close(self) -> None:
        """Waits for running calls and stops the threads; drops queued calls."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def start_completion(
        self, port: int, workspace: str, prompt: Sequence[int], **options: int
    ) -> Future[CallRecord]:
        """Starts a completion on a thread."""
        return self._pool.submit(
            self.send_completion, port, workspace, prompt, **options
        )

    def start_retried_completion(
        self,
        port: int,
        workspace: str,
        prompt: Sequence[int],
        *,
        max_tokens: int,
    ) -> Future[CallRecord]:
        """Starts a completion that is retried while refused as ``not-run``."""
        return self._pool.submit(
            self.send_retried_completion,
            port,
            workspace,
            prompt,
            max_tokens=max_tokens,
        )

    def start_order(
        self,
        port: int,
        workspace: str,
        path: str,
        key: str,
        body: str = '{}',
    ) -> Future[CallRecord]:
        """Starts an order on a thread."""
        return self._pool.submit(
            self.send_order, port, workspace, path, key, body
        )

    def start_read(
        self, port: int, workspace: str, path: str
    ) -> Future[CallRecord]:
        """Starts a read on a thread."""
        return self._pool.submit(self.send_read, port, workspace, path)

    def send_completion(
        self,
        port: int,
        workspace: str,
        prompt: Sequence[int],
        *,
        max_tokens: int = 8,
        cancel_after_tokens: int = 0,
    ) -> CallRecord:
        """Streams a completion.

        Disconnects after ``cancel_after_tokens`` tokens unless that is 0.
        """
        call = PendingCall(CallKind.MODEL, workspace)
        call.set_fields(prompt=tuple(prompt), max_tokens=max_tokens)
        body = {
            'prompt': list(prompt),
            'max_tokens': max_tokens,
            'stream': True,
        }
        connection = _connect(port)
        try:
            response = self._send_request(
                call, connection, 'POST', COMPLETIONS_PATH, json.dumps(body)
            )
            if response.status == _HTTP_OK:
                read_stream(call, response, cancel_after_tokens)
            else:
                call.record_refusal(response.read())
                call.set_fields(end=CallEnd.ANSWERED)
        except (OSError, http.client.HTTPException, ValueError):
            call.set_fields(end=CallEnd.INTERRUPTED)
        finally:
            connection.close()
        return self._add_record(call)

    def send_retried_completion(
        self,
        port: int,
        workspace: str,
        prompt: Sequence[int],
        *,
        max_tokens: int,
    ) -> CallRecord:
        """Retries a completion while it is refused as ``not-run``.

        Retries end after ``RETRY_TIMEOUT_S``. Every attempt is recorded; the
        record of the last one is returned.
        """
        deadline_s = time.monotonic() + RETRY_TIMEOUT_S
        while True:
            record = self.send_completion(
                port, workspace, prompt, max_tokens=max_tokens
            )
            is_retryable = (
                record.outcome == NOT_RUN and record.status in RETRIED_STATUSES
            )
            if not is_retryable or time.monotonic() > deadline_s:
                return record
            time.sleep(RETRY_DELAY_S)

    def send_order(
        self,
        port: int,
        workspace: str,
        path: str,
        key: str,
        body: str = '{}',
    ) -> CallRecord:
        """Sends an order once, without retries."""
        call = PendingCall(CallKind.ORDER, workspace)
        call.set_fields(key=key)
        headers = {'idempotency-key': key}
        return self._exchange_once(call, port, 'POST', path, body, headers)

    def send_read(self, port: int, workspace: str, path: str) -> CallRecord:
        """Sends a read to a plain service on a new connection."""
        call = PendingCall(CallKind.PLAIN, workspace)
        return self._exchange_once(call, port, 'GET', path, '', {})

    def open_connection(self, port: int) -> http.client.HTTPConnection:
        """Returns a persistent connection; it is not closed by this object."""
        return _connect(port)

    def send_read_on(
        self, connection: http.client.HTTPConnection, workspace: str, path: str
    ) -> CallRecord:
        """Sends a read on an open connection and keeps it open."""
        call = PendingCall(CallKind.PLAIN, workspace)
        try:
            self._read_body(
                call, self._send_request(call, connection, 'GET', path, '')
            )
        except (OSError, http.client.HTTPException, ValueError):
            call.set_fields(end=CallEnd.INTERRUPTED)
        return self._add_record(call)

    def _exchange_once(
        self,
        call: PendingCall,
        port: int,
        method: str,
        path: str,
        body: str,
        headers: dict[str, str],
    ) -> CallRecord:
        connection = _connect(port)
        try:
            self._read_body(
                call,
                self._send_request(
                    call, connection, method, path, body, headers
                ),
            )
        except (OSError, http.client.HTTPException, ValueError):
            call.set_fields(end=CallEnd.INTERRUPTED)
        finally:
            connection.close()
        return self._add_record(call)

    def _send_request(
        self,
        call: PendingCall,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: str,
        headers: dict[str, str] | None = None,
    ) -> http.client.HTTPResponse:
        all_headers = dict(headers or {})
        workspace = call.record().workspace
        if workspace:
            all_headers['authorization'] = f'Bearer {self._keys[workspace]}'
        connection.request(method, path, body=body, headers=all_headers)
        response = connection.getresponse()
        call.set_fields(
            status=response.status,
            request_id=response.getheader(REQUEST_ID_HEADER, ''),
        )
        return response

    def _read_body(
        self, call: PendingCall, response: http.client.HTTPResponse
    ) -> None:
        body = response.read()
        if response.status == _HTTP_OK:
            document = json.loads(body)
            call.set_fields(served_workspace=document.get('workspace', ''))
        else:
            call.record_refusal(body)
        call.set_fields(end=CallEnd.ANSWERED)

    def _add_record(self, call: PendingCall) -> CallRecord:
        record = call.record()
        with self._lock:
            self.records.append(record)
        return record


def _connect(port: int) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_TIMEOUT_S)


__all__ = ('CALL_TIMEOUT_S', 'Callers')
