"""Earlier builds of the gateway, taken from the repository's history."""

from __future__ import annotations

import subprocess
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[5]
"""Checkout that this build runs from."""

LANDINGS: Final = ('03194b3', '51a398b', '545fb3f')
"""Commits of the last landings, beside which this build must run."""

FRONT_PATHS: Final = (
    'deploy/front.py',
    'packages/catkinreach-core/src',
    'packages/catkinreach-node/src',
)
"""What a front process is started from."""


class NoSuchBuildError(Exception):
    """The checkout has no such commit, as in a shallow clone."""


def check_out_build(commit: str, folder: Path) -> Path:
    """Writes the sources of a commit into a folder of its own; returns it.

    Raises:
        NoSuchBuildError: if the repository doesn't have the commit.
    """
    root = folder / f'build-{commit}'
    archive = folder / f'build-{commit}.tar'
    root.mkdir(parents=True, exist_ok=True)
    command = ('git', 'archive', f'--output={archive}', commit, *FRONT_PATHS)
    archived = subprocess.run(  # noqa: S603 - the commits are constants
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    if archived.returncode:
        raise NoSuchBuildError(f'{commit}: {archived.stderr.strip()}')
    subprocess.run(  # noqa: S603
        ('tar', '-x', '-f', str(archive), '-C', str(root)),  # noqa: S607
        check=True,
    )
    archive.unlink()
    return root


__all__ = ('LANDINGS', 'ROOT', 'NoSuchBuildError', 'check_out_build')
