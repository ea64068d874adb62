"""Free TCP ports on loopback."""

from __future__ import annotations

import random
import socket

LOOPBACK = '127.0.0.1'
FIRST_PORT = 10_000
END_PORT = 32_000
"""Ports from here on may be those of outgoing connections, which would take
a free port before its process listens."""

_random = random.SystemRandom()
_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on and that were not given before."""
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randrange(FIRST_PORT, END_PORT)
        if port not in _given and is_free(port):
            _given.add(port)
            ports.append(port)
    return ports


def is_free(port: int) -> bool:
    """Tells whether a process could listen on the port."""
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def is_listening(port: int) -> bool:
    """Tells whether a process accepts connections on the port."""
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) == 0


__all__ = ('LOOPBACK', 'free_ports', 'is_free', 'is_listening')
