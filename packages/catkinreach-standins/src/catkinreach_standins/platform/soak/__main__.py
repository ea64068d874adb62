"""Runs the soak with a range of seeds, one after another.

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
from ..builds import ROOT, check_out_build
from .run import SoakOptions, SoakResult, run_soak


def main(argv: list[str]) -> int:
    """Runs the soak with each seed; returns 1 if an invariant was violated."""
    values = new_flag_values()
    flags.DEFINE_integer('first_seed', 1, 'first seed', flag_values=values)
    flags.DEFINE_integer('seeds', 1, 'number of seeds', flag_values=values)
    flags.DEFINE_float(
        'duration_s', 12.0, 'seconds of faults in a run', flag_values=values
    )
    flags.DEFINE_integer(
        'fronts', 3, 'number of front processes', flag_values=values
    )
    flags.DEFINE_string(
        'logs',
        '',
        'folder for settings and logs; a temporary one by default',
        flag_values=values,
    )
    flags.DEFINE_bool(
        'crashing',
        default=True,
        help='whether some requests crash engines',
        flag_values=values,
    )
    flags.DEFINE_list(
        'builds',
        [],
        'earlier commits whose builds run beside this one',
        flag_values=values,
    )
    values(argv)
    logger.remove()
    root = Path(values.logs or tempfile.mkdtemp(prefix='soak-'))
    builds = (
        ROOT,
        *(check_out_build(commit, root) for commit in values.builds),
    )
    failed_seeds = 0
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
                    has_crashing_requests=values.crashing,
                    builds=builds,
                )
            )
        )
        failed_seeds += bool(result.violations)
        _print_result(seed, result, folder)
    sys.stdout.write(
        f'{values.seeds} seeds, {failed_seeds} violated an invariant\n'
    )
    return 1 if failed_seeds else 0


def _print_result(seed: int, result: SoakResult, folder: Path) -> None:
    call_counts = ', '.join(
        f'{kind.value} {end.value} {count}'
        for (kind, end), count in sorted(
            result.end_counts.items(),
            key=lambda item: (item[0][0].value, -item[1]),
        )
    )
    sys.stdout.write(
        f'seed {seed}: {result.fault_count} faults,'
        f' {result.crash_count} crashes; {call_counts}\n'
    )
    for violation in result.violations:
        sys.stdout.write(f'  VIOLATION {violation}\n')
    if result.violations:
        sys.stdout.write(f'  logs: {folder}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv))
