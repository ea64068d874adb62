"""Addresses in datagrams, which a node sends its own datagrams to."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import ip_address

_CACHED_HOSTS = 4_096
_SCOPE_SIGN = '%'


@lru_cache(_CACHED_HOSTS)
def is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address, for which no name is looked up.

    Addresses with a scope aren't: the scope may be any text.
    """
    try:
        ip_address(host)
    except ValueError:
        return False
    return _SCOPE_SIGN not in host


__all__ = ('is_ip_address',)
