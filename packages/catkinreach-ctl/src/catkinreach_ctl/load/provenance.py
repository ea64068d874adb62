"""Records the commit and the command line that produced a result."""

from __future__ import annotations

import shlex
import shutil
import subprocess
import sys
from pathlib import Path

from msgspec import Struct

UNKNOWN_COMMIT = 'unknown'


class Provenance(Struct, frozen=True):
    """Commit and command line, with which a run can be reproduced."""

    commit: str
    command: str

    @classmethod
    def of_process(cls) -> Provenance:
        """Returns the provenance of this process."""
        program = Path(sys.argv[0]).name
        return cls(
            commit=tree_commit(),
            command=shlex.join([program, *sys.argv[1:]]),
        )


def tree_commit() -> str:
    """Returns the commit of the source tree, with ``+`` if it has changes."""
    commit = _run_git('rev-parse', '--short=12', 'HEAD')
    if not commit:
        return UNKNOWN_COMMIT
    is_changed = bool(_run_git('status', '--porcelain', '--untracked-files=no'))
    return f'{commit}+' if is_changed else commit


def _run_git(*arguments: str) -> str:
    git = shutil.which('git')
    if git is None:
        return ''
    completed = subprocess.run(  # noqa: S603 - fixed arguments
        [git, '-C', str(Path(__file__).parent), *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip()


__all__ = ('Provenance', 'tree_commit')
