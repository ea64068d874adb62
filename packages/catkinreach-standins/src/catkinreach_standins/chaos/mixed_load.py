"""Mixed load of a chaos run: completions, cancels, orders and reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..bench.background import PeriodicThread

if TYPE_CHECKING:
    from ..bench.scenario import Scenario

SEND_PERIOD_S = 0.08
RECENT_ORDERS = 40
RESEND_SHARE = 0.5
CLAIMS = '/bee/claims'
STATUS = '/bee/status'
READING_WORKSPACE = 'moon-gate'


class MixedLoad:
    """Sends a call per period; half of the orders resend an earlier key."""

    def __init__(self, scenario: Scenario) -> None:
        """Starts to send calls."""
        self._scenario = scenario
        self._random = type(scenario.random)(scenario.random.random())
        self._workspaces = sorted(scenario.deployment.settings.workspaces)
        self._orders: list[tuple[str, str]] = []
        self._count = 0
        self._thread = PeriodicThread(self._send, SEND_PERIOD_S)

    def stop(self) -> None:
        """Stops sending calls."""
        self._thread.stop()

    def _send(self) -> None:
        self._count += 1
        draw = self._random.random()
        if draw < 0.4:  # noqa: PLR2004 - shares of the mix
            self._send_model(is_cancelled=draw < 0.08)  # noqa: PLR2004
        elif draw < 0.7:  # noqa: PLR2004
            self._send_order()
        else:
            self._scenario.callers.start_read(
                self._port(), READING_WORKSPACE, STATUS
            )

    def _send_model(self, *, is_cancelled: bool) -> None:
        self._scenario.callers.start_completion(
            self._port(),
            self._random.choice(self._workspaces),
            [self._random.randrange(50_000) for _ in range(200)],
            max_tokens=self._random.randrange(5, 80),
            cancel_after_tokens=3 if is_cancelled else 0,
        )

    def _send_order(self) -> None:
        if self._orders and self._random.random() < RESEND_SHARE:
            workspace, key = self._random.choice(self._orders)
        else:
            workspace = self._random.choice(self._workspaces)
            key = self._scenario.idempotency_key(f'order-{self._count}')
            self._orders = [
                *self._orders[-RECENT_ORDERS:],
                (workspace, key),
            ]
        self._scenario.callers.start_order(self._port(), workspace, CLAIMS, key)

    def _port(self) -> int:
        """Returns the balancer's port, or half of the time that of a VM."""
        if self._random.random() < 0.5:  # noqa: PLR2004
            return self._scenario.caller_port('')
        nodes = self._scenario.deployment.nodes
        return self._scenario.caller_port(self._random.choice(nodes).vm_id)


__all__ = ('READING_WORKSPACE', 'MixedLoad')
