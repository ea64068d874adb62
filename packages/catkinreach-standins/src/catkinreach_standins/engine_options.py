"""Options of the engine, each with a command-line flag of the same name."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import msgspec
from absl import flags

from .command_line import new_flag_values


class EngineRole(Enum):
    """Stage of a request that an engine serves."""

    PREFILL = 'prefill'
    DECODE = 'decode'


class EngineOptions(msgspec.Struct, frozen=True):
    """Identity, rates and limits of the engine.

    Times are simulated seconds, which ``time_scale`` converts to real ones,
    except ``load_lag_s`` and ``event_lag_s``, which are real seconds.

    Attributes:
        name: Name in the line that reports the port.
        port: Port to listen on; 0 selects a free port.
        role: Stage that it serves at first, a value of `EngineRole`.
        model: Model that is loaded at first.
        places: Number of decode places.
        kv_pieces: Number of KV pieces in its memory.
        seed: Seed of its random numbers.
        time_scale: Real seconds per simulated second.
        prefill_base_s: Duration of a prefill apart from its tokens.
        prefill_tokens_per_s: Rate of tokens that the prefix cache lacks.
        step_base_s: Duration of a decode step apart from its requests.
        step_per_request_s: Duration that each request adds to a step.
        export_lifetime_s: Time after which an export expires.
        import_base_s: Duration of a transfer apart from its KV pieces.
        link_pieces_per_s: Rate of a transfer.
        load_lag_s: Age of the load that is reported.
        cache_blocks: Number of blocks in the prefix cache.
        event_lag_s: Delay of the prefix cache's events.
        event_gap_rate: Share of these events that are lost, from 0 to 1.
        fencing: Whether orders with a lower fencing number are refused.
        leak_exports: Whether expired exports keep their KV pieces.
        warmup_requests: The engine is cold until it has completed this number
            of requests.
        cold_places: Number of concurrent requests of one stage above which a
            cold engine crashes.
        poison_token: The engine crashes on prompts with this token.
        capture: File to which all bytes received are appended; empty for none.
    """

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
        """Parses the options from the arguments of a command line."""
        flag_values = new_flag_values()
        for option in msgspec.structs.fields(cls):
            _define_flag(option.name, option.default, flag_values)
        flag_values(argv)
        names = (option.name for option in msgspec.structs.fields(cls))
        value_by_name = {name: flag_values[name].value for name in names}
        return msgspec.convert(value_by_name, cls)

    @property
    def capture_path(self) -> Path | None:
        """Returns the path of the capture file, ``None`` without one."""
        return Path(self.capture) if self.capture else None


def _define_flag(
    name: str, default: object, flag_values: flags.FlagValues
) -> None:
    help_text = name.replace('_', ' ')
    if isinstance(default, bool):
        flags.DEFINE_bool(name, default, help_text, flag_values=flag_values)
    elif isinstance(default, int):
        flags.DEFINE_integer(name, default, help_text, flag_values=flag_values)
    elif isinstance(default, float):
        flags.DEFINE_float(name, default, help_text, flag_values=flag_values)
    else:
        flags.DEFINE_string(
            name, str(default), help_text, flag_values=flag_values
        )


__all__ = ('EngineOptions', 'EngineRole')
