"""Parsing of completion requests and encoding of their answers."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.errors import CatkinreachError, ErrorKind

if TYPE_CHECKING:
    from catkinreach_core.ids import RequestId
    from catkinreach_core.tokens import Tokenizer

DEFAULT_MAX_TOKENS = 256
LARGEST_MAX_TOKENS = 8192
_DONE = b'data: [DONE]\n\n'


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of a chat or text completion; unknown members are ignored."""

    model: str = ''
    messages: tuple[ChatMessage, ...] = ()
    prompt: str | tuple[int, ...] = ''
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Completion:
    """A validated completion request.

    Attributes:
        prompt: Token ids of the prompt.
        max_tokens: Largest number of tokens in the answer.
        model: Model name, passed to the engines as received.
        is_streamed: Whether the answer is sent as server-sent events.
        is_chat: Whether the answer has the format of a chat completion.
    """

    prompt: tuple[int, ...]
    max_tokens: int
    model: str
    is_streamed: bool
    is_chat: bool


def parse_completion(body: bytes, tokenizer: Tokenizer) -> Completion:
    """Parses and validates the body of a completion request.

    Raises:
        CatkinreachError: ``BAD_REQUEST`` with a detail for the caller.
    """
    try:
        parsed = decode_json(body, CompletionBody)
    except DocumentError as error:
        raise CatkinreachError(ErrorKind.BAD_REQUEST, str(error)) from error
    if not 1 <= parsed.max_tokens <= LARGEST_MAX_TOKENS:
        raise CatkinreachError(
            ErrorKind.BAD_REQUEST,
            f'max_tokens must lie between 1 and {LARGEST_MAX_TOKENS}',
        )
    prompt = _encode_prompt(parsed, tokenizer)
    if not prompt:
        raise CatkinreachError(ErrorKind.BAD_REQUEST, 'prompt is empty')
    return Completion(
        prompt=prompt,
        max_tokens=parsed.max_tokens,
        model=parsed.model,
        is_streamed=parsed.stream,
        is_chat=bool(parsed.messages),
    )


def _encode_prompt(
    parsed: CompletionBody, tokenizer: Tokenizer
) -> tuple[int, ...]:
    if parsed.messages:
        return tokenizer.encode(
            '\n'.join(
                f'{message.role}: {message.content}'
                for message in parsed.messages
            )
        )
    if isinstance(parsed.prompt, str):
        return tokenizer.encode(parsed.prompt)
    return parsed.prompt


class AnswerFormat:
    """Encodes an answer as chat or text completion, streamed or whole."""

    def __init__(self, request_id: RequestId, completion: Completion) -> None:
        """Encodes the members that are the same in every chunk."""
        self._request_id = request_id
        self._completion = completion
        self._created = int(time.time())
        head = {
            'id': f'cmpl-{request_id}',
            'object': self._object_name(is_chunk=True),
            'created': self._created,
            'model': completion.model,
        }
        self._chunk_head = msgspec.json.encode(head)[:-1]

    def token_event(self, token: str) -> bytes:
        """Returns the server-sent event with one token."""
        token_json = msgspec.json.encode(token)
        if self._completion.is_chat:
            return (
                b'data: %b,"choices":[{"index":0,"delta":{"content":%b}}]}\n\n'
                % (self._chunk_head, token_json)
            )
        return b'data: %b,"choices":[{"index":0,"text":%b}]}\n\n' % (
            self._chunk_head,
            token_json,
        )

    def end_events(self, finish_reason: str) -> bytes:
        """Returns the server-sent events that end a complete answer."""
        reason_json = msgspec.json.encode(finish_reason)
        return (
            b'data: %b,"choices":[{"index":0,"delta":{},'
            b'"finish_reason":%b}]}\n\n' % (self._chunk_head, reason_json)
        ) + _DONE

    def error_event(self, document: dict[str, str | int]) -> bytes:
        """Returns the server-sent event that reports an incomplete answer."""
        return b'event: error\ndata: %b\n\n' % msgspec.json.encode(document)

    def whole_document(
        self, tokens: list[str], finish_reason: str
    ) -> dict[str, object]:
        """Returns the JSON document of an answer that is not streamed."""
        text = ''.join(tokens)
        choice: dict[str, object] = {'index': 0, 'finish_reason': finish_reason}
        if self._completion.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return {
            'id': f'cmpl-{self._request_id}',
            'object': self._object_name(is_chunk=False),
            'created': self._created,
            'model': self._completion.model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': len(self._completion.prompt),
                'completion_tokens': len(tokens),
                'total_tokens': len(self._completion.prompt) + len(tokens),
            },
        }

    def _object_name(self, *, is_chunk: bool) -> str:
        if not self._completion.is_chat:
            return 'text_completion'
        return 'chat.completion.chunk' if is_chunk else 'chat.completion'


__all__ = ('AnswerFormat', 'Completion', 'parse_completion')
