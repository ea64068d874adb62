"""Free TCP ports on loopback."""

from __future__ import annotations

import random
import socket

LOOPBACK = '127.0.0.1'
FIRST_PORT = 10_000
END_PORT = 32_000
"""End of the range, exclusive.

Higher ports may be in the system's ephemeral range, where an outgoing
connection could take a port before the process that needs it listens.
"""

_random = random.SystemRandom()
_allocated_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns free ports that no earlier call of this process returned."""
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randrange(FIRST_PORT, END_PORT)
        if port not in _allocated_ports and is_port_free(port):
            _allocated_ports.add(port)
            ports.append(port)
    return ports


def is_port_free(port: int) -> bool:
    """Returns whether a process can bind the port."""
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def is_listening(port: int) -> bool:
    """Returns whether a process accepts connections on the port."""
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) == 0


__all__ = ('LOOPBACK', 'free_ports', 'is_listening', 'is_port_free')
