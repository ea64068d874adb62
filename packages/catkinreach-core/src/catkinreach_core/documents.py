"""Decodes documents from outside; whatever is wrong with one is one error."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

_DocumentT = TypeVar('_DocumentT')
_DocumentT_co = TypeVar('_DocumentT_co', covariant=True)


class DocumentError(ValueError):
    """A document can't be decoded, or a value in it is out of range."""


class DocumentDecoder(Protocol[_DocumentT_co]):
    """Decodes documents of one type, for instance from JSON."""

    def decode(self, data: bytes, /) -> _DocumentT_co:
        """Returns the document."""


def decode_document(
    decoder: DocumentDecoder[_DocumentT_co], data: bytes
) -> _DocumentT_co:
    """Returns a decoded document.

    Besides its own errors msgspec raises others: for documents that are nested
    too deep, and for numbers that Python can't convert.

    Raises:
        DocumentError: if the document is malformed.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.DecodeError,
        RecursionError,
        ValueError,
        OverflowError,
    ) as error:
        raise DocumentError(f'{type(error).__name__}: {error}') from error


def decode_json(document: bytes, document_type: type[_DocumentT]) -> _DocumentT:
    """Returns a decoded JSON document.

    Raises:
        DocumentError: if the document is malformed.
    """
    return decode_document(msgspec.json.Decoder(document_type), document)


__all__ = (
    'DocumentDecoder',
    'DocumentError',
    'decode_document',
    'decode_json',
)
