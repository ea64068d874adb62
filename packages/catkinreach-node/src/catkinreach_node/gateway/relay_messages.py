"""Messages of a VM that lets a peer pass a request on to an upstream.

The request is the upstream's own, with a header in front that names the
upstream; the reply is the upstream's, with a header in front that tells what
became of the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from catkinreach_core.ids import UpstreamId

from ..http.messages import HttpRequest, HttpResponse, end_to_end_headers

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream

    from ..http.messages import BodyStream, Headers

UPSTREAM_HEADER = 'relay-upstream'
OUTCOME_HEADER = 'relay-outcome'
MAX_START_DIGITS = 18
NO_TYPE = 'application/x-no-type'
"""Type of a relayed body whose upstream gave none."""

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
MIN_CLIENT_ERROR = 400
MIN_SERVER_ERROR = 500


class RelayAction(Enum):
    """What a peer is to do with a request."""

    SEND = 'send'
    CONNECT = 'connect'
    """Only connect to the upstream."""


class RelayOutcome(Enum):
    """What became of a request that a peer was to pass on."""

    REPLIED = 'replied'
    REACHED = 'reached'
    NO_PATH = 'no-path'
    UNREACHABLE = 'unreachable'
    NOT_LISTENING = 'not-listening'
    CLOSED = 'closed'
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class RelayTarget:
    """The incarnation of an upstream that a request is for.

    Attributes:
        action: What the peer is to do.
        upstream_id: Name of the upstream.
        started_ms: Unix time of its start in milliseconds.
    """

    action: RelayAction
    upstream_id: UpstreamId
    started_ms: int

    @classmethod
    def from_upstream(
        cls, upstream: Upstream, action: RelayAction
    ) -> RelayTarget:
        """Returns the target for an upstream."""
        return cls(action, upstream.upstream_id, upstream.started_ms)

    @classmethod
    def from_text(cls, text: str) -> RelayTarget | None:
        """Returns the target in a header; ``None`` if it is malformed."""
        action, _, rest = text.partition(' ')
        started, _, upstream_id = rest.partition(' ')
        if not started.isdecimal() or len(started) > MAX_START_DIGITS:
            return None
        try:
            known_action = RelayAction(action)
        except ValueError:
            return None
        return cls(known_action, UpstreamId(upstream_id), int(started))

    def __str__(self) -> str:
        """Returns the text of the header."""
        return f'{self.action.value} {self.started_ms} {self.upstream_id}'


def wrap_request(
    request: HttpRequest,
    upstream: Upstream,
    action: RelayAction = RelayAction.SEND,
) -> HttpRequest:
    """Returns a request for a peer to pass on to an upstream."""
    target = str(RelayTarget.from_upstream(upstream, action))
    return HttpRequest(
        request.method,
        request.target,
        [(UPSTREAM_HEADER, target), *request.headers],
        request.body,
    )


def unwrap_request(request: HttpRequest) -> HttpRequest:
    """Returns the request that the upstream gets."""
    headers = end_to_end_headers(request.headers)
    return HttpRequest(
        request.method,
        request.target,
        without_first(headers, UPSTREAM_HEADER),
        request.body,
    )


def probe_request(upstream: Upstream) -> HttpRequest:
    """Returns a request to connect to an upstream only."""
    return wrap_request(
        HttpRequest('OPTIONS', '*'), upstream, RelayAction.CONNECT
    )


def wrap_reply(
    status: int, headers: Headers, stream: BodyStream
) -> HttpResponse:
    """Returns an upstream's reply for the VM that sent the request."""
    passed_on = end_to_end_headers(headers)
    if all(name != 'content-type' for name, _ in passed_on):
        passed_on.append(('content-type', NO_TYPE))
    outcome = (OUTCOME_HEADER, RelayOutcome.REPLIED.value)
    return HttpResponse(status, [outcome, *passed_on], stream=stream)


def unwrap_reply_headers(headers: Headers) -> Headers:
    """Returns the headers that the upstream sent."""
    return [
        pair
        for pair in without_first(headers, OUTCOME_HEADER)
        if pair != ('content-type', NO_TYPE)
    ]


def outcome_response(outcome: RelayOutcome, detail: str = '') -> HttpResponse:
    """Returns the response for a request without a reply."""
    return HttpResponse(
        STATUS_OK, [(OUTCOME_HEADER, outcome.value)], detail.encode()
    )


def read_outcome(status: int, headers: Headers) -> RelayOutcome:
    """Returns what became of a request, as a peer tells.

    Without a word the request may have been passed on, unless the peer has no
    room for it, rejects it or, as an older build, knows no relays.
    """
    text = dict(reversed(headers)).get(OUTCOME_HEADER)
    if text is None and _is_rejection(status):
        return RelayOutcome.NO_PATH
    try:
        return RelayOutcome(text)
    except ValueError:
        return RelayOutcome.BROKEN


def _is_rejection(status: int) -> bool:
    """Returns whether a peer that says no more has passed nothing on."""
    is_client_error = MIN_CLIENT_ERROR <= status < MIN_SERVER_ERROR
    return is_client_error or status == STATUS_UNAVAILABLE


def without_first(headers: Headers, name: str) -> Headers:
    """Returns headers without the first one of a name."""
    names = [pair[0] for pair in headers]
    if name not in names:
        return headers
    first = names.index(name)
    return [*headers[:first], *headers[first + 1 :]]


__all__ = (
    'OUTCOME_HEADER',
    'UPSTREAM_HEADER',
    'RelayAction',
    'RelayOutcome',
    'RelayTarget',
    'outcome_response',
    'probe_request',
    'read_outcome',
    'unwrap_reply_headers',
    'unwrap_request',
    'wrap_reply',
    'wrap_request',
)
