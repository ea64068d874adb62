"""Reads a completion's answer, streamed as server-sent events or whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .observation import Observation

_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data: '
_ERROR_PREFIX = b'event: error'
_DONE = b'[DONE]'


class Delta(msgspec.Struct, frozen=True):
    """Text that a chat event adds."""

    content: str = ''


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an event or answer."""

    delta: Delta = Delta()
    message: Delta = Delta()
    text: str = ''
    finish_reason: str | None = None


class CompletionEvent(msgspec.Struct, frozen=True):
    """One event, or a whole answer."""

    choices: tuple[Choice, ...] = ()
    code: str = ''


class AnswerReader:
    """Collects tokens and their times from the chunks of a stream."""

    def __init__(self, observation: Observation) -> None:
        """Starts without a token; fills in the observation."""
        self._observation = observation
        self._decoder = msgspec.json.Decoder(CompletionEvent)
        self._pending = b''
        self._parts: list[str] = []
        self._last_at_s = 0.0
        self._finish = ''
        self._end_count = 0
        self._error_code = ''

    @property
    def text(self) -> str:
        """Returns the text so far."""
        return ''.join(self._parts)

    @property
    def fault(self) -> str:
        """Returns why the stream is not whole; empty if it is."""
        if self._error_code:
            return self._error_code
        if not self._finish or self._end_count != 1 or self._pending:
            return 'cut-short'
        return ''

    def feed(self, chunk: bytes, at_s: float) -> None:
        """Takes a chunk of the body that arrived at a time.

        Raises:
            msgspec.DecodeError: if an event can't be read.
        """
        *events, self._pending = (self._pending + chunk).split(_EVENT_END)
        for event in events:
            self._take_event(event, at_s)

    def take_whole(self, body: bytes, at_s: float) -> None:
        """Takes the body of an answer that was not streamed."""
        answer = self._decoder.decode(body)
        self._observation.first_at_s = at_s
        for choice in answer.choices:
            self._parts.append(choice.message.content or choice.text)
            self._finish = choice.finish_reason or ''
        self._observation.token_count = len(self.text.split())
        self._end_count = 1

    def _take_event(self, event: bytes, at_s: float) -> None:
        _, _, document = event.partition(_DATA_PREFIX)
        if document == _DONE:
            self._end_count += 1
            return
        decoded = self._decoder.decode(document)
        if event.startswith(_ERROR_PREFIX):
            self._error_code = decoded.code or 'stream-error'
            return
        for choice in decoded.choices:
            self._finish = choice.finish_reason or self._finish
            self._take_text(choice.delta.content or choice.text, at_s)

    def _take_text(self, text: str, at_s: float) -> None:
        if not text:
            return
        observation = self._observation
        if observation.token_count:
            observation.gaps_s.append(at_s - self._last_at_s)
        else:
            observation.first_at_s = at_s
        self._last_at_s = at_s
        observation.token_count += 1
        self._parts.append(text)


__all__ = ('AnswerReader',)
