"""Stage that resolves a caller's API key to its workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.settings.fleet import RouteAccess

if TYPE_CHECKING:
    from catkinreach_core.ids import WorkspaceId
    from catkinreach_core.keys import KeyRing
    from catkinreach_core.settings.fleet import Route

    from ..http.messages import HttpRequest

_BEARER = 'bearer '


def bearer_key(request: HttpRequest) -> str | None:
    """Returns the key of an ``Authorization: Bearer`` header."""
    header = request.header('authorization') or ''
    if not header.lower().startswith(_BEARER):
        return None
    return header[len(_BEARER) :].strip() or None


def authenticate(
    request: HttpRequest, route: Route, keys: KeyRing
) -> WorkspaceId | None:
    """Returns the workspace of the caller's key, ``None`` on an open route.

    Raises:
        CatkinreachError: ``KEY_MISSING`` or ``KEY_REFUSED``.
    """
    if route.access is RouteAccess.OPEN:
        return None
    key = bearer_key(request)
    if key is None:
        raise CatkinreachError(ErrorKind.KEY_MISSING)
    workspace_id = keys.workspace_of(key)
    if workspace_id is None:
        raise CatkinreachError(ErrorKind.KEY_REFUSED)
    return workspace_id


__all__ = ('authenticate', 'bearer_key')
