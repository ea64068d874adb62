"""Decoded metadata of requests and of the replies of upstreams."""

from __future__ import annotations

from msgspec import Struct

from ..ids import RequestId, UpstreamId, WorkspaceId
from ..settings.node import Address

NO_REQUEST = RequestId('')


class RequestMetadata(Struct, frozen=True, kw_only=True):
    """Metadata of a caller's request, besides path and body.

    Attributes:
        request_id: Id that the caller gave this attempt; empty if missing.
        host: Host of the request.
        key: API key from the bearer authorization, if any.
        deadline_s: Seconds that the caller waits, ``None`` if not given.
        prompt_tokens: Tokens of the prompt; ``None`` if not given.
        output_tokens: Maximum number of tokens to generate.
        resume_after: Id of the last event that the caller has, if it resumes
            a stream.
        resumes: Request that brought the first event of the stream that the
            caller resumes; empty if not given.
        shared_parts: Ids of the parts of the prompt that other requests may
            have too, in order.
        own_part: Id of the last part, which is the request's own; empty if
            not given.
        out_of_range: Name of a header with a number out of its range; empty
            for none.
    """

    request_id: RequestId
    host: str
    key: str | None
    deadline_s: float | None
    prompt_tokens: int | None
    output_tokens: int
    resume_after: int | None
    resumes: RequestId = NO_REQUEST
    shared_parts: tuple[str, ...] = ()
    own_part: str = ''
    out_of_range: str = ''

    @property
    def is_resumption(self) -> bool:
        """Returns whether the caller resumes a stream that has begun."""
        return self.resume_after is not None or bool(self.resumes)

    @property
    def origin(self) -> RequestId:
        """Returns the request that brings, or brought, the first event.

        It is empty for a resumption that doesn't name it.
        """
        return self.resumes if self.is_resumption else self.request_id

    @property
    def total_tokens(self) -> int:
        """Returns the prompt and output tokens; missing counts are 0."""
        return (self.prompt_tokens or 0) + self.output_tokens


class KvHandle(Struct, frozen=True, kw_only=True):
    """KV cache of a prefilled prompt that an engine keeps for a while.

    Attributes:
        engine: Address of the engine that keeps it.
        name: Name of the KV cache at that engine.
    """

    engine: Address
    name: str


class ForwardMetadata(Struct, frozen=True, kw_only=True):
    """Metadata of a request that the node forwards to an upstream.

    Attributes:
        upstream_id: The intended upstream; any other one refuses.
        workspace_id: Workspace of the key, ``None`` on public routes.
        deadline_s: Seconds until the deadline.
        priority: Priority; 0 is the most urgent.
        source: KV cache to start from, if another engine prefilled the
            prompt.
        resume_after: Id of the last event that the caller has, if any.
    """

    upstream_id: UpstreamId
    workspace_id: WorkspaceId | None
    deadline_s: float
    priority: int
    source: KvHandle | None = None
    resume_after: int | None = None


class ReplyMetadata(Struct, frozen=True, kw_only=True):
    """Metadata in the head of an upstream's reply.

    Attributes:
        request_id: Request that the reply is for; ``None`` if not given.
        is_sealed: Whether the reply has the seal header, which upstreams set.
        has_not_run: Whether the upstream reports that the request did not
            run.
        is_misdirected: Whether the upstream refused because it is not the
            intended one, or not in the intended stage.
        answered_by: Upstream that sent the reply, if given.
        idle_timeout_s: Time that the upstream keeps an idle connection open,
            if given.
        is_leaving: Whether the upstream reports that it is about to leave.
        pause_s: Time for which the upstream wants no request of this node;
            ``None`` if it doesn't ask for a pause.
        limit_per_s: Requests a second that the upstream takes from all nodes;
            ``None`` if it names no limit.
    """

    request_id: RequestId | None
    is_sealed: bool
    has_not_run: bool
    is_misdirected: bool
    answered_by: UpstreamId | None
    idle_timeout_s: float | None
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None

    def is_from_other_upstream(self, upstream_id: UpstreamId) -> bool:
        """Returns whether another upstream uses the address of this one.

        A refusal without an upstream id may come from the intended upstream
        itself, if that is in another stage than expected.
        """
        has_upstream_id = self.answered_by is not None
        return (
            self.is_misdirected
            and has_upstream_id
            and self.answered_by != upstream_id
        )

    def is_reply_to(
        self, request_id: RequestId, *, is_first_reply: bool
    ) -> bool:
        """Returns whether this is the reply to a request.

        A reply without a request id may be a second reply to an earlier
        request; only refusals are accepted without one, and only if the
        connection carried no earlier request.

        Args:
            request_id: The request that was sent.
            is_first_reply: Whether this is the first reply to the first
                request on its connection.
        """
        if self.request_id is None:
            return self.has_not_run and is_first_reply
        return self.request_id == request_id


__all__ = ('ForwardMetadata', 'KvHandle', 'ReplyMetadata', 'RequestMetadata')
