"""Callers on threads: each call is kept as a record for the checks."""

from __future__ import annotations

import http.client
import json
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

from ..checks.records import CallEnd, CallKind, CallRecord
from .pending_call import Call, read_stream
from .ports import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CALL_LIMIT_S = 60.0
PATIENCE_S = 20.0
RETRY_AFTER_S = 0.5
RETRIED = frozenset({429, 503})
NOT_RUN = 'not-run'
MAX_THREADS = 64
COMPLETIONS_PATH = '/v1/completions'
REQUEST_ID_HEADER = 'x-request-id'
_HTTP_OK = 200


class Callers:
    """Sends calls and keeps their records.

    Attributes:
        records: Records of all ended calls.
    """

    def __init__(self, keys: Mapping[str, str]) -> None:
        """Takes the key of each workspace."""
        self._keys = dict(keys)
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(MAX_THREADS)
        self.records: list[CallRecord] = []

    def close(self) -> None:
        """Lets calls under way end and stops the threads."""
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
        """Starts a completion that is sent again while it was not run."""
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
        cancel_after: int = 0,
    ) -> CallRecord:
        """Streams a completion; leaves after that many tokens if not 0."""
        call = Call(CallKind.MODEL, workspace)
        call.set(prompt=tuple(prompt), max_tokens=max_tokens)
        body = {
            'prompt': list(prompt),
            'max_tokens': max_tokens,
            'stream': True,
        }
        connection = _connect(port)
        try:
            response = self._send(
                call, connection, 'POST', COMPLETIONS_PATH, json.dumps(body)
            )
            if response.status == _HTTP_OK:
                read_stream(call, response, cancel_after)
            else:
                call.refuse(response.read())
                call.set(end=CallEnd.ANSWERED)
        except (OSError, http.client.HTTPException, ValueError):
            call.set(end=CallEnd.INTERRUPTED)
        finally:
            connection.close()
        return self._keep(call)

    def send_retried_completion(
        self,
        port: int,
        workspace: str,
        prompt: Sequence[int],
        *,
        max_tokens: int,
    ) -> CallRecord:
        """Sends a completion until it is not refused as ``not-run``.

        Every attempt becomes a record; the last one is returned.
        """
        end_s = time.monotonic() + PATIENCE_S
        while True:
            record = self.send_completion(
                port, workspace, prompt, max_tokens=max_tokens
            )
            is_refused = record.outcome == NOT_RUN and record.status in RETRIED
            if not is_refused or time.monotonic() > end_s:
                return record
            time.sleep(RETRY_AFTER_S)

    def send_order(
        self,
        port: int,
        workspace: str,
        path: str,
        key: str,
        body: str = '{}',
    ) -> CallRecord:
        """Sends an order once."""
        call = Call(CallKind.ORDER, workspace)
        call.set(key=key)
        headers = {'idempotency-key': key}
        return self._exchange(call, port, 'POST', path, body, headers)

    def send_read(self, port: int, workspace: str, path: str) -> CallRecord:
        """Sends a read to a plain service."""
        call = Call(CallKind.PLAIN, workspace)
        return self._exchange(call, port, 'GET', path, '', {})

    def open_connection(self, port: int) -> http.client.HTTPConnection:
        """Returns a connection that stays open over several calls."""
        return _connect(port)

    def send_read_on(
        self, connection: http.client.HTTPConnection, workspace: str, path: str
    ) -> CallRecord:
        """Sends a read on a connection that stays open."""
        call = Call(CallKind.PLAIN, workspace)
        try:
            self._read_whole(
                call, self._send(call, connection, 'GET', path, '')
            )
        except (OSError, http.client.HTTPException, ValueError):
            call.set(end=CallEnd.INTERRUPTED)
        return self._keep(call)

    def _exchange(
        self,
        call: Call,
        port: int,
        method: str,
        path: str,
        body: str,
        headers: dict[str, str],
    ) -> CallRecord:
        connection = _connect(port)
        try:
            self._read_whole(
                call,
                self._send(call, connection, method, path, body, headers),
            )
        except (OSError, http.client.HTTPException, ValueError):
            call.set(end=CallEnd.INTERRUPTED)
        finally:
            connection.close()
        return self._keep(call)

    def _send(
        self,
        call: Call,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: str,
        headers: dict[str, str] | None = None,
    ) -> http.client.HTTPResponse:
        sent = dict(headers or {})
        workspace = call.record().workspace
        if workspace:
            sent['authorization'] = f'Bearer {self._keys[workspace]}'
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        call.set(
            status=response.status,
            request_id=response.getheader(REQUEST_ID_HEADER, ''),
        )
        return response

    def _read_whole(
        self, call: Call, response: http.client.HTTPResponse
    ) -> None:
        body = response.read()
        if response.status == _HTTP_OK:
            document = json.loads(body)
            call.set(served_workspace=document.get('workspace', ''))
        else:
            call.refuse(body)
        call.set(end=CallEnd.ANSWERED)

    def _keep(self, call: Call) -> CallRecord:
        record = call.record()
        with self._lock:
            self.records.append(record)
        return record


def _connect(port: int) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_LIMIT_S)


__all__ = ('CALL_LIMIT_S', 'Callers')
