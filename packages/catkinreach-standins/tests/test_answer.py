"""Tests of the deterministic answers and the digests of prefix blocks."""

from __future__ import annotations

import xxhash

from catkinreach_standins.answer import (
    block_digests,
    expected_answer,
    expected_token,
)


def test_answer_is_its_tokens_joined() -> None:
    prompt = [3, 1, 4]
    tokens = [expected_token(prompt, index) for index in range(5)]
    assert expected_answer(prompt, 5) == ''.join(tokens)
    assert all(token.endswith(' ') for token in tokens)


def test_answers_differ_by_prompt() -> None:
    assert expected_answer([1, 2], 20) != expected_answer([1, 3], 20)


def test_block_digests_cover_whole_prefixes() -> None:
    prompt = list(range(600))
    expected = [
        xxhash.xxh3_128_hexdigest(','.join(map(str, prompt[:end])).encode())
        for end in (256, 512)
    ]
    assert list(block_digests(prompt)) == expected
