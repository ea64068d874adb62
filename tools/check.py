"""Runs all checks of the project and prints a summary line of counts.

Failures of tests listed in ``KNOWN-RED.txt`` are printed, but don't fail the
run.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
import xml.etree.ElementTree as ET
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / 'KNOWN-RED.txt'
BIN = Path(sys.executable).parent

DEFAULT_TAGS = 'not @long and not @pending'
"""Excludes long scenarios and scenarios of features not yet implemented."""

STATIC_CHECKS = (
    ('format', ('ruff', 'format', '--check', '--quiet', '.')),
    ('lint', ('ruff', 'check', '--quiet', '.')),
    ('names', ('flake8', 'packages', 'features', 'tools')),
    ('types', ('mypy',)),
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one check.

    Attributes:
        name: Name of the check, or ``classname::name`` of a test.
        passed: Whether the check passed.
        detail: Output of the check, empty for tests.
    """

    name: str
    passed: bool
    detail: str = ''


def run_static(name: str, command: tuple[str, ...]) -> Outcome:
    """Runs one static check and captures its output."""
    print(f'-- {name}', flush=True)
    completed = subprocess.run(
        [str(BIN / command[0]), *command[1:]],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return Outcome(
        name, completed.returncode == 0, completed.stdout + completed.stderr
    )


def read_junit(report: Path) -> list[Outcome]:
    """Returns the outcomes of a JUnit XML report without skipped tests."""
    outcomes = []
    for case in ET.parse(report).iter('testcase'):  # noqa: S314
        if case.get('status') == 'skipped' or case.find('skipped') is not None:
            continue
        name = f'{case.get("classname")}::{case.get("name")}'
        failures = [
            child for child in case if child.tag in {'failure', 'error'}
        ]
        outcomes.append(Outcome(name, not failures))
    return outcomes


def run_unit(report_dir: Path) -> list[Outcome]:
    """Runs the unit and integration tests under pytest."""
    print('-- unit', flush=True)
    report = report_dir / 'unit.xml'
    completed = subprocess.run(
        [str(BIN / 'pytest'), f'--junit-xml={report}'], cwd=ROOT, check=False
    )
    if not report.exists():
        return [Outcome('unit', passed=False)]
    outcomes = read_junit(report)
    if completed.returncode and all(outcome.passed for outcome in outcomes):
        outcomes.append(Outcome('unit: exit code', passed=False))
    return outcomes


def run_features(report_dir: Path, seed: int) -> list[Outcome]:
    """Runs the behave scenarios that `DEFAULT_TAGS` selects."""
    if not any((ROOT / 'features').glob('**/*.feature')):
        return []
    print('-- features', flush=True)
    completed = subprocess.run(
        [
            str(BIN / 'behave'),
            '--junit',
            f'--junit-directory={report_dir / "behave"}',
            '--format=progress',
            f'--tags={DEFAULT_TAGS}',
            f'--define=seed={seed}',
        ],
        cwd=ROOT,
        check=False,
    )
    print(f'pending scenarios left out: {count_pending()}')
    outcomes = []
    for report in sorted((report_dir / 'behave').glob('*.xml')):
        outcomes += read_junit(report)
    if completed.returncode and all(outcome.passed for outcome in outcomes):
        outcomes.append(Outcome('features: exit code', passed=False))
    return outcomes


def count_pending() -> int:
    """Counts the scenarios and examples tables that are tagged @pending."""
    return sum(
        len(re.findall(r'^\s*@pending\b', text, re.MULTILINE))
        for path in (ROOT / 'features').glob('**/*.feature')
        if (text := path.read_text(encoding='utf-8'))
    )


def load_known_failures() -> frozenset[str]:
    """Returns the names of the tests that are known to fail."""
    if not KNOWN_FAILURES_FILE.exists():
        return frozenset()
    text = KNOWN_FAILURES_FILE.read_text(encoding='utf-8')
    return frozenset(re.findall(r'^test: (.+)$', text, re.MULTILINE))


def report_outcomes(outcomes: list[Outcome]) -> int:
    """Prints the failures and the summary line; returns the exit code."""
    known_failures = load_known_failures()
    passed = sum(outcome.passed for outcome in outcomes)
    failures = [outcome for outcome in outcomes if not outcome.passed]
    unexpected = [
        result for result in failures if result.name not in known_failures
    ]
    for failure in failures:
        label = 'known red' if failure.name in known_failures else 'FAILED'
        print(f'{label}: {failure.name}')
        if failure.detail:
            print(failure.detail)
    known_count = len(failures) - len(unexpected)
    if known_count:
        print(f'known red tests passed over: {known_count}')
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected or not passed else 0


def main() -> int:
    """Runs all checks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    outcomes = [run_static(name, command) for name, command in STATIC_CHECKS]
    with TemporaryDirectory() as report_dir:
        outcomes += run_unit(Path(report_dir))
        outcomes += run_features(Path(report_dir), options.seed)
    return report_outcomes(outcomes)


if __name__ == '__main__':
    sys.exit(main())
