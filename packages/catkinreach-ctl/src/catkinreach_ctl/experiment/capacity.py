"""Capacity of a deployment, computed from the rates of its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.settings.fleet import FleetSettings, Service, Upstream

    from ..load.workload import RequestClass, Workload
    from .bench import EngineRates


def capacity_per_s(
    workload: Workload, settings: FleetSettings, rates: EngineRates
) -> float:
    """Returns the requests per second, over all classes, at full utilization.

    Shared prefixes count as cached and decode slots as always occupied, so
    this is an upper bound that no placement exceeds in the long run.
    """
    service = _model_service(workload, settings)
    prefill = settings.upstreams_of(service.prefill_pool)
    decode = settings.upstreams_of(service.decode_pool)
    model_per_s = min(
        _prefill_per_s(workload, len(prefill), rates),
        _decode_per_s(workload, decode, rates),
    )
    return model_per_s / workload.model_share


def _model_service(workload: Workload, settings: FleetSettings) -> Service:
    for service in settings.services.values():
        pool = settings.pools.get(service.decode_pool or service.pool)  # type: ignore[arg-type]
        if pool is not None and pool.model == workload.model:
            return service
    raise ValueError(f'no service runs the model {workload.model}')


def _prefill_per_s(
    workload: Workload, engine_count: int, rates: EngineRates
) -> float:
    uncached_tokens = _mean_tokens(
        workload, lambda request_class: request_class.unique_tokens.mean
    )
    prefill_s = (
        rates.prefill_base_s + uncached_tokens / rates.prefill_tokens_per_s
    )
    return engine_count / prefill_s


def _decode_per_s(
    workload: Workload, engines: tuple[Upstream, ...], rates: EngineRates
) -> float:
    output_tokens = _mean_tokens(
        workload, lambda request_class: request_class.output_tokens.mean
    )
    tokens_per_s = sum(
        engine.places
        / (rates.step_base_s + engine.places * rates.step_per_request_s)
        for engine in engines
    )
    return tokens_per_s / output_tokens


def _mean_tokens(
    workload: Workload, tokens_of: Callable[[RequestClass], float]
) -> float:
    classes = workload.model_classes
    weighted = sum(
        request_class.share * tokens_of(request_class)
        for request_class in classes
    )
    return weighted / sum(request_class.share for request_class in classes)


__all__ = ('capacity_per_s',)
