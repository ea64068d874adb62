"""Reads the records of a deployment's processes as typed records."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

from catkinreach_core.ownership.shards import shards_of
from catkinreach_core.settings.fleet import PoolRole

from ..checks.records import (
    EngineStep,
    Execution,
    HoldingSample,
    RevisionSample,
)
from .calls import http_call

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_core.ids import ShardId
    from catkinreach_core.ownership.events import LeaseEvent
    from catkinreach_core.settings.fleet import Upstream

    from .deployment import Deployment

_RECORD = '/standin/record'


class Observer:
    """Reads upstreams directly, past the fault proxy."""

    def __init__(self, deployment: Deployment) -> None:
        """Observes a running deployment."""
        self._deployment = deployment

    def upstreams(self, *roles: PoolRole) -> list[Upstream]:
        """Returns the upstreams of the roles, of all without any."""
        settings = self._deployment.settings
        return [
            upstream
            for upstream in settings.upstreams.values()
            if not roles or settings.pools[upstream.pool_id].role in roles
        ]

    def executions(self) -> list[Execution]:
        """Returns the executions of all plain upstreams, dead ones too."""
        decoder = msgspec.json.Decoder(Execution)
        return [
            execution
            for upstream in self.upstreams(PoolRole.PLAIN)
            for execution in decoder.decode_lines(
                self._journal(upstream.upstream_id)
            )
        ]

    def steps(self) -> list[EngineStep]:
        """Returns the steps of all running engines and plain upstreams."""
        return [
            *self._engine_steps(),
            *(
                EngineStep(
                    upstream=upstream.upstream_id,
                    request_id='',
                    kind='run',
                    at_s=entry['at_s'],
                )
                for upstream in self.upstreams(PoolRole.PLAIN)
                for entry in self._record(upstream)['log']
            ),
        ]

    def holdings(self) -> list[HoldingSample]:
        """Returns the memory that running engines hold now."""
        found = []
        for upstream in self.upstreams(PoolRole.PREFILL, PoolRole.DECODE):
            try:
                _, body = http_call(upstream.port, 'GET', '/v1/holdings')
            except OSError:
                continue
            now_s = time.monotonic()
            found += [
                HoldingSample(
                    upstream=upstream.upstream_id,
                    request_id=held['request_id'],
                    at_s=now_s,
                )
                for held in msgspec.json.decode(body)['holdings']
            ]
        return found

    def revisions(self) -> list[RevisionSample]:
        """Returns the revisions that reachable nodes have in force."""
        found = []
        for node in self._deployment.nodes:
            if not self._deployment.processes[node.vm_id].is_running:
                continue
            try:
                _, status = self._deployment.operator_call(
                    node, 'GET', '/status'
                )
            except OSError:
                continue
            found.append(
                RevisionSample(
                    vm_id=status['vm'],
                    incarnation=status['incarnation'],
                    revision=status['config_revision'],
                    at_s=time.monotonic(),
                )
            )
        return found

    def lease_events(self) -> list[LeaseEvent]:
        """Returns the lease events of every VM, of ended ones too."""
        return self._deployment.lease_events()

    def unowned_shards(self) -> set[ShardId]:
        """Returns the shards that no reachable VM says to own."""
        owned: set[ShardId] = set()
        for node in self._deployment.nodes:
            if not self._deployment.processes[node.vm_id].is_running:
                continue
            _, status = self._deployment.operator_call(node, 'GET', '/status')
            owned |= set(status['ownership']['owned'])
        return {*shards_of(self._deployment.settings)} - owned

    def captures(self) -> dict[str, bytes]:
        """Returns every byte that each upstream has received."""
        return {
            upstream.upstream_id: path.read_bytes()
            for upstream in self.upstreams()
            if (
                path := self._deployment.capture_path(upstream.upstream_id)
            ).exists()
        }

    def _engine_steps(self) -> Iterator[EngineStep]:
        for upstream in self.upstreams(PoolRole.PREFILL, PoolRole.DECODE):
            for entry in self._record(upstream)['requests']:
                yield EngineStep(
                    upstream=upstream.upstream_id,
                    request_id=entry['request_id'],
                    kind=entry['kind'],
                    at_s=entry['at_s'],
                )

    def _record(self, upstream: Upstream) -> dict[str, list[Any]]:
        try:
            _, body = http_call(upstream.port, 'GET', _RECORD)
        except OSError:
            return {'log': [], 'requests': []}
        return msgspec.json.decode(body, type=dict[str, Any])

    def _journal(self, upstream_id: str) -> bytes:
        path = self._deployment.journal_path(upstream_id)
        return path.read_bytes() if path.exists() else b''


__all__ = ('Observer',)
