"""State and timing of one engine, without its HTTP calls."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from .answer import block_digests, prompt_digest
from .engine_batch import DecodeBatch, DecodeRun, PrefillQueue
from .engine_cache import PrefixCache
from .engine_memory import (
    EngineMemory,
    Holding,
    HoldingKind,
    OutOfMemoryError,
    pieces_for,
)
from .engine_messages import (
    DecodeCall,
    EngineFaults,
    ExportContent,
    ExportRead,
    ImportCall,
    OrderCall,
    PrefillCall,
)
from .engine_options import EngineOptions, EngineRole
from .engine_record import EngineRecord, RequestEntry
from .engine_transfer import TransferLink, read_export

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from catkinreach_core.ids import RequestId

CRASH_EXIT_CODE = 3
LOAD_SAMPLE_S = 0.05


class EngineError(Exception):
    """A refusal with its HTTP status and error code."""

    def __init__(self, status: int, code: str) -> None:
        """Keep status and code."""
        super().__init__(code)
        self.status = status
        self.code = code


class LoadSample(msgspec.Struct, frozen=True):
    """Load at one moment, in monotonic seconds."""

    at_s: float
    running: int
    waiting: int
    kv_pieces_free: int


class PrefillOutcome(msgspec.Struct, frozen=True):
    """Answer to a prefill."""

    export_id: str
    prompt_tokens: int
    cached_tokens: int
    kv_pieces: int
    expires_in_s: float


class EngineModel:
    """Memory, cache, batch, link and faults of one engine."""

    def __init__(self, options: EngineOptions) -> None:
        """Start with nothing held and nothing cached."""
        self.options = options
        self.record = EngineRecord()
        self.memory = EngineMemory(options.kv_pieces)
        self._rng = random.Random(options.seed)
        self._faults = EngineFaults()
        self._slow_factor = 1.0
        self._serial = 0
        self._completed = 0
        self._active = 0
        self._samples: deque[LoadSample] = deque()
        self._prefills = PrefillQueue(self.sleep)
        self._batch = DecodeBatch(
            step_base_s=options.step_base_s,
            step_per_request_s=options.step_per_request_s,
            sleep=self.sleep,
        )
        self._link = TransferLink(
            base_s=options.import_base_s,
            pieces_per_s=options.link_pieces_per_s,
            sleep=self.sleep,
        )
        self.boot = ''
        self.fence = 0
        self.role = EngineRole(options.role)
        self.models: list[str] = []
        self.versions: dict[str, str] = {}
        self.cache = self._new_cache()
        self._restart()

    @property
    def max_running(self) -> int:
        """Largest decode batch so far."""
        return self._batch.max_running

    async def sleep(self, model_s: float) -> None:
        """Sleep for model seconds, scaled and slowed."""
        scale = self.options.time_scale * self._slow_factor
        await asyncio.sleep(model_s * scale)

    async def prefill(self, call: PrefillCall) -> PrefillOutcome:
        """Queue and run a prefill, then hold its export until it expires."""
        self._log(call.request_id, 'prefill')
        self._crash_if_poisoned(call.prompt)
        self._begin()
        try:
            return await self._prefill(call)
        finally:
            self._active -= 1

    async def _prefill(self, call: PrefillCall) -> PrefillOutcome:
        cached = 0

        def cost_s() -> float:
            nonlocal cached
            cached = self.cache.cached_tokens(call.prompt)
            uncached = len(call.prompt) - cached
            rate = self.options.prefill_tokens_per_s
            return self.options.prefill_base_s + uncached / rate

        await self._prefills.run(call.priority, cost_s)
        pieces = pieces_for(len(call.prompt))
        export = Holding(
            key=self._new_key('export'),
            request_id=call.request_id,
            holder=call.holder,
            kind=HoldingKind.EXPORT,
            kv_pieces=pieces,
            since_s=time.monotonic(),
            prompt=call.prompt,
        )
        self._hold(export)
        self.cache.store(call.prompt, time.monotonic())
        self.record.prefills += 1
        self.record.prefill_tokens += len(call.prompt) - cached
        self.record.cached_tokens += cached
        self._completed += 1
        lifetime_s = self.options.export_lifetime_s * self.options.time_scale
        asyncio.get_running_loop().call_later(
            lifetime_s,
            self._expire,
            export.key,
        )
        return PrefillOutcome(
            export_id=export.key,
            prompt_tokens=len(call.prompt),
            cached_tokens=cached,
            kv_pieces=pieces,
            expires_in_s=lifetime_s,
        )

    def read_export(self, call: ExportRead) -> ExportContent:
        """Hand a live export to another engine."""
        export = self.memory.get(call.export_id)
        age_s = 0.0 if export is None else time.monotonic() - export.since_s
        lifetime_s = self.options.export_lifetime_s * self.options.time_scale
        if export is None or age_s > lifetime_s:
            raise EngineError(410, 'export-expired')
        if call.mark_used:
            self.memory.mark_used(call.export_id)
        return ExportContent(export.kv_pieces, export.prompt)

    async def import_export(self, call: ImportCall) -> Holding:
        """Transfer an export over the shared link and hold it here."""
        self._log(call.request_id, 'import')
        content = await self._read_source(call, mark_used=False)
        held = Holding(
            key=self._new_key('import'),
            request_id=call.request_id,
            holder=call.holder,
            kind=HoldingKind.IMPORT,
            kv_pieces=content.kv_pieces,
            since_s=time.monotonic(),
            prompt=content.prompt,
        )
        self._hold(held)
        try:
            async with self._link.turn():
                await self.sleep(self._faults.stall_imports_s or 0.0)
                await self._read_source(call, mark_used=True)
                await self._link.transfer(content.kv_pieces)
        except EngineError:
            self.memory.release(held.key)
            raise
        self.record.imports += 1
        return held

    async def _read_source(
        self,
        call: ImportCall,
        *,
        mark_used: bool,
    ) -> ExportContent:
        content = await read_export(
            call.source,
            ExportRead(call.export_id, mark_used=mark_used),
        )
        if content is None:
            raise EngineError(410, 'export-expired')
        return content

    def start_decode(self, call: DecodeCall) -> DecodeRun:
        """Put a decode in the batch, or resume one whose client left."""
        held = self.memory.get(call.import_id)
        if held is None or held.request_id != call.request_id:
            raise EngineError(404, 'no-import')
        self._crash_if_poisoned(held.prompt)
        if held.kind is HoldingKind.IMPORT:
            if self.memory.count(HoldingKind.DECODE) >= self.options.places:
                raise EngineError(503, 'no-place')
            now_s = time.monotonic()
            self.memory.change_kind(held.key, HoldingKind.DECODE, now_s)
        self._log(call.request_id, 'decode')
        run = DecodeRun(
            key=held.key,
            digest=prompt_digest(held.prompt),
            next_index=call.skip,
            max_tokens=call.max_tokens,
        )
        self._batch.add(run)
        self.record.decodes += 1
        self._crash_if_cold(self._batch.running)
        return run

    async def tokens(self, run: DecodeRun) -> AsyncIterator[tuple[int, str]]:
        """Yield index and token; the holding is freed after the last one.

        A client that leaves in between does not free it.
        """
        index = run.next_index
        while (token := await run.tokens.get()) is not None:
            self.record.decoded_tokens += 1
            yield index, token
            index += 1
        if self.memory.get(run.key) is not None and index >= run.max_tokens:
            self.memory.release(run.key)
            self.record.completed_decodes += 1
            self._completed += 1

    def cancel(self, request_id: RequestId) -> int:
        """Free all holdings of a request and return their count."""
        self._log(request_id, 'cancel')
        self.record.cancels += 1
        released = self.memory.release_request(request_id)
        for held in released:
            self._batch.remove(held.key)
        return len(released)

    def apply_order(self, call: OrderCall) -> None:
        """Apply an order unless its fence is stale on a fencing engine."""
        if self.options.fencing and call.fence < self.fence:
            raise EngineError(409, 'stale-fence')
        self.fence = max(self.fence, call.fence)
        if call.kind == 'load-model' and call.target not in self.models:
            self.models.append(call.target)
        if call.kind in {'load-model', 'set-version'} and call.version:
            self.versions[call.target] = str(call.version)
        if call.kind == 'set-role':
            self.role = EngineRole(call.target)
        self.record.orders.append(call)

    def set_faults(self, faults: EngineFaults) -> None:
        """Apply the faults that are set."""
        if faults.crash_now:
            crash('fault')
        changed = {
            name: fault
            for name, fault in msgspec.structs.asdict(faults).items()
            if fault is not None
        }
        self._faults = msgspec.structs.replace(self._faults, **changed)
        self._slow_factor = self._faults.slow_factor or 1.0
        if faults.drop_cache:
            self.cache.drop()
        if faults.restart_boot:
            self._restart()
        if faults.cold:
            self._completed = 0

    def reported_load(self) -> LoadSample:
        """Return the newest load sample that is old enough to be told."""
        until_s = time.monotonic() - self.options.load_lag_s
        told = self._samples[0] if self._samples else self._sample()
        for sample in self._samples:
            if sample.at_s <= until_s:
                told = sample
        return told

    async def sample_forever(self) -> None:
        """Take load samples; old ones are dropped."""
        while True:
            self._samples.append(self._sample())
            until_s = time.monotonic() - 2 * self.options.load_lag_s
            while self._samples[0].at_s < until_s - LOAD_SAMPLE_S:
                self._samples.popleft()
            await asyncio.sleep(LOAD_SAMPLE_S)

    def _sample(self) -> LoadSample:
        return LoadSample(
            at_s=time.monotonic(),
            running=self._batch.running + self._prefills.running,
            waiting=self._prefills.waiting,
            kv_pieces_free=self.memory.free_pieces,
        )

    def _restart(self) -> None:
        """Lose memory, cache, orders and boot id, as a restart does."""
        for held in self.memory.holdings:
            self._batch.remove(held.key)
        self.memory.clear()
        self.boot = f'{self._rng.getrandbits(64):016x}-{time.time_ns():x}'
        self.fence = 0
        self.role = EngineRole(self.options.role)
        self.models = [self.options.model]
        self.versions = {}
        self.cache = self._new_cache()
        self._completed = 0

    def _new_cache(self) -> PrefixCache:
        return PrefixCache(
            capacity_blocks=self.options.cache_blocks,
            event_lag_s=self.options.event_lag_s,
            gap_rate=self.options.event_gap_rate,
            rng=self._rng,
        )

    def _hold(self, holding: Holding) -> None:
        try:
            self.memory.add(holding)
        except OutOfMemoryError:
            raise EngineError(503, 'no-memory') from None

    def _expire(self, key: str) -> None:
        export = self.memory.get(key)
        if export is None:
            return
        if not export.used:
            self.record.wasted_exports += 1
        if not self.options.leak_exports:
            self.memory.release(key)

    def _begin(self) -> None:
        self._active += 1
        self._crash_if_cold(self._active)

    def _crash_if_cold(self, concurrent: int) -> None:
        warmup = self.options.warmup_requests
        is_cold = bool(self._faults.cold) and not warmup
        is_cold = is_cold or self._completed < warmup
        if is_cold and concurrent > self.options.cold_places:
            crash('load while cold')

    def _crash_if_poisoned(self, prompt: Sequence[int]) -> None:
        if self.options.poison_token in prompt:
            crash('poison token')
        digest = self._faults.crash_on_digest
        if digest is None:
            return
        if digest == prompt_digest(prompt) or digest in block_digests(prompt):
            crash('poison digest')

    def _new_key(self, prefix: str) -> str:
        self._serial += 1
        return f'{prefix}-{self.boot}-{self._serial}'

    def _log(self, request_id: RequestId, kind: str) -> None:
        entry = RequestEntry(request_id, kind, time.monotonic())
        self.record.requests.append(entry)


def crash(reason: str) -> None:
    """End the process at once, as a crash does."""
    logger.error('engine: crash: {}', reason)
    os._exit(CRASH_EXIT_CODE)


__all__ = (
    'CRASH_EXIT_CODE',
    'EngineError',
    'EngineModel',
    'LoadSample',
    'PrefillOutcome',
)
