"""Malformed inputs for the tests of decoders, and the stored ones."""

from __future__ import annotations

import json
import os
from copy import deepcopy
from typing import TYPE_CHECKING, Any, Final

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

INPUTS_VARIABLE: Final = 'CATKINREACH_FUZZ_INPUTS'
"""Environment variable with the number of inputs of each test."""

DEFAULT_INPUTS: Final = 60
MAX_UINT64: Final = 2**64 - 1
MIN_INT64: Final = -(2**63)
MAX_DAMAGES: Final = 3
DEPTH: Final = 2_000
"""Depth of nested documents; more than Python's stack allows."""

ODD_NUMBERS: Final = (
    0,
    -1,
    2**31,
    2**53 + 1,
    2**63 - 1,
    2**63,
    MAX_UINT64,
    MIN_INT64,
    -0.0,
    5e-324,
    1e308,
    float('inf'),
    float('-inf'),
    float('nan'),
)
ODD_TEXTS: Final = (
    '',
    'a b',
    'a\0b',
    'a\r\nb: c',
    '\ud7ff\u20ac',
    '..',
    '255.255.255.255',
    ':',
    ':0',
    'x:99999',
    'x' * 300,
    '9' * 5_000,
)

_FUZZ_SETTINGS: Final = settings(
    max_examples=int(os.environ.get(INPUTS_VARIABLE, DEFAULT_INPUTS)),
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def fuzz_settings() -> settings:
    """Returns the settings of a test: seeded, and short unless asked for."""
    return _FUZZ_SETTINGS


ODD_VALUES: Final[st.SearchStrategy[Any]] = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(ODD_NUMBERS),
    st.integers(MIN_INT64, MAX_UINT64),
    st.floats(),
    st.sampled_from(ODD_TEXTS),
    st.text(st.characters(exclude_categories=['Cs']), max_size=12),
    st.binary(max_size=6),
    st.lists(st.sampled_from(ODD_NUMBERS), max_size=3),
    st.dictionaries(
        st.sampled_from(ODD_TEXTS), st.sampled_from(ODD_NUMBERS), max_size=2
    ),
)


@st.composite
def damaged_trees(draw: st.DrawFn, document: Any) -> Any:
    """Returns documents some values of which are replaced or missing."""
    tree = [deepcopy(document)]
    for _ in range(draw(st.integers(0, MAX_DAMAGES))):
        places = list(_places(tree))
        container, key = places[draw(st.integers(0, len(places) - 1))]
        if len(places) > 1 and draw(st.integers(0, 5)) == 0:
            if container is not tree:
                del container[key]
            continue
        container[key] = draw(ODD_VALUES)
    return tree[0]


def _places(container: Any) -> Iterator[tuple[Any, Any]]:
    """Yields each container and key of a tree of lists and dictionaries."""
    items: list[tuple[Any, Any]] = []
    if isinstance(container, list):
        items = list(enumerate(container))
    elif isinstance(container, dict):
        items = list(container.items())
    for key, value in items:
        yield container, key
        yield from _places(value)


@st.composite
def damaged_bytes(draw: st.DrawFn, valid: bytes) -> bytes:
    """Returns bytes with a few bytes replaced, left out or added."""
    start = draw(st.integers(0, len(valid)))
    end = draw(st.integers(start, min(len(valid), start + 20)))
    return valid[:start] + draw(st.binary(max_size=20)) + valid[end:]


def damaged_json(document: Any) -> st.SearchStrategy[bytes]:
    """Returns a strategy of malformed JSON documents, and random bytes."""
    valid = to_json(document)
    return st.one_of(
        damaged_trees(document).map(to_json),
        damaged_bytes(valid),
        st.binary(max_size=40),
        st.sampled_from((b'[' * DEPTH, b'{"a":' * DEPTH)),
    )


def to_json(tree: Any) -> bytes:
    """Returns JSON, with ``NaN`` and ``Infinity`` for such numbers."""
    return json.dumps(tree, default=repr).encode()


def stored_inputs(folder: Path) -> dict[str, bytes]:
    """Returns the inputs of a corpus by name; it must not be empty."""
    found = {path.name: path.read_bytes() for path in sorted(folder.iterdir())}
    if not found:
        raise FileNotFoundError(folder)
    return found


__all__ = (
    'DEPTH',
    'MAX_UINT64',
    'MIN_INT64',
    'ODD_NUMBERS',
    'ODD_TEXTS',
    'ODD_VALUES',
    'damaged_bytes',
    'damaged_json',
    'damaged_trees',
    'fuzz_settings',
    'stored_inputs',
    'to_json',
)
