"""How requests and replies are spelled: implemented by an adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from catkinreach_core.gateway.terms import (
        KvHandle,
        ReplyMarks,
        RequestTerms,
        SendTerms,
    )
    from catkinreach_core.gateway.upstream import Stage, Upstream
    from catkinreach_core.settings.node import Address

    from ..http.messages import Headers, HttpRequest


class Dialect(Protocol):
    """Reads and writes requests and replies."""

    def read_request(self, request: HttpRequest) -> RequestTerms:
        """Returns what a caller asks."""

    def run_request(self, request: HttpRequest, send: SendTerms) -> HttpRequest:
        """Returns the request that an upstream is to run."""

    def prefill_request(
        self, request: HttpRequest, send: SendTerms
    ) -> HttpRequest:
        """Returns the call that only has the prompt read."""

    def read_reply(self, status: int, headers: Headers) -> ReplyMarks:
        """Returns what the head of a reply says."""

    def read_handle(self, engine: Address, body: bytes) -> KvHandle | None:
        """Returns the handle that a prefill call answered, if it did."""

    def free_request(self, handle: KvHandle) -> HttpRequest:
        """Returns the call that frees KV cache that nobody will take."""

    def stage_order(
        self, upstream: Upstream, stage: Stage, holder: str, fence: int
    ) -> HttpRequest:
        """Returns the order to change an engine's stage."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Returns the headers of a reply that the caller gets."""


__all__ = ('Dialect',)
