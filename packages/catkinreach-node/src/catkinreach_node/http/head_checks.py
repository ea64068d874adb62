"""Checks of a request head, before anything of its body is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind

if TYPE_CHECKING:
    import h11


def check_head(head: h11.Request, max_fields: int) -> None:
    """Refuses a head that must not be served.

    Args:
        head: The whole head.
        max_fields: Largest number of its fields.

    Raises:
        CatkinreachError: if it isn't allowed; nothing has run.
    """
    _check_method(head)
    _check_framing(head)
    _check_field_count(head, max_fields)


def content_length(head: h11.Request) -> int:
    """Returns the length of a body; 0 if it comes in chunks."""
    lengths = [text for name, text in head.headers if name == b'content-length']
    return int(lengths[0]) if lengths else 0


def _check_method(head: h11.Request) -> None:
    """Refuses a request for a tunnel, whose answer would end the exchange."""
    if head.method == b'CONNECT':
        raise CatkinreachError(
            ErrorKind.BAD_REQUEST, 'the method CONNECT is not allowed'
        )


def _check_field_count(head: h11.Request, max_fields: int) -> None:
    """Refuses a head whose fields take far more memory than its bytes."""
    if len(head.headers) > max_fields:
        raise CatkinreachError(
            ErrorKind.BAD_REQUEST,
            f'the head must not have more than {max_fields} fields',
        )


def _check_framing(head: h11.Request) -> None:
    """Refuses a request whose body length is ambiguous.

    Two HTTP parsers could disagree on where such a request ends, which
    allows request smuggling.
    """
    names = [name for name, _ in head.headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise CatkinreachError(
            ErrorKind.BAD_REQUEST,
            'transfer-encoding and content-length must not both be present',
        )


__all__ = ('check_head', 'content_length')
