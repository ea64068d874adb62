"""Datagrams about the software versions at which streams began."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from ..ids import RequestId, ServiceId, SoftwareVersion

MAX_STREAMS_TOLD = 64
"""Most streams in one notice."""

MAX_TOLD_CHARS = 100
"""Longest request id and software version that a notice holds."""

_RequestId = Annotated[RequestId, Meta(max_length=MAX_TOLD_CHARS)]
_SoftwareVersion = Annotated[SoftwareVersion, Meta(max_length=MAX_TOLD_CHARS)]


class StreamNotice(Struct, array_like=True, kw_only=True, tag='streams'):
    """Streams that begin, or go on, at the sender.

    Attributes:
        node: Address of the sender.
        origins: Software version that began each stream, by the request that
            brought its first event.
    """

    node: str
    origins: Annotated[
        dict[_RequestId, _SoftwareVersion], Meta(max_length=MAX_STREAMS_TOLD)
    ]


class OriginQuery(Struct, array_like=True, kw_only=True, tag='origin-query'):
    """Question at which software version a stream began.

    Attributes:
        node: Address of the sender.
        query_id: Number that the reply repeats.
        request: Request that brought the stream's first event.
        service: Service of the stream.
        held_part: Part of the stream's prompt, if the receiver is to ask the
            engines which of them hold it; empty to tell only what it knows.
    """

    node: str
    query_id: int
    request: RequestId
    service: ServiceId
    held_part: Annotated[str, Meta(max_length=MAX_TOLD_CHARS)] = ''


class OriginReply(Struct, array_like=True, kw_only=True, tag='origin-reply'):
    """What a node knows of the version at which a stream began.

    Attributes:
        node: Address of the sender.
        query_id: Number of the query.
        version: The version; ``None`` if it isn't known.
    """

    node: str
    query_id: int
    version: _SoftwareVersion | None


__all__ = (
    'MAX_TOLD_CHARS',
    'OriginQuery',
    'OriginReply',
    'StreamNotice',
)
