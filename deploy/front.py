"""Starts the process of a front VM from a checkout of the repository.

The deploy file runs this script from the repository root. Third-party libraries
are in ``target/deps``; the project's own packages are imported from the
checkout.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# The default action would end the process while it imports the rest.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

PACKAGES = Path(__file__).resolve().parent.parent / 'packages'

for name in ('core', 'node'):
    sys.path.insert(0, str(PACKAGES / f'catkinreach-{name}' / 'src'))

from catkinreach_node.platform.run import main  # noqa: E402

main()
