"""A caller's body that nests too deeply, or has numbers out of range."""

from __future__ import annotations

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.tokens import WordTokenizer
from catkinreach_node.session.completion import parse_completion

DEEP = '[' * 2_000 + ']' * 2_000
LONG = '9' * 400


# The caller got 500, or every engine got the number.
@pytest.mark.parametrize(
    'body',
    [
        f'{{"prompt":"a","x":{DEEP}}}',
        f'{{"prompt":{DEEP}}}',
        f'{{"prompt":[1,{LONG}]}}',
        f'{{"prompt":[{2**31}]}}',
        f'{{"prompt":[{-(2**31)}]}}',
        f'{{"prompt":[1,-{LONG}]}}',
        f'{{"prompt":"a","max_tokens":{LONG}}}',
        f'{{"prompt":"a","max_tokens":{"9" * 5_000}}}',
        '{"prompt":"a","max_tokens":1e999}',
        '{"prompt":"a","max_tokens":-1}',
        '{"prompt":"a","max_tokens":true}',
    ],
)
def test_odd_body_is_taken(body: str) -> None:
    with pytest.raises(CatkinreachError) as caught:
        parse_completion(body.encode(), WordTokenizer())
    assert caught.value.kind is ErrorKind.BAD_REQUEST


# Engines know special tokens below 0.
def test_token_id_within_the_range_is_refused() -> None:
    body = f'{{"prompt":[-666,0,{2**31 - 1}]}}'.encode()
    completion = parse_completion(body, WordTokenizer())
    assert completion.prompt == (-666, 0, 2**31 - 1)
