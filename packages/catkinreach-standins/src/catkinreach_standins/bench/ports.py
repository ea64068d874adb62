"""Free TCP ports on loopback.

Processes that run side by side take ports from blocks of their own: a port that
is free for a moment, since its process restarts, stays out of reach of others.
"""

from __future__ import annotations

import random
import socket
from collections import deque

LOOPBACK = '127.0.0.1'
FIRST_PORT = 10_000
END_PORT = 32_000
"""End of the range, exclusive.

Higher ports may be in the system's ephemeral range, where an outgoing
connection could take a port before the process that needs it listens.
"""

BLOCK_SIZE = 500
"""Ports of a block; the first one is bound while a process owns the block."""

MAX_BLOCKS = 6
"""Blocks that one process owns at most; then it uses its oldest ports again."""


class _PortBlocks:
    """Ports of the blocks that this process owns."""

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._ports: deque[int] = deque()
        self._unused = 0

    def take(self) -> int:
        """Returns the port that was not used for the longest time."""
        if not self._unused and len(self._guards) < MAX_BLOCKS:
            self._own_block()
        self._unused = max(0, self._unused - 1)
        port = self._ports.popleft()
        self._ports.append(port)
        return port

    def _own_block(self) -> None:
        """Takes a block that no other process owns."""
        firsts = list(range(FIRST_PORT, END_PORT, BLOCK_SIZE))
        random.SystemRandom().shuffle(firsts)
        for first in firsts:
            guard = _bind(first)
            if guard is not None:
                self._guards.append(guard)
                self._ports.extendleft(
                    reversed(range(first + 1, first + BLOCK_SIZE))
                )
                self._unused = BLOCK_SIZE - 1
                return
        if not self._ports:
            raise RuntimeError('other processes own all blocks of ports')


_blocks = _PortBlocks()


def free_ports(count: int) -> list[int]:
    """Returns free ports that this process hasn't used lately.

    Raises:
        RuntimeError: if other processes own all ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _blocks.take()
        if is_port_free(port):
            ports.append(port)
    return ports


def is_port_free(port: int) -> bool:
    """Returns whether a process can bind the port."""
    probe = _bind(port)
    if probe is None:
        return False
    probe.close()
    return True


def _bind(port: int) -> socket.socket | None:
    """Returns a socket that is bound to a port, if that is possible."""
    bound = socket.socket()
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        bound.close()
        return None
    return bound


def is_listening(port: int) -> bool:
    """Returns whether a process accepts connections on the port."""
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) == 0


__all__ = ('LOOPBACK', 'free_ports', 'is_listening', 'is_port_free')
