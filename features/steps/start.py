"""Steps that start a fleet."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from behave import given

from catkinreach_core.orders.ledger import COVER_MARGIN_S
from catkinreach_standins.bench.deployment import BenchOptions, Deployment
from catkinreach_standins.bench.scenario import Scenario

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'


@given('a {example} fleet of {count:d} VMs')
def start_fleet(context: Any, example: str, count: int) -> None:
    _use(context, example, count)


@given('a {example} fleet of {count:d} VMs that the balancer sees directly')
def start_direct(context: Any, example: str, count: int) -> None:
    _use(context, example, count, is_balancer_direct=True)


def _use(
    context: Any, example: str, count: int, *, is_balancer_direct: bool = False
) -> None:
    wanted = (example, count, is_balancer_direct)
    if wanted not in context.deployments:
        options = BenchOptions(
            fleet=(EXAMPLES / example / 'fleet.ini').read_text(),
            node_count=count,
            seed=context.seed,
            has_proxy=True,
            has_capture=True,
            is_balancer_direct=is_balancer_direct,
        )
        context.deployments[wanted] = _start(options)
    context.trial = Scenario(context.deployments[wanted], seed=context.seed)


def _start(options: BenchOptions) -> Deployment:
    deployment = Deployment(options)
    try:
        deployment.start()
        time.sleep(COVER_MARGIN_S)
    except BaseException:
        deployment.stop()
        raise
    return deployment
