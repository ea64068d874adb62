"""Starts a front VM's process from a checkout.

The deploy file runs this script at the repository root; the libraries lie in
``target/deps``, the packages of the workspace in the checkout itself.
"""

from __future__ import annotations

import sys
from pathlib import Path

PACKAGES = Path(__file__).resolve().parent.parent / 'packages'

for name in ('core', 'node'):
    sys.path.insert(0, str(PACKAGES / f'catkinreach-{name}' / 'src'))

from catkinreach_node.platform.run import main  # noqa: E402

main()
