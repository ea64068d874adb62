"""JSON of callers, engines and the configuration service, odd or damaged."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.cell.blocks import block_key, prefix_blocks
from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.engine_orders.plan import EngineState
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import RequestId, UpstreamId
from catkinreach_core.placement.least_load import LeastLoadPolicy, LoadReport
from catkinreach_core.settings.node import Address
from catkinreach_core.tokens import WordTokenizer, prompt_digest
from catkinreach_node.cell.engine_poller import CacheEventsPage
from catkinreach_node.cell.orphan_sweeper import HoldingsPage
from catkinreach_node.fleet.relay import PublishedConfig, PublishedVms
from catkinreach_node.session.completion import (
    LARGEST_MAX_TOKENS,
    AnswerFormat,
    parse_completion,
)
from catkinreach_node.session.engine_answers import (
    DecodeEvent,
    EngineError,
    ImportAnswer,
    PrefillAnswer,
)
from catkinreach_node.session.engine_client import (
    _decode_answer,
    _decode_event,
    import_timeout_s,
)
from catkinreach_node.session.progress import AnswerProgress
from catkinreach_standins.fakes.fuzz_inputs import (
    DEPTH,
    damaged_json,
    fuzz_settings,
    stored_inputs,
)

CORPUS = Path(__file__).parent / 'corpus'
COMPLETIONS = CORPUS / 'completions'
ANSWERS = CORPUS / 'answers'
NESTED = b'{"x":' + b'[' * DEPTH
TOKENIZER = WordTokenizer()
CHAT = {
    'model': 'm',
    'messages': [{'role': 'user', 'content': 'a b c'}],
    'max_tokens': 5,
    'stream': True,
}
TEXT = {'model': 'm', 'prompt': [1, 2, 3], 'max_tokens': 5}
PREFILL = {
    'export_id': 'e',
    'prompt_tokens': 5,
    'cached_tokens': 1,
    'kv_pieces': 2,
    'expires_in_s': 1.5,
}
EVENT = {'index': 0, 'token': 'a', 'done': False}
END = {'done': True, 'finish': 'stop', 'completion_tokens': 0}
HOLDING = {
    'request_id': 'r',
    'holder': {'vm': 'vm-1', 'incarnation': 'i'},
    'kind': 'export',
    'kv_pieces': 2,
    'age_s': 1.0,
}
VM = {'id': 'vm-1', 'peer_address': '10.0.0.1:18001', 'failure_domain': 'z'}
DOCUMENTS: Final[dict[type[msgspec.Struct], Any]] = {
    PrefillAnswer: PREFILL,
    ImportAnswer: {'import_id': 'i', 'kv_pieces': 2},
    HoldingsPage: {'holdings': [HOLDING]},
    CacheEventsPage: {
        'events': [{'seq': 4, 'kind': 'stored', 'block': 'ab' * 16}]
    },
    LoadReport: {'running': 1, 'waiting': 2, 'places': 3},
    EngineState: {'role': 'prefill', 'versions': {'m': '1'}, 'fence': 3},
    PublishedConfig: {'revision': 3, 'text': '[x]'},
    PublishedVms: {'revision': 3, 'vms': [VM]},
}

each_document = pytest.mark.parametrize(
    'document_type', DOCUMENTS, ids=lambda one: one.__name__
)


def _check_completion(body: bytes) -> None:
    try:
        completion = parse_completion(body, TOKENIZER)
    except CatkinreachError as error:
        if error.kind is not ErrorKind.BAD_REQUEST:
            raise
        return
    assert 1 <= completion.max_tokens <= LARGEST_MAX_TOKENS
    sent = msgspec.json.encode({'prompt': completion.prompt})
    assert tuple(msgspec.json.decode(sent)['prompt']) == completion.prompt
    prefix_blocks(completion.prompt)
    prompt_digest(completion.prompt)
    answer = AnswerFormat(RequestId('r'), completion)
    answer.token_event('a')
    answer.end_events('stop')


def _check_document(body: bytes, document_type: type[msgspec.Struct]) -> None:
    try:
        document = decode_json(body, document_type)
    except DocumentError:
        return
    msgspec.json.encode(document)
    match document:
        case PrefillAnswer():
            assert 0 < import_timeout_s(document.kv_pieces) < float('inf')
        case CacheEventsPage():
            for event in document.events:
                # The poller leaves out a block that is no digest.
                with suppress(ValueError):
                    block_key(event.block)
        case LoadReport():
            LeastLoadPolicy().record_report(UpstreamId('a'), document)
        case PublishedVms():
            for vm in document.vms:
                Address.from_text(vm.peer_address)


def _check_answer(body: bytes) -> None:
    with suppress(EngineError):
        _decode_answer(body, PrefillAnswer)
    with suppress(EngineError):
        _decode_answer(body, ImportAnswer)


def _check_events(events: list[bytes]) -> None:
    progress = AnswerProgress()
    for body in events:
        try:
            event = _decode_event(b'data: ' + body)
            progress.add_event(event)
        except EngineError:
            continue
        assert isinstance(event, DecodeEvent)
        msgspec.json.encode(event)


@fuzz_settings()
@given(body=st.one_of(damaged_json(CHAT), damaged_json(TEXT)))
@example(body=NESTED)
@example(body=b'{"prompt":[' + b'9' * 30 + b']}')
@example(body=b'{"prompt":[' + b'9' * 5_000 + b']}')
def test_odd_completion_is_answered_with_an_internal_error(
    body: bytes,
) -> None:
    _check_completion(body)


@pytest.mark.parametrize(
    'document_type', DOCUMENTS, ids=lambda one: one.__name__
)
def test_odd_document_raises_or_is_out_of_range(
    document_type: type[msgspec.Struct],
) -> None:
    @fuzz_settings()
    @given(body=damaged_json(DOCUMENTS[document_type]))
    @example(body=NESTED)
    def check(body: bytes) -> None:
        _check_document(body, document_type)
        _check_answer(body)

    check()


@fuzz_settings()
@given(
    events=st.lists(
        st.one_of(damaged_json(EVENT), damaged_json(END)), max_size=4
    )
)
@example(events=[NESTED])
def test_odd_events_of_an_engine_raise_another_error(
    events: list[bytes],
) -> None:
    _check_events(events)


@pytest.mark.parametrize('name', stored_inputs(COMPLETIONS))
def test_stored_completion_fails_again(name: str) -> None:
    _check_completion(stored_inputs(COMPLETIONS)[name])


@pytest.mark.parametrize('name', stored_inputs(ANSWERS))
@pytest.mark.parametrize(
    'document_type', DOCUMENTS, ids=lambda one: one.__name__
)
def test_stored_document_fails_again(
    name: str, document_type: type[msgspec.Struct]
) -> None:
    body = stored_inputs(ANSWERS)[name]
    _check_document(body, document_type)
    _check_answer(body)
    _check_events([body])


@pytest.mark.parametrize(
    'document_type', DOCUMENTS, ids=lambda one: one.__name__
)
def test_sound_document_is_refused(
    document_type: type[msgspec.Struct],
) -> None:
    body = msgspec.json.encode(DOCUMENTS[document_type])
    assert isinstance(decode_json(body, document_type), document_type)
