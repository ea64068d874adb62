"""Options of an engine, one for each command-line flag."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import msgspec
from absl import flags

from .command_line import new_flag_values


class EngineRole(Enum):
    """Phase that an engine serves."""

    PREFILL = 'prefill'
    DECODE = 'decode'


class EngineOptions(msgspec.Struct, frozen=True):
    """Rates and limits; times are model seconds before ``time_scale``."""

    name: str = 'engine'
    port: int = 0
    role: str = EngineRole.PREFILL.value
    model: str = 'model'
    places: int = 20
    kv_pieces: int = 400
    seed: int = 1
    time_scale: float = 1.0
    prefill_base_s: float = 0.02
    prefill_tokens_per_s: float = 8000.0
    step_base_s: float = 0.012
    step_per_request_s: float = 0.0008
    export_lifetime_s: float = 0.8
    import_base_s: float = 0.005
    link_pieces_per_s: float = 200.0
    load_lag_s: float = 0.5
    cache_blocks: int = 2000
    event_lag_s: float = 0.5
    event_gap_rate: float = 0.05
    fencing: bool = False
    leak_exports: bool = False
    warmup_requests: int = 0
    cold_places: int = 2
    poison_token: int = -666
    capture: str = ''

    @classmethod
    def from_argv(cls, argv: list[str]) -> EngineOptions:
        """Read the options from a command line."""
        values = new_flag_values()
        for option in msgspec.structs.fields(cls):
            _define(option.name, option.default, values)
        values(argv)
        names = (option.name for option in msgspec.structs.fields(cls))
        chosen = {name: values[name].value for name in names}
        return msgspec.convert(chosen, cls)

    @property
    def capture_path(self) -> Path | None:
        """Path that received bytes are appended to."""
        return Path(self.capture) if self.capture else None


def _define(name: str, default: object, values: flags.FlagValues) -> None:
    text = name.replace('_', ' ')
    if isinstance(default, bool):
        flags.DEFINE_bool(name, default, text, flag_values=values)
    elif isinstance(default, int):
        flags.DEFINE_integer(name, default, text, flag_values=values)
    elif isinstance(default, float):
        flags.DEFINE_float(name, default, text, flag_values=values)
    else:
        flags.DEFINE_string(name, str(default), text, flag_values=values)


__all__ = ('EngineOptions', 'EngineRole')
