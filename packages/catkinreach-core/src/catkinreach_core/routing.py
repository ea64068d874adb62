"""Selection of the route of a request by method and path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .errors import CatkinreachError, ErrorKind

if TYPE_CHECKING:
    from .settings.fleet import FleetSettings, Route


def find_route(settings: FleetSettings, method: str, path: str) -> Route:
    """Returns the route with the longest matching path prefix.

    The query is ignored. Only routes that allow the method are candidates.

    Raises:
        CatkinreachError: ``ROUTE_UNKNOWN`` if no path matches,
            ``METHOD_REFUSED`` if no route of the path allows the method.
    """
    bare_path = path.partition('?')[0]
    matches = [
        route
        for route in settings.routes.values()
        if _is_prefix(route.path, bare_path)
    ]
    if not matches:
        raise CatkinreachError(ErrorKind.ROUTE_UNKNOWN)
    allowed = [route for route in matches if method in route.methods]
    if not allowed:
        raise CatkinreachError(ErrorKind.METHOD_REFUSED)
    return max(allowed, key=lambda route: len(route.path))


def _is_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')


__all__ = ('find_route',)
