"""Interface of the platform adapter that encodes requests and replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from catkinreach_core.gateway.metadata import (
        ForwardMetadata,
        KvHandle,
        ReplyMetadata,
        RequestMetadata,
    )
    from catkinreach_core.gateway.upstream import Stage, Upstream
    from catkinreach_core.settings.node import Address

    from ..http.messages import Headers, HttpRequest


class Dialect(Protocol):
    """Translates between HTTP messages and the gateway's own types."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Returns the metadata of a caller's request."""

    def upstream_request(
        self, request: HttpRequest, metadata: ForwardMetadata
    ) -> HttpRequest:
        """Returns the request to forward to an upstream."""

    def prefill_request(
        self, request: HttpRequest, metadata: ForwardMetadata
    ) -> HttpRequest:
        """Returns the request that only prefills the prompt."""

    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Returns the metadata of a reply, from its status and headers."""

    def read_handle(self, engine: Address, body: bytes) -> KvHandle | None:
        """Returns the KV handle in a prefill reply, ``None`` without one."""

    def release_request(self, handle: KvHandle) -> HttpRequest:
        """Returns the request that frees KV cache which won't be imported."""

    def health_request(self, path: str) -> HttpRequest:
        """Returns the request of a health check; the reply names its sender."""

    def alive_request(self, upstream: Upstream, path: str) -> HttpRequest:
        """Returns a request that any running upstream answers.

        Model engines do so without waiting for a slot.
        """

    def read_started_ms(self, body: bytes) -> int | None:
        """Returns the start that the reply to such a request names.

        In Unix milliseconds; ``None`` if it names none.
        """

    def held_prompts_request(self, upstream: Upstream) -> HttpRequest:
        """Returns the request that lists the parts of prompts it holds."""

    def read_held_prompts(self, body: bytes) -> tuple[str, ...]:
        """Returns the ids of the parts in the reply to such a request.

        Raises:
            DocumentError: if it is malformed.
        """

    def stage_order(
        self, upstream: Upstream, stage: Stage, leader: str, fencing_number: int
    ) -> HttpRequest:
        """Returns the request that orders an engine to change its stage."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Returns the headers of a reply that are passed to the caller."""


__all__ = ('Dialect',)
