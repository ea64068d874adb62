"""Retries that a stream holds while its silent engine is replaced."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest

from catkinreach_node.gateway.handover import OVERLAP_S
from catkinreach_node.gateway.silent_replacement import (
    RETRIES_TO_REPLACE,
    SilentReplacement,
)
from catkinreach_standins.fakes.gateway import make_upstream

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.gateway.attempts import Attempts
    from catkinreach_node.gateway.engine_stream import EngineStream
    from catkinreach_node.gateway.handover import Handover
    from catkinreach_node.gateway.node import Node

SOON_S = OVERLAP_S / 2
LATE_S = OVERLAP_S * 2


class _Scenario:
    """A stream at a silent engine, and a budget that has so many retries."""

    def __init__(
        self, *, retries: int, is_down: bool = False, goes_down: bool = False
    ) -> None:
        self.held: list[int] = []
        self._retries = retries
        self._is_down = is_down
        self._goes_down = goes_down
        attempts = SimpleNamespace(
            try_hold_retries=self._hold,
            try_acquire_send=lambda: True,
            release_retries=lambda: None,
            has_retried=False,
            remaining_s=1.0,
        )
        node = SimpleNamespace(
            health=SimpleNamespace(is_down=lambda _: self._is_down),
            checks=SimpleNamespace(finish_check=self._finish_check),
        )
        self._replacement = SilentReplacement(
            cast('Node', node), cast('Attempts', attempts)
        )

    def try_acquire_send(self, first_event_s: float) -> bool:
        """Returns whether the stream may be sent to another engine."""
        handover = SimpleNamespace(
            has_given_up=False, is_done=True, silent_upstream=make_upstream('d')
        )
        with self._replacement.by(cast('Handover[EngineStream]', handover)):
            return asyncio.run(
                self._replacement.try_acquire_send(first_event_s)
            )

    def _hold(self, count: int) -> bool:
        self.held.append(count)
        return count <= self._retries

    async def _finish_check(self, _: Upstream, timeout_s: float) -> None:
        assert timeout_s > 0
        self._is_down |= self._goes_down


# Streams of lost engines kept retries for a return from others that could have
# replaced theirs.
@pytest.mark.parametrize('is_down', [False, True])
def test_engine_that_is_down_takes_a_retry_for_a_return(
    *, is_down: bool
) -> None:
    scenario = _Scenario(retries=RETRIES_TO_REPLACE, is_down=is_down)
    assert scenario.try_acquire_send(SOON_S)
    assert scenario.held == ([] if is_down else [RETRIES_TO_REPLACE])


# Of several streams at an engine that went dark one was replaced; the others
# lacked the retry for a return until its check had ended.
def test_engine_takes_a_retry_for_a_return_before_its_check_ends() -> None:
    scenario = _Scenario(retries=1, goes_down=True)
    assert scenario.try_acquire_send(LATE_S)
    assert not scenario.held


# The other engine read the prompt for nothing: without a retry for a return it
# was closed before its first event could come.
@pytest.mark.parametrize(
    ('retries', 'first_event_s', 'is_sent'),
    [
        (1, LATE_S, False),
        (1, SOON_S, True),
        (RETRIES_TO_REPLACE, LATE_S, True),
    ],
)
def test_stream_is_sent_to_an_engine_that_will_be_withdrawn(
    retries: int, first_event_s: float, *, is_sent: bool
) -> None:
    scenario = _Scenario(retries=retries)
    assert scenario.try_acquire_send(first_event_s) is is_sent
