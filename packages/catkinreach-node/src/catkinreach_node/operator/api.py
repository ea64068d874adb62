"""Requests of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.keys import key_matches_digest

from ..http.problem import problem_response
from ..session.authenticate import bearer_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..http.messages import HttpRequest, HttpResponse

OperatorAction: TypeAlias = 'Callable[[HttpRequest], HttpResponse]'


class OperatorApi:
    """Routes operators' requests to the parts that answer them."""

    def __init__(self, key_digest: str) -> None:
        """Takes the digest of the operator key, ``sha256:`` before it."""
        self._key_digest = key_digest.removeprefix('sha256:')
        self._open: dict[tuple[str, str], OperatorAction] = {}
        self._keyed: dict[tuple[str, str], OperatorAction] = {}

    def add(
        self,
        method: str,
        path: str,
        action: OperatorAction,
        *,
        is_keyed: bool = True,
    ) -> None:
        """Adds an action; one that is not keyed is open to all."""
        table = self._keyed if is_keyed else self._open
        table[method, path] = action

    def action(self, method: str, path: str) -> OperatorAction:
        """Returns a keyed action, for pages that show its document.

        Raises:
            KeyError: if nothing was added there.
        """
        return self._keyed[method, path]

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answers one request of an operator."""
        try:
            return self._find(request)(request)
        except CatkinreachError as error:
            return problem_response(error)

    def _find(self, request: HttpRequest) -> OperatorAction:
        slot = (request.method, request.path)
        if slot in self._open:
            return self._open[slot]
        key = bearer_key(request)
        if key is None:
            raise CatkinreachError(ErrorKind.KEY_MISSING)
        if not key_matches_digest(key, self._key_digest):
            raise CatkinreachError(ErrorKind.KEY_REFUSED)
        if slot not in self._keyed:
            raise CatkinreachError(ErrorKind.ROUTE_UNKNOWN)
        return self._keyed[slot]


__all__ = ('OperatorApi',)
