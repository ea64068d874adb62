"""Runs seeds of the soak, one after another.

``python -m catkinreach_standins.platform.soak --first_seed=1 --seeds=50``
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from absl import flags
from loguru import logger

from ...command_line import new_flag_values
from .run import SoakOptions, SoakResult, run_soak


def main(argv: list[str]) -> int:
    """Runs the seeds; returns 1 if any invariant was broken."""
    values = new_flag_values()
    flags.DEFINE_integer('first_seed', 1, 'first seed', flag_values=values)
    flags.DEFINE_integer('seeds', 1, 'number of seeds', flag_values=values)
    flags.DEFINE_float(
        'duration_s', 12.0, 'time of faults in a run', flag_values=values
    )
    flags.DEFINE_integer('fronts', 3, 'front processes', flag_values=values)
    flags.DEFINE_string(
        'logs', '', 'folder that keeps the logs', flag_values=values
    )
    values(argv)
    logger.remove()
    root = Path(values.logs or tempfile.mkdtemp(prefix='soak-'))
    broken = 0
    for seed in range(values.first_seed, values.first_seed + values.seeds):
        folder = root / f'seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            run_soak(
                SoakOptions(
                    seed=seed,
                    duration_s=values.duration_s,
                    front_count=values.fronts,
                    folder=folder,
                )
            )
        )
        broken += bool(result.violations)
        _report(seed, result, folder)
    sys.stdout.write(f'{values.seeds} seeds, {broken} broke an invariant\n')
    return 1 if broken else 0


def _report(seed: int, result: SoakResult, folder: Path) -> None:
    told = ', '.join(
        f'{kind.value} {end.value} {count}'
        for (kind, end), count in sorted(
            result.ends.items(), key=lambda one: (one[0][0].value, -one[1])
        )
    )
    sys.stdout.write(f'seed {seed}: {result.fault_count} faults; {told}\n')
    for line in result.violations:
        sys.stdout.write(f'  BROKEN {line}\n')
    if result.violations:
        sys.stdout.write(f'  logs: {folder}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv))
