"""Whether HTTP allows a request."""

from __future__ import annotations

import h11

from catkinreach_node.http.messages import HttpRequest, encode_headers


def is_sendable(request: HttpRequest) -> bool:
    """Returns whether the method, target and headers can be sent."""
    try:
        h11.Request(
            method=request.method,
            target=request.target,
            headers=[(b'host', b'a'), *encode_headers(request.headers)],
        )
    except (h11.LocalProtocolError, UnicodeEncodeError):
        return False
    return True


__all__ = ('is_sendable',)
