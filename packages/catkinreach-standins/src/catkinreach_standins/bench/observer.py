"""Collects the records of a deployment's processes for the checks."""

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

_RECORD_PATH = '/standin/record'


class Observer:
    """Collects records of upstreams and nodes, bypassing the fault proxy."""

    def __init__(self, deployment: Deployment) -> None:
        """Reads from a running deployment."""
        self._deployment = deployment

    def upstreams(self, *roles: PoolRole) -> list[Upstream]:
        """Returns the upstreams of the given roles; all if none is given."""
        settings = self._deployment.settings
        return [
            upstream
            for upstream in settings.upstreams.values()
            if not roles or settings.pools[upstream.pool_id].role in roles
        ]

    def executions(self) -> list[Execution]:
        """Returns the executions of plain upstreams, also of exited ones."""
        decoder = msgspec.json.Decoder(Execution)
        return [
            execution
            for upstream in self.upstreams(PoolRole.PLAIN)
            for execution in decoder.decode_lines(
                self._read_journal(upstream.upstream_id)
            )
        ]

    def steps(self) -> list[EngineStep]:
        """Returns the steps of running engines and plain upstreams.

        Records of exited ones are lost.
        """
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
                for entry in self._fetch_record(upstream)['log']
            ),
        ]

    def holdings(self) -> list[HoldingSample]:
        """Returns the requests for which running engines hold KV cache."""
        samples = []
        for upstream in self.upstreams(PoolRole.PREFILL, PoolRole.DECODE):
            try:
                _, body = http_call(upstream.port, 'GET', '/v1/holdings')
            except OSError:
                continue
            now_s = time.monotonic()
            samples += [
                HoldingSample(
                    upstream=upstream.upstream_id,
                    request_id=holding['request_id'],
                    at_s=now_s,
                )
                for holding in msgspec.json.decode(body)['holdings']
            ]
        return samples

    def revisions(self) -> list[RevisionSample]:
        """Returns the configuration revisions that reachable nodes apply."""
        samples = []
        for node in self._deployment.nodes:
            if not self._deployment.processes[node.vm_id].is_running:
                continue
            try:
                _, status = self._deployment.operator_call(
                    node, 'GET', '/status'
                )
            except OSError:
                continue
            samples.append(
                RevisionSample(
                    vm_id=status['vm'],
                    incarnation=status['incarnation'],
                    revision=status['config_revision'],
                    at_s=time.monotonic(),
                )
            )
        return samples

    def lease_events(self) -> list[LeaseEvent]:
        """Returns the lease events of every VM, also of exited ones."""
        return self._deployment.lease_events()

    def unowned_shards(self) -> set[ShardId]:
        """Returns the shards that no running VM reports as owned."""
        owned: set[ShardId] = set()
        for node in self._deployment.nodes:
            if not self._deployment.processes[node.vm_id].is_running:
                continue
            _, status = self._deployment.operator_call(node, 'GET', '/status')
            owned |= set(status['ownership']['owned'])
        return {*shards_of(self._deployment.settings)} - owned

    def captures(self) -> dict[str, bytes]:
        """Returns the bytes that each upstream has received, by its id."""
        return {
            upstream.upstream_id: path.read_bytes()
            for upstream in self.upstreams()
            if (
                path := self._deployment.capture_path(upstream.upstream_id)
            ).exists()
        }

    def _engine_steps(self) -> Iterator[EngineStep]:
        for upstream in self.upstreams(PoolRole.PREFILL, PoolRole.DECODE):
            for entry in self._fetch_record(upstream)['requests']:
                yield EngineStep(
                    upstream=upstream.upstream_id,
                    request_id=entry['request_id'],
                    kind=entry['kind'],
                    at_s=entry['at_s'],
                )

    def _fetch_record(self, upstream: Upstream) -> dict[str, list[Any]]:
        """Returns an upstream's record, empty if it is not reachable."""
        try:
            _, body = http_call(upstream.port, 'GET', _RECORD_PATH)
        except OSError:
            return {'log': [], 'requests': []}
        return msgspec.json.decode(body, type=dict[str, Any])

    def _read_journal(self, upstream_id: str) -> bytes:
        path = self._deployment.journal_path(upstream_id)
        return path.read_bytes() if path.exists() else b''


__all__ = ('Observer',)
