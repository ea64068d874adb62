"""Calls to the store overlap: a silent one doesn't hold up the next."""

from __future__ import annotations

import asyncio
import gc
import random
from contextlib import suppress

import pytest

from catkinreach_core.gateway.feed import HistoryLost, StoreUnavailable
from catkinreach_node.gateway import store_reads
from catkinreach_node.gateway.store_reads import NEXT_CALL_S, StoreReads

ANSWER_WITHIN_S = 0.1


class FakeStore:
    """Answers calls after given times; keeps what reads tell of it."""

    def __init__(self, *answers: float | Exception) -> None:
        """Takes each call's time to its answer, or its error at once."""
        self._answers = list(answers)
        self.calls = 0
        self.open_calls = 0
        self.lost: list[str] = []
        self.received_bytes = 0
        self.reads = StoreReads(
            lambda reason, _age_s, _silent_s: self.lost.append(reason),
            random.Random(1),
            lambda: self.received_bytes,
        )

    async def call(self) -> int:
        """Returns the number of the call."""
        self.calls += 1
        number = self.calls
        answer = self._answers[min(number, len(self._answers)) - 1]
        if isinstance(answer, Exception):
            raise answer
        self.open_calls += 1
        try:
            await asyncio.sleep(answer)
        finally:
            self.open_calls -= 1
        return number

    def read(self) -> int:
        """Returns the number of the call that was answered first."""
        return asyncio.run(
            self.reads.first_answer(
                self.call, self.call, answer_within_s=ANSWER_WITHIN_S
            )
        )


def test_call_on_a_dead_connection_holds_up_the_next() -> None:
    store = FakeStore(60.0, 0.0)
    assert store.read() == 2
    assert store.open_calls == 0
    assert store.lost == []


def test_slow_store_is_given_up_by_calls_that_are_too_short() -> None:
    store = FakeStore(ANSWER_WITHIN_S + 2.5 * NEXT_CALL_S)
    assert store.read() == 1
    assert store.calls == 4
    assert store.open_calls == 0


def test_store_that_fails_counts_as_lost_and_is_called_again() -> None:
    store = FakeStore(StoreUnavailable('busy'), StoreUnavailable('busy'), 0.0)
    assert store.read() == 3
    assert store.lost == ['busy', 'busy']


def test_lost_history_is_told_at_once() -> None:
    store = FakeStore(60.0, HistoryLost())
    with pytest.raises(HistoryLost):
        store.read()
    assert store.open_calls == 0


def test_calls_that_fail_together_leave_no_unhandled_error() -> None:
    unhandled: list[str] = []
    calls = 0

    async def read() -> None:
        fails = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: unhandled.append(context['message'])
        )

        async def call() -> int:
            nonlocal calls
            calls += 1
            if calls > 1:
                fails.set()
            await fails.wait()
            raise HistoryLost

        with suppress(HistoryLost):
            await FakeStore().reads.first_answer(
                call, call, answer_within_s=ANSWER_WITHIN_S
            )
        gc.collect()

    asyncio.run(read())
    assert calls == 2
    assert not unhandled


def test_long_answer_on_a_slow_link_is_read_several_times() -> None:
    # Each further call made all of them slower; the store counted as lost.
    store = FakeStore(ANSWER_WITHIN_S + 2.5 * NEXT_CALL_S)

    async def read() -> int:
        receiving = asyncio.ensure_future(_receive(store))
        try:
            return await store.reads.first_answer(
                store.call, store.call, answer_within_s=ANSWER_WITHIN_S
            )
        finally:
            receiving.cancel()

    assert asyncio.run(read()) == 1
    assert store.calls == 1
    assert store.lost == []


def test_answer_that_trickles_for_ever_held_up_the_next_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_reads, 'MAX_ARRIVING_S', 2 * NEXT_CALL_S)
    store = FakeStore(60.0, 0.0)

    async def read() -> int:
        receiving = asyncio.ensure_future(_receive(store))
        try:
            async with asyncio.timeout(5 * NEXT_CALL_S):
                return await store.reads.first_answer(
                    store.call, store.call, answer_within_s=ANSWER_WITHIN_S
                )
        finally:
            receiving.cancel()

    assert asyncio.run(read()) == 2
    assert store.open_calls == 0


async def _receive(store: FakeStore) -> None:
    while True:
        store.received_bytes += 1
        await asyncio.sleep(NEXT_CALL_S / 10)
