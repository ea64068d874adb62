"""Fetches a document from a node and prints it."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec

from ..exit_codes import ExitCode
from ..operator_client import OperatorCallError, OperatorClient

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Iterator


def show_document(options: Namespace, target: str) -> int:
    """Prints a node's document as JSON or as lines; returns the exit code."""
    try:
        body = fetch(options, target)
    except OperatorCallError as error:
        sys.stderr.write(f'catkinreach: {error}\n')
        return error.exit_code
    if options.json:
        sys.stdout.write(f'{body.decode()}\n')
    else:
        document = msgspec.json.decode(body)
        sys.stdout.write(f'{document_text(document)}\n')
    return ExitCode.OK


def fetch(options: Namespace, target: str) -> bytes:
    """Returns the body of a node's answer."""
    client = OperatorClient.from_options(
        options.address, options.operator_key_file
    )
    return client.get(target)


def document_text(document: Any) -> str:
    """Returns a JSON document for people."""
    if not document:
        return 'This node owns nothing of the kind; ask the others.'
    return '\n'.join(document_lines(document))


def document_lines(document: Any, indent: str = '') -> Iterator[str]:
    """Yields a JSON document as indented lines."""
    if isinstance(document, dict):
        for name, member in document.items():
            yield from _member_lines(str(name), member, indent)
    elif isinstance(document, list):
        for member in document:
            yield from _member_lines('-', member, indent)
    else:
        yield f'{indent}{_scalar(document)}'


def _member_lines(name: str, member: Any, indent: str) -> Iterator[str]:
    if isinstance(member, dict | list) and not _is_flat(member):
        yield f'{indent}{name}'
        yield from document_lines(member, f'{indent}  ')
    else:
        yield f'{indent}{name}  {_scalar(member)}'


def _is_flat(member: Any) -> bool:
    """Tells whether a list or object fits on one line."""
    if isinstance(member, dict):
        return not member
    return not any(isinstance(one, dict | list) for one in member)


def _scalar(member: Any) -> str:
    if isinstance(member, bool):
        return 'yes' if member else 'no'
    if member is None or member in ({}, [], ''):
        return '-'
    if isinstance(member, list):
        return ', '.join(map(_scalar, member))
    if isinstance(member, float):
        return f'{member:.3f}'
    return str(member)


__all__ = ('document_lines', 'document_text', 'fetch', 'show_document')
