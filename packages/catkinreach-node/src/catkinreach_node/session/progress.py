"""How much of an answer the caller has."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkinreach_core.cell.reservations import FailureKind

from .engine_client import EngineError

if TYPE_CHECKING:
    from .engine_client import DecodeEvent


@dataclass(slots=True)
class AnswerProgress:
    """The tokens so far and how the answer ended."""

    tokens: list[str] = field(default_factory=list)
    finish: str = ''

    @property
    def is_complete(self) -> bool:
        """Tells whether the engine has ended the answer."""
        return bool(self.finish)

    def take(self, event: DecodeEvent) -> str | None:
        """Returns the event's token if it is the next one.

        An index that was seen before is dropped, so that an answer which
        comes late or twice adds nothing.

        Raises:
            EngineError: if a token is missing.
        """
        if event.done:
            if event.completion_tokens != len(self.tokens):
                raise _missing(len(self.tokens))
            self.finish = event.finish
            return None
        if event.index < len(self.tokens):
            return None
        if event.index > len(self.tokens):
            raise _missing(len(self.tokens))
        self.tokens.append(event.token)
        return event.token


def _missing(index: int) -> EngineError:
    return EngineError(0, f'token {index} is missing', FailureKind.REFUSED)


__all__ = ('AnswerProgress',)
