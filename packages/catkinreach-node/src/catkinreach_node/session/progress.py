"""Progress of an answer over all attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkinreach_core.cell.reservations import FailureKind

from .engine_answers import EngineError

if TYPE_CHECKING:
    from .engine_answers import DecodeEvent


@dataclass(slots=True)
class AnswerProgress:
    """The tokens received so far and the finish reason of the answer."""

    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ''

    @property
    def is_complete(self) -> bool:
        """Returns whether an engine has completed the answer."""
        return bool(self.finish_reason)

    def add_event(self, event: DecodeEvent) -> tuple[str, ...]:
        """Appends the event's token and returns it if it is the next one.

        A token whose index was received before, or that follows the end, is
        dropped, so that a late or duplicate event adds nothing.

        Raises:
            EngineError: if a token before this event is missing.
        """
        if self.is_complete:
            return ()
        if event.done:
            if event.completion_tokens != len(self.tokens):
                raise _missing_token_error(len(self.tokens))
            self.finish_reason = event.finish
            return ()
        if event.index < len(self.tokens):
            return ()
        if event.index > len(self.tokens):
            raise _missing_token_error(len(self.tokens))
        self.tokens.append(event.token)
        return (event.token,)


def _missing_token_error(index: int) -> EngineError:
    return EngineError(
        0, f'decode stream lacks token {index}', FailureKind.REFUSED
    )


__all__ = ('AnswerProgress',)
