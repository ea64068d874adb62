"""Simulates state and timing of an engine, without its HTTP API."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import msgspec

from .answer import prompt_digest
from .engine_batch import DecodeBatch, PrefillQueue, RunningDecode
from .engine_cache import PrefixCache
from .engine_crashes import is_cold, poison_reason
from .engine_memory import (
    EngineMemory,
    Holding,
    HoldingKind,
    OutOfMemoryError,
    count_kv_pieces,
)
from .engine_messages import (
    DecodeCall,
    EngineFaults,
    ExportContent,
    ImportCall,
    OrderCall,
    PrefillCall,
    ReadExportCall,
)
from .engine_options import EngineOptions, EngineRole
from .engine_record import EngineRecord, RequestEntry
from .engine_results import LoadSample, PrefillOutcome, RefusedCallError
from .engine_transfer import TransferLink, fetch_export
from .process_exit import crash_process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from catkinreach_core.ids import RequestId


class EngineSimulation:
    """Simulates memory, prefix cache, batch, link and faults of an engine.

    Attributes:
        options: Rates and limits of the engine.
        record: Counters and logs that tests read.
        memory: KV memory with all holdings.
        boot_id: Identifies the current start of the engine.
        fencing_number: Highest fencing number of the orders since the start.
        role: Stage that the engine serves.
        models: Models that are loaded.
        versions: Version by model, as set by orders.
        cache: Prefix cache.
    """

    def __init__(self, options: EngineOptions) -> None:
        """Starts without holdings and with an empty prefix cache."""
        self.options = options
        self.record = EngineRecord()
        self.memory = EngineMemory(options.kv_pieces)
        self._rng = random.Random(options.seed)
        self._faults = EngineFaults()
        self._slow_factor = 1.0
        self._last_key_number = 0
        self._completed_requests = 0
        self._active_prefills = 0
        self._prefill_queue = PrefillQueue(self.sleep)
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
        self.boot_id = ''
        self.fencing_number = 0
        self.role = EngineRole(options.role)
        self.models: list[str] = []
        self.versions: dict[str, str] = {}
        self.cache = self._new_cache()
        self._restart()

    @property
    def max_running(self) -> int:
        """Returns the size of the largest decode batch so far."""
        return self._batch.max_running

    async def sleep(self, simulated_s: float) -> None:
        """Sleeps for simulated seconds.

        The real time is that multiplied by the time scale and by the fault
        ``slow_factor``.
        """
        scale = self.options.time_scale * self._slow_factor
        await asyncio.sleep(simulated_s * scale)

    async def prefill(self, call: PrefillCall) -> PrefillOutcome:
        """Queues and runs a prefill; its export is held until it expires.

        Raises:
            RefusedCallError: Too few KV pieces are free for the export.
        """
        self._record_request(call.request_id, 'prefill')
        self._crash_if_poisoned(call.prompt)
        self._start_prefill()
        try:
            return await self._run_prefill(call)
        finally:
            self._active_prefills -= 1

    async def _run_prefill(self, call: PrefillCall) -> PrefillOutcome:
        cached_tokens = 0

        def compute_duration_s() -> float:
            nonlocal cached_tokens
            cached_tokens = self.cache.count_cached_tokens(call.prompt)
            uncached_tokens = len(call.prompt) - cached_tokens
            tokens_per_s = self.options.prefill_tokens_per_s
            return self.options.prefill_base_s + uncached_tokens / tokens_per_s

        await self._prefill_queue.run(call.priority, compute_duration_s)
        kv_pieces = count_kv_pieces(len(call.prompt))
        export = Holding(
            key=self._new_holding_key('export'),
            request_id=call.request_id,
            holder=call.holder,
            kind=HoldingKind.EXPORT,
            kv_pieces=kv_pieces,
            since_s=time.monotonic(),
            prompt=call.prompt,
        )
        self._add_holding(export)
        self.cache.store_prompt(call.prompt, time.monotonic())
        self.record.prefills += 1
        self.record.prefill_tokens += len(call.prompt) - cached_tokens
        self.record.cached_tokens += cached_tokens
        self._completed_requests += 1
        lifetime_s = self.options.export_lifetime_s * self.options.time_scale
        asyncio.get_running_loop().call_later(
            lifetime_s,
            self._expire_export,
            export.key,
        )
        return PrefillOutcome(
            export_id=export.key,
            prompt_tokens=len(call.prompt),
            cached_tokens=cached_tokens,
            kv_pieces=kv_pieces,
            expires_in_s=lifetime_s,
        )

    def read_export(self, call: ReadExportCall) -> ExportContent:
        """Returns the content of an export, for the engine that imports it.

        Raises:
            RefusedCallError: The export doesn't exist or has expired.
        """
        export = self.memory.get(call.export_id)
        age_s = 0.0 if export is None else time.monotonic() - export.since_s
        lifetime_s = self.options.export_lifetime_s * self.options.time_scale
        if export is None or age_s > lifetime_s:
            raise RefusedCallError(410, 'export-expired')
        if call.mark_used:
            self.memory.mark_used(call.export_id)
        return ExportContent(export.kv_pieces, export.prompt)

    async def import_export(self, call: ImportCall) -> Holding:
        """Transfers an export over the link and holds it on this engine.

        The KV pieces are occupied before the transfer starts.

        Raises:
            RefusedCallError: The export has expired or can't be fetched, or too
                few KV pieces are free.
        """
        self._record_request(call.request_id, 'import')
        content = await self._fetch_export(call, mark_used=False)
        holding = Holding(
            key=self._new_holding_key('import'),
            request_id=call.request_id,
            holder=call.holder,
            kind=HoldingKind.IMPORT,
            kv_pieces=content.kv_pieces,
            since_s=time.monotonic(),
            prompt=content.prompt,
        )
        self._add_holding(holding)
        try:
            async with self._link.exclusive_use():
                await self.sleep(self._faults.stall_imports_s or 0.0)
                await self._fetch_export(call, mark_used=True)
                await self._link.transfer(content.kv_pieces)
        except RefusedCallError:
            self.memory.release(holding.key)
            raise
        self.record.imports += 1
        return holding

    async def _fetch_export(
        self,
        call: ImportCall,
        *,
        mark_used: bool,
    ) -> ExportContent:
        content = await fetch_export(
            call.source,
            ReadExportCall(call.export_id, mark_used=mark_used),
        )
        if content is None:
            raise RefusedCallError(410, 'export-expired')
        return content

    def start_decode(self, call: DecodeCall) -> RunningDecode:
        """Adds a decode to the batch, or resumes one whose client left.

        Raises:
            RefusedCallError: The request has no such import, or all decode
                places are taken.
        """
        holding = self.memory.get(call.import_id)
        if holding is None or holding.request_id != call.request_id:
            raise RefusedCallError(404, 'no-import')
        self._crash_if_poisoned(holding.prompt)
        if holding.kind is HoldingKind.IMPORT:
            if (
                self.memory.count_holdings(HoldingKind.DECODE)
                >= self.options.places
            ):
                raise RefusedCallError(503, 'no-place')
            now_s = time.monotonic()
            self.memory.change_kind(holding.key, HoldingKind.DECODE, now_s)
        self._record_request(call.request_id, 'decode')
        decode = RunningDecode(
            key=holding.key,
            digest=prompt_digest(holding.prompt),
            next_index=call.skip,
            max_tokens=call.max_tokens,
        )
        self._batch.add(decode)
        self.record.decodes += 1
        self._crash_if_cold(self._batch.running)
        return decode

    async def stream_tokens(
        self, decode: RunningDecode
    ) -> AsyncIterator[tuple[int, str]]:
        """Yields index and token; the last one frees the holding.

        The holding stays if the client disconnects before.
        """
        index = decode.next_index
        while (token := await decode.tokens.get()) is not None:
            self.record.decoded_tokens += 1
            yield index, token
            index += 1
        if (
            self.memory.get(decode.key) is not None
            and index >= decode.max_tokens
        ):
            self.memory.release(decode.key)
            self.record.completed_decodes += 1
            self._completed_requests += 1

    def cancel_request(self, request_id: RequestId) -> int:
        """Frees all holdings of a request and returns their number."""
        self._record_request(request_id, 'cancel')
        self.record.cancels += 1
        released = self.memory.release_request(request_id)
        for holding in released:
            self._batch.remove(holding.key)
        return len(released)

    def apply_order(self, call: OrderCall) -> None:
        """Applies an order.

        Raises:
            RefusedCallError: The engine checks fencing numbers and that of the
                order is lower than one seen before.
        """
        if self.options.fencing and call.fence < self.fencing_number:
            raise RefusedCallError(409, 'stale-fence')
        self.fencing_number = max(self.fencing_number, call.fence)
        if call.kind == 'load-model' and call.target not in self.models:
            self.models.append(call.target)
        if call.kind in {'load-model', 'set-version'} and call.version:
            self.versions[call.target] = str(call.version)
        if call.kind == 'set-role':
            self.role = EngineRole(call.target)
        self.record.orders.append(call)

    def set_faults(self, faults: EngineFaults) -> None:
        """Applies the faults that are set; others stay as they are."""
        if faults.crash_now:
            crash_process('fault')
        new_faults = {
            name: fault
            for name, fault in msgspec.structs.asdict(faults).items()
            if fault is not None
        }
        self._faults = msgspec.structs.replace(self._faults, **new_faults)
        self._slow_factor = self._faults.slow_factor or 1.0
        if faults.drop_cache:
            self.cache.drop_blocks()
        if faults.restart_boot:
            self._restart()
        if faults.cold:
            self._completed_requests = 0

    def sample_load(self) -> LoadSample:
        """Returns the load at the moment."""
        return LoadSample(
            at_s=time.monotonic(),
            running=self._batch.running + self._prefill_queue.running,
            waiting=self._prefill_queue.waiting,
            kv_pieces_free=self.memory.free_pieces,
        )

    def _restart(self) -> None:
        """Simulates a restart: new boot id, no holdings, cache or orders."""
        for holding in self.memory.holdings:
            self._batch.remove(holding.key)
        self.memory.clear()
        self.boot_id = f'{self._rng.getrandbits(64):016x}-{time.time_ns():x}'
        self.fencing_number = 0
        self.role = EngineRole(self.options.role)
        self.models = [self.options.model]
        self.versions = {}
        self.cache = self._new_cache()
        self._completed_requests = 0

    def _new_cache(self) -> PrefixCache:
        return PrefixCache(
            capacity_blocks=self.options.cache_blocks,
            event_lag_s=self.options.event_lag_s,
            event_gap_rate=self.options.event_gap_rate,
            rng=self._rng,
        )

    def _add_holding(self, holding: Holding) -> None:
        try:
            self.memory.add(holding)
        except OutOfMemoryError:
            raise RefusedCallError(503, 'no-memory') from None

    def _expire_export(self, key: str) -> None:
        export = self.memory.get(key)
        if export is None:
            return
        if not export.used:
            self.record.wasted_exports += 1
        if not self.options.leak_exports:
            self.memory.release(key)

    def _start_prefill(self) -> None:
        self._active_prefills += 1
        self._crash_if_cold(self._active_prefills)

    def _crash_if_cold(self, concurrent_requests: int) -> None:
        if is_cold(self.options, self._faults, self._completed_requests) and (
            concurrent_requests > self.options.cold_places
        ):
            crash_process('load while cold')

    def _crash_if_poisoned(self, prompt: Sequence[int]) -> None:
        reason = poison_reason(self.options, self._faults, prompt)
        if reason is not None:
            crash_process(reason)

    def _new_holding_key(self, prefix: str) -> str:
        self._last_key_number += 1
        return f'{prefix}-{self.boot_id}-{self._last_key_number}'

    def _record_request(self, request_id: RequestId, kind: str) -> None:
        entry = RequestEntry(request_id, kind, time.monotonic())
        self.record.requests.append(entry)


__all__ = ('EngineSimulation',)
