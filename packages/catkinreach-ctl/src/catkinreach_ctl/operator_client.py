"""Client for the operator address of a node."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ConnectError, ExchangeError

from .exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.settings.node import Address

KEY_VARIABLE = 'CATKINREACH_OPERATOR_KEY'
CALL_TIMEOUT_S = 5.0
_HTTP_OK = 200


class OperatorCallError(Exception):
    """A document could not be fetched from a node."""

    exit_code = ExitCode.UNREACHABLE


class KeyMissingError(OperatorCallError):
    """No operator key was given."""

    exit_code = ExitCode.USAGE


class UnreachableError(OperatorCallError):
    """The node does not answer."""


class RefusedError(OperatorCallError):
    """The node refused the call."""

    exit_code = ExitCode.REFUSED


class Problem(msgspec.Struct, frozen=True):
    """Fields of a problem document that are shown to operators."""

    code: str = 'unknown'
    detail: str = 'no details in the response'


def read_operator_key(path: str, environment: Mapping[str, str]) -> str:
    """Returns the operator key from a file or from the environment.

    Raises:
        KeyMissingError: if the file is unreadable or no key is found.
    """
    try:
        text = Path(path).read_text(encoding='utf-8') if path else ''
    except OSError as error:
        raise KeyMissingError(f'{path}: {error.strerror}') from error
    key = text.strip() or environment.get(KEY_VARIABLE, '').strip()
    if not key:
        raise KeyMissingError(
            f'no operator key: name a file or set {KEY_VARIABLE}'
        )
    return key


class OperatorClient:
    """Fetches documents from one node."""

    def __init__(self, address: Address, key: str) -> None:
        """Creates a client for an operator address and an operator key."""
        self._address = address
        self._key = key

    @classmethod
    def from_options(cls, address: Address, key_file: str) -> OperatorClient:
        """Returns a client with the key from a file or from the environment."""
        return cls(address, read_operator_key(key_file, os.environ))

    def get(self, target: str) -> bytes:
        """Returns the body of the response to a GET request.

        Raises:
            UnreachableError: if the node does not answer in time.
            RefusedError: if the response has another status than 200.
        """
        return asyncio.run(self._fetch(target))

    async def _fetch(self, target: str) -> bytes:
        client = HttpClient()
        headers = [('authorization', f'Bearer {self._key}')]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, body = await client.call_json(
                    self._address, 'GET', target, headers=headers
                )
        except (ConnectError, ExchangeError, TimeoutError) as error:
            raise UnreachableError(
                f'no node answers at {self._address}'
            ) from error
        finally:
            client.close()
        if status != _HTTP_OK:
            raise RefusedError(_refusal_text(self._address, status, body))
        return body


def _refusal_text(address: Address, status: int, body: bytes) -> str:
    try:
        problem = decode_json(body, Problem)
    except DocumentError:
        problem = Problem()
    return f'{address} refused: {status} {problem.code}: {problem.detail}'


__all__ = (
    'KEY_VARIABLE',
    'KeyMissingError',
    'OperatorCallError',
    'OperatorClient',
    'RefusedError',
    'UnreachableError',
    'read_operator_key',
)
