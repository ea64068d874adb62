"""Ports of test runs on one machine."""

from __future__ import annotations

from catkinreach_standins.bench.ports import (
    BLOCK_SIZE,
    MAX_BLOCKS,
    free_ports,
    is_port_free,
)
from catkinreach_standins.bench.ports import _PortBlocks as PortBlocks


def test_run_takes_a_port_whose_process_restarts_in_another_run() -> None:
    # Two soaks beside each other shared the port of an engine that was down.
    one, other = PortBlocks(), PortBlocks()
    taken = {one.take() for _ in range(BLOCK_SIZE)}
    assert taken.isdisjoint(other.take() for _ in range(BLOCK_SIZE))


def test_ports_are_free_and_differ() -> None:
    ports = free_ports(100)
    assert len(set(ports)) == 100
    assert all(map(is_port_free, ports))


def test_oldest_port_is_used_again() -> None:
    blocks = PortBlocks()
    first = blocks.take()
    others = {blocks.take() for _ in range(MAX_BLOCKS * (BLOCK_SIZE - 1) - 1)}
    assert first not in others
    assert len(others) == MAX_BLOCKS * (BLOCK_SIZE - 1) - 1
    assert blocks.take() == first
