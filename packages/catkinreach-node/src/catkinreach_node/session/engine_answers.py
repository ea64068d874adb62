"""Answers and errors of the engine API."""

from __future__ import annotations

import msgspec

from catkinreach_core.cell.reservations import FailureKind
from catkinreach_core.ids import Incarnation, VmId
from catkinreach_core.json_ranges import Count, Seconds


class EngineError(Exception):
    """A call that an engine refused or did not complete.

    Attributes:
        status: HTTP status; 0 if there was no complete response.
        reason: The engine's error text or the error of the connection.
        kind: How the call failed.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        kind: FailureKind = FailureKind.REFUSED,
    ) -> None:
        """Takes the status, the reason and the kind of the failure."""
        self.status = status
        self.reason = reason
        self.kind = kind
        super().__init__(f'engine call failed: {status} {reason}')


class Holder(msgspec.Struct, frozen=True):
    """The node process that holds memory on an engine."""

    vm: VmId
    incarnation: Incarnation


class PrefillAnswer(msgspec.Struct, frozen=True):
    """Response of a prefill: the KV cache export on the prefill engine."""

    export_id: str
    prompt_tokens: Count
    cached_tokens: Count
    kv_pieces: Count
    expires_in_s: Seconds


class ImportAnswer(msgspec.Struct, frozen=True):
    """Response of an import: the imported KV cache on the decode engine."""

    import_id: str
    kv_pieces: Count


class DecodeEvent(msgspec.Struct, frozen=True):
    """An event of a decode: a token, or the end of the answer.

    Attributes:
        index: Index of the token in the whole answer; -1 in the final event.
        token: Text of the token.
        done: Whether this is the final event.
        finish: Finish reason, in the final event.
        completion_tokens: Number of tokens in the whole answer, in the final
            event.
    """

    index: int = -1
    token: str = ''
    done: bool = False
    finish: str = ''
    completion_tokens: Count = 0


__all__ = (
    'DecodeEvent',
    'EngineError',
    'Holder',
    'ImportAnswer',
    'PrefillAnswer',
)
