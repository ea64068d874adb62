"""Fetches a JSON document from a node and prints it."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from catkinreach_core.documents import DocumentError, decode_json

from ..exit_codes import ExitCode
from ..operator_client import OperatorCallError, OperatorClient

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Iterator


def show_document(options: Namespace, target: str) -> int:
    """Prints a document of a node as JSON or as text.

    Returns:
        The exit code.
    """
    try:
        body = fetch_document(options, target)
    except OperatorCallError as error:
        sys.stderr.write(f'catkinreach: {error}\n')
        return error.exit_code
    if options.json:
        sys.stdout.write(f'{body.decode()}\n')
    else:
        try:
            document = decode_json(body, Any)
        except DocumentError as error:
            sys.stderr.write(f'catkinreach: unreadable document: {error}\n')
            return ExitCode.UNREACHABLE
        sys.stdout.write(f'{document_text(document)}\n')
    return ExitCode.OK


def fetch_document(options: Namespace, target: str) -> bytes:
    """Returns the body of a document of the node.

    Raises:
        OperatorCallError: if the document can't be fetched.
    """
    client = OperatorClient.from_options(
        options.address, options.operator_key_file
    )
    return client.get(target)


def document_text(document: Any) -> str:
    """Returns a decoded JSON document as text for people."""
    if not document:
        return 'This node owns nothing of this kind; query the other nodes.'
    return '\n'.join(document_lines(document))


def document_lines(document: Any, indent: str = '') -> Iterator[str]:
    """Yields a decoded JSON document as indented lines."""
    if isinstance(document, dict):
        for name, member in document.items():
            yield from _member_lines(str(name), member, indent)
    elif isinstance(document, list):
        for member in document:
            yield from _member_lines('-', member, indent)
    else:
        yield f'{indent}{_format_scalar(document)}'


def _member_lines(name: str, member: Any, indent: str) -> Iterator[str]:
    if isinstance(member, dict | list) and not _is_flat(member):
        yield f'{indent}{name}'
        yield from document_lines(member, f'{indent}  ')
    else:
        yield f'{indent}{name}  {_format_scalar(member)}'


def _is_flat(member: Any) -> bool:
    """Returns whether a list or object is printed on one line."""
    if isinstance(member, dict):
        return not member
    return not any(isinstance(item, dict | list) for item in member)


def _format_scalar(member: Any) -> str:
    if isinstance(member, bool):
        return 'yes' if member else 'no'
    if member is None or member in ({}, [], ''):
        return '-'
    if isinstance(member, list):
        return ', '.join(map(_format_scalar, member))
    if isinstance(member, float):
        return f'{member:.3f}'
    return str(member)


__all__ = ('document_lines', 'document_text', 'fetch_document', 'show_document')
