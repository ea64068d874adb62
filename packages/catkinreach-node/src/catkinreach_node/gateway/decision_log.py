"""Structured log: JSON lines on standard output, bounded and non-blocking."""

from __future__ import annotations

import logging
import os
import traceback
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, Final

import msgspec
from loguru import logger

from ..standard_streams import STDOUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Message, Record

LINES_PER_S: Final = 60.0
"""Sustained rate of lines that a process writes for one event, or for one code
of refusals."""

LINE_BURST: Final = 200.0
"""Lines of one event that a process may write at once."""

MAX_PENDING_BYTES: Final = 256 * 1024
MAX_TRACE_CHARS: Final = 3000
DOCUMENT_KEY: Final = 'document'


class Event(Enum):
    """Names of the events in the log."""

    START = 'start'
    STOP = 'stop'
    STOPPING = 'stopping'
    RELOAD = 'reload'
    DEPENDENCY_LOST = 'dependency-lost'
    DEPENDENCY_BACK = 'dependency-back'
    STORE_RESTORED = 'store-restored'
    SNAPSHOT = 'snapshot'
    CATALOG = 'catalog-accepted'
    UPSTREAM_KNOWN = 'upstream-known'
    UPSTREAM_GONE = 'upstream-gone'
    ENTRY_UNREADABLE = 'entry-unreadable'
    DOMAIN = 'domain'
    PEER_HEARD = 'peer-heard'
    PEER_SILENT = 'peer-silent'
    CUT_OFF = 'cut-off'
    REACHABLE = 'reaches-upstreams'
    RELAY_FAILED = 'relay-failed'
    UPSTREAM_DOWN = 'upstream-down'
    UPSTREAM_UP = 'upstream-up'
    UPSTREAM_LEAVING = 'upstream-leaving'
    UPSTREAM_PAUSED = 'upstream-paused'
    UPSTREAM_LIMITED = 'upstream-limited'
    UPSTREAM_REPORTED = 'upstream-reported'
    SERVICE_UNAVAILABLE = 'service-unavailable'
    REFUSED = 'refused'
    PLACED = 'placed'
    GAVE_WAY = 'gave-way'
    WAITS_FOR_URGENT = 'waits-for-urgent'
    SEND_FAILED = 'send-failed'
    REPLY_SKIPPED = 'reply-skipped'
    STREAM_VERSION = 'stream-version'
    HELD_PROMPTS = 'held-prompts'
    RESUMED = 'resumed'
    SILENT_KEPT = 'silent-kept'
    FAILED = 'failed'
    ANSWERED = 'answered'
    CALLER_LEFT = 'caller-left'
    UNANSWERED = 'unanswered'
    SUSPECT = 'crash-suspect'
    ORDER = 'order'
    LINES_DROPPED = 'lines-dropped'
    TASK_FAILED = 'task-failed'
    INTERNAL = 'internal-error'


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Lines that the descriptor doesn't accept are buffered; when the buffer is
    full, new lines are dropped.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes the descriptor non-blocking."""
        self._descriptor = descriptor
        self._pending = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, message: Message) -> None:
        """Writes a line, or buffers what the descriptor doesn't accept."""
        line = str(message).encode()
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            return
        self._pending = self._pending[written:]


class DecisionLog:
    """Logs one line per decision, rate-limited per event.

    Refusals are limited by code: a crowd that asks for unknown routes doesn't
    hide why others are refused.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts with the full budget for every event."""
        self._clock = clock
        self._tokens: dict[tuple[Event, object], tuple[float, float]] = {}
        self._dropped: Counter[str] = Counter()
        self._total_dropped = 0

    @property
    def dropped(self) -> int:
        """Returns the number of lines dropped so far."""
        return self._total_dropped

    def write(self, event: Event, **fields: object) -> None:
        """Writes a line unless the event's budget is used up.

        Args:
            event: What happened.
            fields: Request id, inputs, their age or version, outcome.
        """
        if not self._spend_token((event, fields.get('code'))):
            self._dropped[event.value] += 1
            self._total_dropped += 1
            return
        if self._dropped:
            dropped = dict(self._dropped)
            self._dropped.clear()
            _emit(Event.LINES_DROPPED, {'count': dropped})
        _emit(event, fields)

    def _spend_token(self, budget: tuple[Event, object]) -> bool:
        now_s = self._clock()
        tokens, at_s = self._tokens.get(budget, (LINE_BURST, now_s))
        tokens = min(LINE_BURST, tokens + (now_s - at_s) * LINES_PER_S)
        is_within_budget = tokens >= 1
        self._tokens[budget] = (tokens - is_within_budget, now_s)
        return is_within_budget


class LoguruHandler(logging.Handler):
    """Forwards records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forwards one record."""
        logger.opt(exception=record.exc_info).log(
            record.levelname, record.getMessage()
        )


def set_up_decision_log() -> None:
    """Sends log records to standard output, one JSON document per line."""
    writer = LineWriter(STDOUT)
    logger.remove()
    logger.add(writer, format=_format_line, catch=False, level='INFO')
    logging.basicConfig(
        handlers=[LoguruHandler()], level=logging.WARNING, force=True
    )


def _format_line(record: Record) -> str:
    """Returns the loguru format of a record and adds its JSON document."""
    document = record['extra'].get(DOCUMENT_KEY)
    if document is None:
        document = {
            'event': 'message',
            'level': record['level'].name.lower(),
            'text': record['message'],
        }
        error = record['exception']
        if error is not None and error.value is not None:
            trace = traceback.format_exception(error.value)
            document['trace'] = ''.join(trace)[-MAX_TRACE_CHARS:]
    document['time'] = round(record['time'].timestamp(), 4)
    record['extra']['line'] = msgspec.json.encode(document).decode()
    return '{extra[line]}\n'


def _emit(event: Event, fields: dict[str, object]) -> None:
    logger.bind(**{DOCUMENT_KEY: {'event': event.value, **fields}}).info('')


__all__ = ('DecisionLog', 'Event', 'LineWriter', 'set_up_decision_log')
