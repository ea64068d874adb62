"""The graceful stop of a gateway process, from its signal to its end."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from catkinreach_core.gateway.departure import Departures
from catkinreach_core.gateway.stage_plan import RESIDENCE_S

from .stop_limit import StopLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.members import Members

    from .settings import GatewaySettings

LINGER_S = 2.5
"""Time after a stop signal for which callers may still connect at any rate."""

STREAMS_S = 2.5
"""Time after a stop signal in which streams may begin."""

RETRY_DELAY_S = 0.25
"""Time after which refused callers may come back to another VM."""

RETURN_DELAY_S = 2.0
"""The same while too few VMs run: the first ones that stopped must be back."""

MS_PER_S = 1000


class Shutdown:
    """State of the stop, and what it lets the process still do.

    Attributes:
        departures: The VMs that take new connections beside this one.
        limit: Time limit of everything that runs.
        is_begun: Whether the stop signal has come.
        answer_until_s: Time by which all requests must be answered.
        streams_until_s: Time after which no stream may begin.
        ends_unix_ms: Announced end of the process by the time of day; 0
            before the stop.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        members: Members,
        clock: Callable[[], float],
    ) -> None:
        """Starts before the stop, without limits."""
        self.departures = Departures(settings.host, settings.domain_id)
        self.limit = StopLimit()
        self.is_begun = False
        self.answer_until_s = math.inf
        self.streams_until_s = math.inf
        self.ends_unix_ms = 0
        self._members = members
        self._clock = clock

    @property
    def retry_delay_s(self) -> float:
        """Returns the time after which a refused caller may come back."""
        began_after_s = self._clock() + RETRY_DELAY_S - STREAMS_S
        if self.departures.serves_elsewhere(
            self._responsive_peers(), began_after_s
        ):
            return RETRY_DELAY_S
        return RETURN_DELAY_S

    def begin(self, answer_within_s: float) -> None:
        """Starts the stop; all requests must be answered in this time.

        Streams that may not end in it must not begin.
        """
        now_s = self._clock()
        self.is_begun = True
        self.answer_until_s = now_s + answer_within_s
        self.streams_until_s = min(
            now_s + STREAMS_S,
            self.answer_until_s - min(RESIDENCE_S, answer_within_s / 2),
        )
        self.ends_unix_ms = int((time.time() + answer_within_s) * MS_PER_S)
        self.limit.begin(answer_within_s)

    @property
    def is_needed(self) -> bool:
        """Returns whether this VM must go on to take new connections."""
        return self.departures.is_needed(
            self.ends_unix_ms, self._responsive_peers()
        )

    def _responsive_peers(self) -> tuple[str, ...]:
        return self._members.responsive(self._clock())


__all__ = ('LINGER_S', 'Shutdown')
