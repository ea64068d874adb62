"""What a request asks and what an upstream's reply says, decoded."""

from __future__ import annotations

from msgspec import Struct

from ..ids import RequestId, UpstreamId, WorkspaceId
from ..settings.node import Address


class RequestMetadata(Struct, frozen=True, kw_only=True):
    """What a caller asks, besides path and body.

    Attributes:
        request_id: Id of this attempt of the caller; empty if missing.
        host: Host that the caller named.
        key: Bearer key, if any.
        deadline_s: Seconds that the caller waits, ``None`` if it didn't say.
        prompt_tokens: Tokens to read; ``None`` if it didn't say.
        output_tokens: Most tokens to generate.
        resume_after: Last event that the caller has, if it resumes a stream.
    """

    request_id: RequestId
    host: str
    key: str | None
    deadline_s: float | None
    prompt_tokens: int | None
    output_tokens: int
    resume_after: int | None

    @property
    def total_tokens(self) -> int:
        """Returns the tokens that the request may take, 0 if not told."""
        return (self.prompt_tokens or 0) + self.output_tokens


class KvHandle(Struct, frozen=True, kw_only=True):
    """KV cache of a prompt that an engine has read and keeps for a while.

    Attributes:
        engine: Where it lies.
        name: Its name there.
    """

    engine: Address
    name: str


class ForwardMetadata(Struct, frozen=True, kw_only=True):
    """What the node tells the upstream that it sends a request to.

    Attributes:
        upstream_id: The upstream that is meant; another one refuses.
        workspace_id: Workspace of the key, ``None`` on public routes.
        deadline_s: Seconds left.
        priority: Rank; 0 is the most urgent.
        source: KV cache to start from, if the prompt was read elsewhere.
        resume_after: Last event that the caller has, if any.
    """

    upstream_id: UpstreamId
    workspace_id: WorkspaceId | None
    deadline_s: float
    priority: int
    source: KvHandle | None = None
    resume_after: int | None = None


class ReplyMetadata(Struct, frozen=True, kw_only=True):
    """What the head of an upstream's reply says.

    Attributes:
        request_id: Request that it answers; ``None`` if not told.
        is_sealed: Whether the upstream vouches for the reply.
        has_not_run: Whether it says that the request did not run.
        is_misdirected: Whether it refuses because it isn't the upstream, or
            not of the stage, that was meant.
        answered_by: The upstream that it says it is, if told.
        idle_timeout_s: Time that it keeps an idle connection, if told.
    """

    request_id: RequestId | None
    is_sealed: bool
    has_not_run: bool
    is_misdirected: bool
    answered_by: UpstreamId | None
    idle_timeout_s: float | None

    def is_from_other_upstream(self, upstream_id: UpstreamId) -> bool:
        """Tells whether another upstream has the address of this one.

        A refusal that names nobody may come from the upstream itself, at
        another stage than was meant.
        """
        is_named = self.answered_by is not None
        return (
            self.is_misdirected and is_named and self.answered_by != upstream_id
        )

    def is_reply_to(self, request_id: RequestId) -> bool:
        """Tells whether it is the reply to a request.

        A reply that names no request can be a second one to an earlier
        request; only refusals are taken without a name.
        """
        if self.request_id is None:
            return self.has_not_run
        return self.request_id == request_id


__all__ = ('ForwardMetadata', 'KvHandle', 'ReplyMetadata', 'RequestMetadata')
