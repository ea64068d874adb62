"""Retries that a stream holds while its silent engine is replaced."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest

from catkinreach_node.gateway.silent_replacement import (
    RETRIES_TO_REPLACE,
    SilentReplacement,
)
from catkinreach_standins.fakes.gateway import make_upstream

if TYPE_CHECKING:
    from catkinreach_node.gateway.attempts import Attempts
    from catkinreach_node.gateway.engine_stream import EngineStream
    from catkinreach_node.gateway.handover import Handover
    from catkinreach_node.gateway.node import Node


# Streams of lost engines kept retries for a return from others that could have
# replaced theirs.
@pytest.mark.parametrize('is_down', [False, True])
def test_engine_that_is_down_takes_a_retry_for_a_return(
    *, is_down: bool
) -> None:
    held: list[int] = []

    def hold(count: int) -> bool:
        held.append(count)
        return True

    attempts = SimpleNamespace(
        try_hold_retries=hold,
        try_acquire_send=lambda: True,
        release_retries=lambda: None,
        has_retried=False,
    )
    health = SimpleNamespace(is_down=lambda _: is_down)
    handover = SimpleNamespace(
        has_given_up=False, is_done=True, silent_upstream=make_upstream('d')
    )
    replacement = SilentReplacement(
        cast('Node', SimpleNamespace(health=health)),
        cast('Attempts', attempts),
    )
    with replacement.by(cast('Handover[EngineStream]', handover)):
        assert replacement.try_acquire_send()
    assert held == ([] if is_down else [RETRIES_TO_REPLACE])
