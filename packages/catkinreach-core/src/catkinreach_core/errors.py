"""Error kinds of the router and the HTTP response of each kind."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class Outcome(Enum):
    """Whether a request that got an error response was executed."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RUN = 'run'


class ErrorKind(Enum):
    """Reasons why a request or a command is refused or fails.

    The value is the ``code`` member of the problem document.
    """

    BAD_REQUEST = 'bad-request'
    KEY_MISSING = 'key-missing'
    KEY_REFUSED = 'key-refused'
    ROUTE_UNKNOWN = 'route-unknown'
    METHOD_REFUSED = 'method-refused'
    TOO_LARGE = 'too-large'
    TOO_SLOW = 'too-slow'
    IDEMPOTENCY_KEY_MISSING = 'idempotency-key-missing'
    IDEMPOTENCY_KEY_REUSED = 'idempotency-key-reused'
    IDEMPOTENCY_KEY_EXPIRED = 'idempotency-key-expired'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    RATE_LIMITED = 'rate-limited'
    QUEUE_FULL = 'queue-full'
    DEADLINE_UNREACHABLE = 'deadline-unreachable'
    QUEUE_TIMEOUT = 'queue-timeout'
    NO_UPSTREAM = 'no-upstream'
    DEPENDENCY_OUT = 'dependency-out'
    UPSTREAM_FAILED = 'upstream-failed'
    UPSTREAM_TIMEOUT = 'upstream-timeout'
    REQUEST_QUARANTINED = 'request-quarantined'
    NO_OWNER = 'no-owner'
    CONFIG_MISSING = 'config-missing'
    CONFIG_STALE = 'config-stale'
    DRAINING = 'draining'
    CONNECTIONS_FULL = 'connections-full'
    MEMORY_FULL = 'memory-full'
    PEER_PROTOCOL = 'peer-protocol'
    SETTINGS_INVALID = 'settings-invalid'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response of an error kind.

    Attributes:
        status: HTTP status code.
        outcome: Default outcome, for errors that don't set their own.
        retry_after_s: Default of the ``Retry-After`` header in whole seconds;
            ``None`` if retrying the same request is of no use.
        title: One-line summary for people.
    """

    status: int
    outcome: Outcome
    retry_after_s: int | None
    title: str


_NOT_RUN: Final = Outcome.NOT_RUN

ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, _NOT_RUN, None, 'The request is malformed.'
    ),
    ErrorKind.KEY_MISSING: ErrorResponse(
        401, _NOT_RUN, None, 'The route needs a bearer key.'
    ),
    ErrorKind.KEY_REFUSED: ErrorResponse(
        401, _NOT_RUN, None, 'The key is not in force.'
    ),
    ErrorKind.ROUTE_UNKNOWN: ErrorResponse(
        404, _NOT_RUN, None, 'No route matches the path.'
    ),
    ErrorKind.METHOD_REFUSED: ErrorResponse(
        405, _NOT_RUN, None, 'The route does not take this method.'
    ),
    ErrorKind.TOO_LARGE: ErrorResponse(
        413, _NOT_RUN, None, 'The request exceeds a size bound.'
    ),
    ErrorKind.TOO_SLOW: ErrorResponse(
        408, _NOT_RUN, None, 'The request did not arrive in time.'
    ),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: ErrorResponse(
        400, _NOT_RUN, None, 'The route needs an Idempotency-Key.'
    ),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422,
        _NOT_RUN,
        None,
        'The Idempotency-Key was used with another request.',
    ),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: ErrorResponse(
        409,
        Outcome.UNKNOWN,
        None,
        'The Idempotency-Key is older than the resend window.',
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        409,
        Outcome.UNKNOWN,
        None,
        'Whether the request ran is not known.',
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(
        429, _NOT_RUN, 1, 'The workspace exceeds its rate.'
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(429, _NOT_RUN, 1, 'The queue is full.'),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, _NOT_RUN, 1, 'The latency target cannot be met now.'
    ),
    ErrorKind.QUEUE_TIMEOUT: ErrorResponse(
        503, _NOT_RUN, 1, 'The request waited too long in the queue.'
    ),
    ErrorKind.NO_UPSTREAM: ErrorResponse(
        503, _NOT_RUN, 1, 'No upstream can take the request.'
    ),
    ErrorKind.DEPENDENCY_OUT: ErrorResponse(
        503,
        _NOT_RUN,
        5,
        'A service this one depends on is out.',
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(
        502, Outcome.UNKNOWN, None, 'The upstream failed.'
    ),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(
        504, Outcome.UNKNOWN, None, 'The upstream did not answer in time.'
    ),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(
        422, _NOT_RUN, None, 'The request crashed upstreams before.'
    ),
    ErrorKind.NO_OWNER: ErrorResponse(
        503, _NOT_RUN, 2, 'No node owns the decision at the moment.'
    ),
    ErrorKind.CONFIG_MISSING: ErrorResponse(
        503, _NOT_RUN, 2, 'No configuration has been accepted yet.'
    ),
    ErrorKind.CONFIG_STALE: ErrorResponse(
        503, _NOT_RUN, 5, 'The configuration could not be confirmed.'
    ),
    ErrorKind.DRAINING: ErrorResponse(
        503, _NOT_RUN, 1, 'The node is draining.'
    ),
    ErrorKind.CONNECTIONS_FULL: ErrorResponse(
        503, _NOT_RUN, 1, 'The node has too many connections.'
    ),
    ErrorKind.MEMORY_FULL: ErrorResponse(
        503, _NOT_RUN, 1, 'The node has no memory for the body.'
    ),
    ErrorKind.PEER_PROTOCOL: ErrorResponse(
        502, Outcome.UNKNOWN, None, 'A peer sent a malformed message.'
    ),
    ErrorKind.SETTINGS_INVALID: ErrorResponse(
        500, _NOT_RUN, None, 'The settings have faults.'
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, Outcome.UNKNOWN, None, 'An internal error occurred.'
    ),
}
"""Response by error kind; every kind has exactly one entry."""


class CatkinreachError(Exception):
    """Error that is reported to a caller, an operator or a peer node.

    Attributes:
        kind: Kind of the error.
        detail: Sentence for the caller or operator; holds no secret.
        outcome: Whether the request was executed; ``ERROR_RESPONSES`` has the
            default.
        retry_after_s: Delay in seconds after which the caller may retry;
            ``ERROR_RESPONSES`` has the default.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        *,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Creates the error; an empty detail becomes the title of the kind."""
        self.kind = kind
        self.detail = detail or ERROR_RESPONSES[kind].title
        self.outcome = outcome or ERROR_RESPONSES[kind].outcome
        self.retry_after_s = retry_after_s
        if retry_after_s is None:
            self.retry_after_s = ERROR_RESPONSES[kind].retry_after_s
        super().__init__(f'{kind.value}: {self.detail}')


__all__ = (
    'ERROR_RESPONSES',
    'CatkinreachError',
    'ErrorKind',
    'ErrorResponse',
    'Outcome',
)
