"""Results and errors of an engine's calls."""

from __future__ import annotations

import msgspec


class RefusedCallError(Exception):
    """A call that the engine refuses.

    Attributes:
        status: HTTP status of the response.
        code: Error code in the body of the response.
    """

    def __init__(self, status: int, code: str) -> None:
        """Takes the status and the error code of the response."""
        super().__init__(code)
        self.status = status
        self.code = code


class LoadSample(msgspec.Struct, frozen=True):
    """The engine's load at one time.

    Attributes:
        at_s: Time of the sample on the monotonic clock.
        running: Prefills and decodes that run.
        waiting: Prefills that wait for their turn.
        kv_pieces_free: KV pieces that no holding occupies.
    """

    at_s: float
    running: int
    waiting: int
    kv_pieces_free: int


class PrefillOutcome(msgspec.Struct, frozen=True):
    """Response of ``POST /v1/prefill``.

    Attributes:
        export_id: Key of the export on this engine.
        prompt_tokens: Length of the prompt.
        cached_tokens: Tokens of the prompt that the prefix cache had.
        kv_pieces: KV pieces that the export occupies.
        expires_in_s: Real seconds until the export expires.
    """

    export_id: str
    prompt_tokens: int
    cached_tokens: int
    kv_pieces: int
    expires_in_s: float


__all__ = ('LoadSample', 'PrefillOutcome', 'RefusedCallError')
