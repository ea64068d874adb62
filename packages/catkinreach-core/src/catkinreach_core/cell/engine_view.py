"""State of one engine as the owner of its cell knows it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .prefix_map import PrefixMap

if TYPE_CHECKING:
    from ..ids import RequestId, UpstreamId
    from ..settings.fleet import Upstream
    from .ramp import SlowStart

# Default times of an engine, scaled by ``EngineView.time_factor``.
PREFILL_BASE_S = 0.02
PREFILL_TOKENS_PER_S = 8000.0
TRANSFER_BASE_S = 0.005
TRANSFER_PIECES_PER_S = 200.0

SMOOTHING_GAIN = 0.2
"""Weight of a new sample in the averages of measured times."""

MIN_TIME_FACTOR = 0.05
MAX_TIME_FACTOR = 20.0


class Health(Enum):
    """Whether an engine answers."""

    UP = 'up'
    DOWN = 'down'


@dataclass(slots=True)
class Occupancy:
    """Capacity that one reservation takes on one engine.

    Attributes:
        kv_pieces: Reserved KV pieces.
        work_s: Expected prefill time on a prefill engine, expected transfer
            time on a decode engine.
        is_alone: Whether the request is a crash suspect without a first
            token.
        is_working: Whether the prefill or transfer is not done yet.
    """

    kv_pieces: int
    work_s: float
    is_alone: bool = False
    is_working: bool = True


class EngineView:
    """Reservations, slow start and prefix cache of one engine.

    Attributes:
        upstream: Settings of the engine.
        ramp: Slow start of the engine.
        prefixes: Estimated contents of its prefix cache.
        health: Whether it answered its last poll or call.
        is_in_service: Whether its failure domain is in service.
        boot: Boot id that it reported last.
        time_factor: Factor from the default times of prefills and transfers
            to the measured ones.
        foreign_places: Places in use for requests that this cell did not
            reserve.
        foreign_pieces: KV pieces in use for such requests.
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
        self._occupancies: dict[RequestId, Occupancy] = {}
        self._work_s = 0.0
        self._reserved_pieces = 0
        self._alone_count = 0
        self._working_count = 0
        self._work_since_s = 0.0
        self._token_s = 0.0

    @property
    def work_since_s(self) -> float:
        """Returns when the prefill or transfer that ends next was started."""
        return self._work_since_s

    @property
    def upstream_id(self) -> UpstreamId:
        """Returns the engine's upstream id."""
        return self.upstream.upstream_id

    @property
    def occupancies(self) -> dict[RequestId, Occupancy]:
        """Returns the reserved capacity by request."""
        return self._occupancies

    @property
    def places(self) -> int:
        """Returns how many requests the engine may run at once now."""
        return self.ramp.limit(self.upstream.places)

    @property
    def used_places(self) -> int:
        """Returns the places that are reserved here or foreign."""
        return len(self._occupancies) + self.foreign_places

    @property
    def free_pieces(self) -> int:
        """Returns the KV pieces that are neither reserved here nor foreign."""
        return (
            self.upstream.kv_pieces
            - self._reserved_pieces
            - self.foreign_pieces
        )

    @property
    def working(self) -> int:
        """Returns how many reservations have work that is not done yet."""
        return self._working_count

    @property
    def load(self) -> float:
        """Returns the fraction of the places that is used."""
        return self.used_places / max(1, self.places)

    @property
    def has_suspect(self) -> bool:
        """Returns whether a crash suspect without a first token runs here."""
        return self._alone_count > 0

    @property
    def is_usable(self) -> bool:
        """Returns whether the engine is up and its domain is in service."""
        return self.is_in_service and self.health is Health.UP

    @property
    def has_free_place(self) -> bool:
        """Returns whether the engine is usable and has a free place."""
        used = len(self._occupancies) + self.foreign_places
        return (
            used < self.upstream.places
            and used < self.ramp.bound
            and self.is_usable
        )

    def wait_s(self, now_s: float) -> float:
        """Returns the expected time until all reserved work is done."""
        if not self._working_count:
            return 0.0
        mean_work_s = self._work_s / self._working_count
        elapsed_s = min(now_s - self._work_since_s, mean_work_s)
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

    def reserve(
        self, request_id: RequestId, occupancy: Occupancy, now_s: float
    ) -> None:
        """Reserves capacity for a request that has none reserved here."""
        self._occupancies[request_id] = occupancy
        self._reserved_pieces += occupancy.kv_pieces
        self._alone_count += occupancy.is_alone
        if occupancy.is_working:
            if not self._working_count:
                self._work_since_s = now_s
            self._working_count += 1
            self._work_s += occupancy.work_s

    def finish_work(self, request_id: RequestId, now_s: float) -> None:
        """Marks the work of a reservation as done; the place stays reserved."""
        occupancy = self._occupancies.get(request_id)
        if occupancy is None or not occupancy.is_working:
            return
        occupancy.is_working = False
        self._working_count -= 1
        self._work_s -= occupancy.work_s
        self._work_since_s = now_s
        if not self._working_count:
            self._work_s = 0.0

    def end_exclusive_use(self, request_id: RequestId) -> None:
        """Ends the restrictions that a suspect's reservation puts on others."""
        occupancy = self._occupancies.get(request_id)
        if occupancy is not None and occupancy.is_alone:
            occupancy.is_alone = False
            self._alone_count -= 1

    def release(self, request_id: RequestId, now_s: float) -> None:
        """Releases the capacity that a request has reserved here, if any."""
        self.finish_work(request_id, now_s)
        self.end_exclusive_use(request_id)
        occupancy = self._occupancies.pop(request_id, None)
        if occupancy is not None:
            self._reserved_pieces -= occupancy.kv_pieces

    def observe_prefill_time(
        self, expected_s: float, measured_s: float
    ) -> bool:
        """Records the time of a prefill; True if it reset the slow start."""
        if expected_s <= 0:
            return False
        ratio = measured_s / expected_s
        has_reset = self.ramp.observe_time_ratio(ratio)
        time_factor = self.time_factor * (
            1 + SMOOTHING_GAIN * (min(ratio, 4.0) - 1)
        )
        self.time_factor = min(
            MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, time_factor)
        )
        return has_reset

    def observe_token_s(self, token_s: float) -> bool:
        """Records the time per token; True if it reset the slow start."""
        if token_s <= 0:
            return False
        usual_s = self._token_s or token_s
        self._token_s = usual_s + SMOOTHING_GAIN * (token_s - usual_s)
        return self.ramp.observe_time_ratio(token_s / usual_s)

    def is_alone(self, request_id: RequestId) -> bool:
        """Returns whether a request is a suspect without a first token."""
        occupancy = self._occupancies.get(request_id)
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
