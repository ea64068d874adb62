"""Decoding of the platform's request headers."""

from __future__ import annotations

import pytest

from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.platform.wire import PlatformDialect


@pytest.mark.parametrize(
    ('prefix', 'shared_parts'),
    [
        ('', ()),
        ('91bd3f06:410', ()),
        ('5C1e07a2:800, 91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('5c1e07a2,,e4402b7d', ('5c1e07a2',)),
    ],
)
def test_all_parts_of_a_prompt_but_the_last_are_shared(
    prefix: str, shared_parts: tuple[str, ...]
) -> None:
    request = HttpRequest('POST', '/', [('prompt-prefix', prefix)])
    metadata = PlatformDialect().read_request(request)
    assert metadata.shared_parts == shared_parts
