"""Free TCP ports on loopback."""

from __future__ import annotations

import socket

LOOPBACK = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((LOOPBACK, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


__all__ = ('LOOPBACK', 'free_ports')
