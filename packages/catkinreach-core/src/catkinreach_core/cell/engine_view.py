"""State of one engine as the owner of its cell sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .prefix_map import PrefixMap

if TYPE_CHECKING:
    from ..ids import RequestId, UpstreamId
    from ..settings.fleet import Upstream
    from .ramp import SlowStart

PREFILL_BASE_S = 0.02
PREFILL_TOKENS_PER_S = 8000.0
TRANSFER_BASE_S = 0.005
TRANSFER_PIECES_PER_S = 200.0
SMOOTHING_GAIN = 0.2
MIN_TIME_FACTOR = 0.05
MAX_TIME_FACTOR = 20.0


class Health(Enum):
    """Whether an engine answers."""

    UP = 'up'
    DOWN = 'down'


@dataclass(slots=True)
class Occupancy:
    """Capacity that one reservation takes on one engine."""

    kv_pieces: int
    work_s: float
    is_alone: bool = False
    is_working: bool = True


class EngineView:
    """Reservations, pace, ramp and cache of one engine.

    ``work_s`` of an occupancy is prefill time on a prefill engine and link
    time on a decode engine; it counts until the work is reported as done.
    """

    def __init__(self, upstream: Upstream, ramp: SlowStart) -> None:
        """Starts idle, cold and in service."""
        self.upstream = upstream
        self.ramp = ramp
        self.prefixes = PrefixMap()
        self.health = Health.UP
        self.is_in_service = True
        self.boot = ''
        self.time_factor = 1.0
        self.foreign_places = 0
        self.foreign_pieces = 0
        self._held: dict[RequestId, Occupancy] = {}
        self._work_s = 0.0
        self._pieces = 0
        self._alone = 0
        self._working = 0
        self._work_since_s = 0.0
        self._token_s = 0.0

    @property
    def work_since_s(self) -> float:
        """Returns when the work that ends next was started."""
        return self._work_since_s

    @property
    def upstream_id(self) -> UpstreamId:
        """Returns the engine's name."""
        return self.upstream.upstream_id

    @property
    def held(self) -> dict[RequestId, Occupancy]:
        """Returns the reserved capacity by request."""
        return self._held

    @property
    def places(self) -> int:
        """Returns the requests that it may run at once now."""
        return self.ramp.limit(self.upstream.places)

    @property
    def used_places(self) -> int:
        """Returns the places that are reserved or used by others."""
        return len(self._held) + self.foreign_places

    @property
    def free_pieces(self) -> int:
        """Returns the KV pieces that aren't reserved or used by others."""
        return self.upstream.kv_pieces - self._pieces - self.foreign_pieces

    @property
    def working(self) -> int:
        """Returns the reservations whose work is not done yet."""
        return self._working

    @property
    def load(self) -> float:
        """Returns the used share of the places."""
        return self.used_places / max(1, self.places)

    @property
    def has_suspect(self) -> bool:
        """Returns whether a crash suspect without a first token runs here."""
        return self._alone > 0

    @property
    def is_usable(self) -> bool:
        """Returns whether it answers and its failure domain is in service."""
        return self.is_in_service and self.health is Health.UP

    @property
    def has_place(self) -> bool:
        """Returns whether it is usable and a place is free."""
        used = len(self._held) + self.foreign_places
        return (
            used < self.upstream.places
            and used < self.ramp.bound
            and self.is_usable
        )

    def wait_s(self, now_s: float) -> float:
        """Returns the time until the reserved work is done."""
        if not self._working:
            return 0.0
        head_s = self._work_s / self._working
        elapsed_s = min(now_s - self._work_since_s, head_s)
        return max(0.0, self._work_s - elapsed_s)

    def prefill_s(self, uncached_tokens: int) -> float:
        """Returns the expected time of a prefill."""
        return self.time_factor * (
            PREFILL_BASE_S + uncached_tokens / PREFILL_TOKENS_PER_S
        )

    def transfer_s(self, kv_pieces: int) -> float:
        """Returns the expected time of a transfer to this engine."""
        return self.time_factor * (
            TRANSFER_BASE_S + kv_pieces / TRANSFER_PIECES_PER_S
        )

    def hold(
        self, request_id: RequestId, occupancy: Occupancy, now_s: float
    ) -> None:
        """Reserves a place for a request that has none here."""
        self._held[request_id] = occupancy
        self._pieces += occupancy.kv_pieces
        self._alone += occupancy.is_alone
        if occupancy.is_working:
            if not self._working:
                self._work_since_s = now_s
            self._working += 1
            self._work_s += occupancy.work_s

    def finish_work(self, request_id: RequestId, now_s: float) -> None:
        """Marks the work of a reservation as done; the place stays reserved."""
        occupancy = self._held.get(request_id)
        if occupancy is None or not occupancy.is_working:
            return
        occupancy.is_working = False
        self._working -= 1
        self._work_s -= occupancy.work_s
        self._work_since_s = now_s
        if not self._working:
            self._work_s = 0.0

    def end_exclusive_use(self, request_id: RequestId) -> None:
        """Lets other suspects share the engine with a reservation."""
        occupancy = self._held.get(request_id)
        if occupancy is not None and occupancy.is_alone:
            occupancy.is_alone = False
            self._alone -= 1

    def free(self, request_id: RequestId, now_s: float) -> None:
        """Releases all that a request has reserved here, if anything."""
        self.finish_work(request_id, now_s)
        self.end_exclusive_use(request_id)
        occupancy = self._held.pop(request_id, None)
        if occupancy is not None:
            self._pieces -= occupancy.kv_pieces

    def observe_work_time(self, expected_s: float, measured_s: float) -> bool:
        """Records a measured time; True if it restarted the slow start."""
        if expected_s <= 0:
            return False
        ratio = measured_s / expected_s
        has_turned = self.ramp.observe(ratio)
        time_factor = self.time_factor * (
            1 + SMOOTHING_GAIN * (min(ratio, 4.0) - 1)
        )
        self.time_factor = min(
            MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, time_factor)
        )
        return has_turned

    def observe_token_s(self, token_s: float) -> bool:
        """Records a mean token time; True if it restarted the slow start."""
        if token_s <= 0:
            return False
        usual_s = self._token_s or token_s
        self._token_s = usual_s + SMOOTHING_GAIN * (token_s - usual_s)
        return self.ramp.observe(token_s / usual_s)

    def is_alone(self, request_id: RequestId) -> bool:
        """Returns whether a request is a suspect without a first token."""
        occupancy = self._held.get(request_id)
        return occupancy is not None and occupancy.is_alone

    def update_boot(self, boot: str) -> bool:
        """Stores the engine's boot id; True if the engine has restarted."""
        if not boot or boot == self.boot:
            return False
        is_restart = bool(self.boot)
        self.boot = boot
        if is_restart:
            self.ramp.reset()
            self.prefixes.clear()
        return is_restart


__all__ = ('EngineView', 'Health', 'Occupancy')
