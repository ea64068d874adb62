"""Runs the commands of handbook pages and records their output.

For each page, an example fleet is started. The ``console`` blocks of the page
are run in order: a line that starts with ``$ `` is a command, the lines after
it are its output and are replaced by the actual output. All commands of a page
run in the same shell, so that variables stay set. The environment contains
``EXAMPLE`` (directory of the example), ``LOGS`` (directory of the processes'
logs and ids) and ``WORK`` (an empty directory).

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
CONSOLE_BLOCK = re.compile(
    r'(?<=^```console\n).*?(?=^```$)', re.MULTILINE | re.DOTALL
)
EXAMPLE_COMMENT = re.compile(r'^<!-- example: (\S+) -->$', re.MULTILINE)
END_MARK = '--end-of-command--'
FLEET_STARTUP_S = 8.0


class Shell:
    """Bash process that runs the commands of one page."""

    def __init__(self, environment: dict[str, str]) -> None:
        """Starts the shell."""
        self._path_variables = {
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
        """Runs a command and returns its output.

        Temporary paths are replaced by the names of their variables, so that
        the output doesn't differ between runs.
        """
        assert self._process.stdin is not None  # noqa: S101
        assert self._process.stdout is not None  # noqa: S101
        self._process.stdin.write(f'{command}\necho; echo {END_MARK}\n')
        self._process.stdin.flush()
        lines = []
        for line in self._process.stdout:
            if line.strip() == END_MARK:
                break
            lines.append(line.rstrip())
        output = '\n'.join(lines).rstrip('\n')
        for path, variable in self._path_variables.items():
            output = output.replace(path, variable)
        return output

    def close(self) -> None:
        """Closes the shell's input and waits for its exit."""
        assert self._process.stdin is not None  # noqa: S101
        self._process.stdin.close()
        self._process.wait()


def run_commands(text: str, shell: Shell) -> str:
    """Runs the commands of a page; returns the page with their output."""

    def run_block(block: re.Match[str]) -> str:
        parts = []
        for line in block.group().splitlines():
            if line.startswith('$ '):
                parts.append(line)
                output = shell.run(line.removeprefix('$ '))
                parts += [output] if output else []
        return '\n'.join(parts) + '\n'

    return CONSOLE_BLOCK.sub(run_block, text)


def rewrite_page(path: Path) -> None:
    """Starts the example of a page, runs its commands and rewrites the page."""
    text = path.read_text(encoding='utf-8')
    found = EXAMPLE_COMMENT.search(text)
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
        ready_line = rehearsal.stdout.readline()
        logs = ready_line.rpartition(' ')[2].strip()
        time.sleep(FLEET_STARTUP_S)
        environment = {
            **os.environ,
            'PATH': f'{BIN}:{os.environ["PATH"]}',
            'EXAMPLE': example,
            'LOGS': logs,
        }
        with TemporaryDirectory() as work:
            shell = Shell({**environment, 'WORK': work})
            path.write_text(run_commands(text, shell), encoding='utf-8')
            shell.close()
    finally:
        rehearsal.terminate()
        rehearsal.wait()


def main() -> int:
    """Rewrites the pages given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('pages', nargs='+', type=Path)
    for path in parser.parse_args().pages:
        print(f'-- {path}', flush=True)
        rewrite_page(path)
    return 0


if __name__ == '__main__':
    sys.exit(main())
