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
    _use_deployment(context, example, count)


@given('a {example} fleet of {count:d} VMs that the balancer sees directly')
def start_fleet_with_direct_balancer(
    context: Any, example: str, count: int
) -> None:
    _use_deployment(context, example, count, is_balancer_direct=True)


def _use_deployment(
    context: Any, example: str, count: int, *, is_balancer_direct: bool = False
) -> None:
    deployment_key = (example, count, is_balancer_direct)
    if deployment_key not in context.deployments:
        options = BenchOptions(
            fleet=(EXAMPLES / example / 'fleet.ini').read_text(),
            node_count=count,
            seed=context.seed,
            has_proxy=True,
            has_capture=True,
            is_balancer_direct=is_balancer_direct,
        )
        context.deployments[deployment_key] = _start_deployment(options)
    context.fleet_scenario = Scenario(
        context.deployments[deployment_key], seed=context.seed
    )


def _start_deployment(options: BenchOptions) -> Deployment:
    deployment = Deployment(options)
    try:
        deployment.start()
        # The ledgers of new owners cover only keys created after this margin.
        time.sleep(COVER_MARGIN_S)
    except BaseException:
        deployment.stop()
        raise
    return deployment
