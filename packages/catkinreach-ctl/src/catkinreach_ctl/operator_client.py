"""Calls to the operator address of one node."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from catkinreach_node.http.client import (
    ConnectError,
    ExchangeError,
    HttpClient,
)

from .exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.settings.node import Address

KEY_VARIABLE = 'CATKINREACH_OPERATOR_KEY'
CALL_LIMIT_S = 5.0
_HTTP_OK = 200


class OperatorCallError(Exception):
    """A node's document could not be had."""

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
    """What operators need of a problem document."""

    code: str = 'unknown'
    detail: str = 'nothing is known of it here'


def read_operator_key(path: str, environment: Mapping[str, str]) -> str:
    """Returns the operator key from a file, else from the environment.

    Raises:
        KeyMissingError: if neither holds a key.
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
    """Reads documents from one node."""

    def __init__(self, address: Address, key: str) -> None:
        """Keeps where to ask and with which key."""
        self._address = address
        self._key = key

    @classmethod
    def from_options(cls, address: Address, key_file: str) -> OperatorClient:
        """Returns a client with the key of a file or the environment."""
        return cls(address, read_operator_key(key_file, os.environ))

    def get(self, target: str) -> bytes:
        """Returns the body of an answer.

        Raises:
            UnreachableError: if the node does not answer in time.
            RefusedError: if it refuses.
        """
        return asyncio.run(self._get(target))

    async def _get(self, target: str) -> bytes:
        client = HttpClient()
        headers = [('authorization', f'Bearer {self._key}')]
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
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
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError:
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
