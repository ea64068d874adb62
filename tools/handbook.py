"""Follows pages of the handbook against a running example.

Each ``console`` block of a page is run in order, line by line; a line that
starts with ``$ `` is a command, the lines after it are its output, which are
replaced by what the command really printed. One shell serves a whole page, so
that variables stay set. Commands see ``EXAMPLE``, the directory of the
example, ``LOGS``, the directory of the processes' logs and ids, and ``WORK``,
an empty directory.

``python tools/handbook.py docs/operations/day-*.md`` rewrites the pages.
"""

from __future__ import annotations

import argparse
import os
import re
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
BLOCK = re.compile(r'(?<=^```console\n).*?(?=^```$)', re.MULTILINE | re.DOTALL)
EXAMPLE = re.compile(r'^<!-- example: (\S+) -->$', re.MULTILINE)
END_MARK = '--end-of-command--'
SETTLE_S = 8.0


class Shell:
    """One shell for the commands of a page."""

    def __init__(self, environment: dict[str, str]) -> None:
        """Starts the shell."""
        self._hidden = {
            environment[name]: f'${name}' for name in ('WORK', 'LOGS')
        }
        self._process = subprocess.Popen(
            ['/bin/bash', '--norc'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            cwd=ROOT,
            env=environment,
        )

    def run(self, command: str) -> str:
        """Returns what a command printed, temporary paths by their names."""
        assert self._process.stdin is not None  # noqa: S101
        assert self._process.stdout is not None  # noqa: S101
        self._process.stdin.write(f'{command}\necho; echo {END_MARK}\n')
        self._process.stdin.flush()
        lines = []
        for line in self._process.stdout:
            if line.strip() == END_MARK:
                break
            lines.append(line.rstrip())
        printed = '\n'.join(lines).rstrip('\n')
        for path, variable in self._hidden.items():
            printed = printed.replace(path, variable)
        return printed

    def close(self) -> None:
        """Ends the shell."""
        assert self._process.stdin is not None  # noqa: S101
        self._process.stdin.close()
        self._process.wait()


def follow(text: str, shell: Shell) -> str:
    """Returns the page with the true output of its commands."""

    def run_block(block: re.Match[str]) -> str:
        parts = []
        for line in block.group().splitlines():
            if line.startswith('$ '):
                parts.append(line)
                output = shell.run(line.removeprefix('$ '))
                parts += [output] if output else []
        return '\n'.join(parts) + '\n'

    return BLOCK.sub(run_block, text)


def follow_page(path: Path) -> None:
    """Follows one page against its example and rewrites it."""
    text = path.read_text(encoding='utf-8')
    found = EXAMPLE.search(text)
    example = found.group(1) if found else 'examples/ninepatch'
    rehearsal = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'catkinreach_standins.rehearsal',
            f'--example={example}',
        ],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    try:
        assert rehearsal.stdout is not None  # noqa: S101
        ready = rehearsal.stdout.readline()
        logs = ready.rpartition(' ')[2].strip()
        time.sleep(SETTLE_S)
        environment = {
            **os.environ,
            'PATH': f'{BIN}:{os.environ["PATH"]}',
            'EXAMPLE': example,
            'LOGS': logs,
        }
        with TemporaryDirectory() as work:
            shell = Shell({**environment, 'WORK': work})
            path.write_text(follow(text, shell), encoding='utf-8')
            shell.close()
    finally:
        rehearsal.terminate()
        rehearsal.wait()


def main() -> int:
    """Follows the pages that are named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('pages', nargs='+', type=Path)
    for path in parser.parse_args().pages:
        print(f'-- {path}', flush=True)
        follow_page(path)
    return 0


if __name__ == '__main__':
    sys.exit(main())
