"""Writes one message of each kind between VMs, as a build encodes it.

    python tools/write_message_corpus.py --build=LANDING --core=FOLDER

``FOLDER`` is ``packages/catkinreach-core/src`` of a checkout of that build. The
tests decode the messages of all landings without git; each landing adds its
own.
"""

from __future__ import annotations

import argparse
import importlib
import sys
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

CORPUS = (
    Path(__file__).resolve().parent.parent
    / 'packages/catkinreach-core/tests/gateway/corpus/messages'
)
NODE = '10.0.0.1'
NODE_FIELDS = frozenset({'node', 'holder', 'host', 'members'})
TEXT = 'a'
NUMBER = 1
ENTRIES = 2
"""Entries of a list; a number may be the place of one of them."""

_SIMPLE_VALUES: dict[type[inspect.Type], Any] = {
    inspect.IntType: NUMBER,
    inspect.FloatType: float(NUMBER),
    inspect.StrType: TEXT,
    inspect.BoolType: True,
    inspect.NoneType: None,
    inspect.AnyType: TEXT,
}


def example_of(kind: inspect.Type, name: str = '') -> Any:
    """Returns a value of a type, with an entry in each collection.

    Args:
        kind: The type.
        name: Name of the field that holds the value.
    """
    match kind:
        case inspect.Metadata():
            return example_of(kind.type, name)
        case inspect.StructType():
            return kind.cls(**_example_fields(kind))
        case inspect.UnionType():
            return example_of(_first_value_type(kind), name)
        case inspect.DictType():
            return {example_of(kind.key_type): example_of(kind.value_type)}
        case inspect.EnumType():
            return next(iter(kind.cls))
        case inspect.CollectionType():
            return _example_items(kind, name)
    return NODE if name in NODE_FIELDS else _SIMPLE_VALUES[type(kind)]


def _example_items(kind: inspect.CollectionType, name: str) -> list[Any]:
    is_set = isinstance(kind, inspect.SetType | inspect.FrozenSetType)
    count = 1 if is_set else ENTRIES
    return [example_of(kind.item_type, name)] * count


def _example_fields(kind: inspect.StructType) -> dict[str, Any]:
    return {
        field.name: example_of(field.type, field.name) for field in kind.fields
    }


def _first_value_type(kind: inspect.UnionType) -> inspect.Type:
    """Returns the first type of a union that isn't ``None``."""
    return next(
        one for one in kind.types if not isinstance(one, inspect.NoneType)
    )


def write_corpus(build: str) -> None:
    """Writes the messages of the build whose packages are imported."""
    gossip = importlib.import_module('catkinreach_core.gateway.gossip')
    snapshot = importlib.import_module('catkinreach_core.gateway.snapshot')
    union = inspect.type_info(gossip.PeerDatagram)
    assert isinstance(union, inspect.UnionType)  # noqa: S101 - narrows
    kinds = [one for one in union.types if isinstance(one, inspect.StructType)]
    folder = CORPUS / build
    folder.mkdir(parents=True, exist_ok=True)
    for kind in kinds:
        data = msgspec.msgpack.encode(example_of(kind))
        (folder / f'{kind.cls.__name__}.msgpack').write_bytes(data)
    kind = inspect.type_info(snapshot.StoreSnapshot)
    data = msgspec.msgpack.encode(example_of(kind))
    (folder / 'StoreSnapshot.msgpack').write_bytes(data)


def main() -> None:
    """Reads the options and writes the messages."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--build', required=True)
    parser.add_argument('--core', required=True)
    options = parser.parse_args()
    sys.path.insert(0, options.core)
    write_corpus(options.build)


if __name__ == '__main__':
    main()
