"""Free TCP ports on loopback."""

from __future__ import annotations

import random
import socket

LOOPBACK = '127.0.0.1'


FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Ports below the range from which the system serves connecting sockets."""

_random = random.SystemRandom()


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that nothing listens on.

    They are not from the system's own range: there, any connecting socket on
    the machine could take a port before its process listens.
    """
    ports: set[int] = set()
    while len(ports) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if _is_free(port):
            ports.add(port)
    return list(ports)


def _is_free(port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


__all__ = ('LOOPBACK', 'free_ports')
