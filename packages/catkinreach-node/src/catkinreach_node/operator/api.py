"""Routing and authentication of operators' requests."""

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
    """Authenticates operators' requests and routes them to actions."""

    def __init__(self, key_digest: str) -> None:
        """Takes the digest of the operator key, with or without ``sha256:``."""
        self._key_digest = key_digest.removeprefix('sha256:')
        self._open_actions: dict[tuple[str, str], OperatorAction] = {}
        self._keyed_actions: dict[tuple[str, str], OperatorAction] = {}

    def add_action(
        self,
        method: str,
        path: str,
        action: OperatorAction,
        *,
        is_keyed: bool = True,
    ) -> None:
        """Registers an action; a keyed one requires the operator key."""
        table = self._keyed_actions if is_keyed else self._open_actions
        table[method, path] = action

    def keyed_action(self, method: str, path: str) -> OperatorAction:
        """Returns an action that requires the operator key.

        Raises:
            KeyError: if no action is registered there.
        """
        return self._keyed_actions[method, path]

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Runs the action of a request and returns its response."""
        try:
            return self._authorized_action(request)(request)
        except CatkinreachError as error:
            return problem_response(error)

    def _authorized_action(self, request: HttpRequest) -> OperatorAction:
        route = (request.method, request.path)
        if route in self._open_actions:
            return self._open_actions[route]
        key = bearer_key(request)
        if key is None:
            raise CatkinreachError(ErrorKind.KEY_MISSING)
        if not key_matches_digest(key, self._key_digest):
            raise CatkinreachError(ErrorKind.KEY_REFUSED)
        if route not in self._keyed_actions:
            raise CatkinreachError(ErrorKind.ROUTE_UNKNOWN)
        return self._keyed_actions[route]


__all__ = ('OperatorApi',)
