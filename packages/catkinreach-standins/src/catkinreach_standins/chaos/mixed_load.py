"""Mixed load of a chaos run: completions, orders and reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..bench.background import PeriodicThread

if TYPE_CHECKING:
    from ..bench.scenario import Scenario

SEND_PERIOD_S = 0.08
MAX_RECENT_ORDERS = 40
ORDER_RESEND_SHARE = 0.5
CLAIMS_PATH = '/bee/claims'
STATUS_PATH = '/bee/status'
READING_WORKSPACE = 'moon-gate'


class MixedLoad:
    """Sends calls of random kinds at a fixed period.

    Of the calls 40 % are completions, of which one in five is cancelled, 30 %
    are orders and 30 % reads. Half of the orders resend a recent order.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Starts to send calls on a thread."""
        self._scenario = scenario
        self._random = type(scenario.random)(scenario.random.random())
        self._workspaces = sorted(scenario.deployment.settings.workspaces)
        self._recent_orders: list[tuple[str, str]] = []
        self._call_count = 0
        self._thread = PeriodicThread(self._send_call, SEND_PERIOD_S)

    def stop(self) -> None:
        """Stops sending calls."""
        self._thread.stop()

    def _send_call(self) -> None:
        self._call_count += 1
        draw = self._random.random()
        if draw < 0.4:  # noqa: PLR2004 - shares of calls
            self._send_completion(is_cancelled=draw < 0.08)  # noqa: PLR2004
        elif draw < 0.7:  # noqa: PLR2004
            self._send_order()
        else:
            self._scenario.callers.start_read(
                self._draw_port(), READING_WORKSPACE, STATUS_PATH
            )

    def _send_completion(self, *, is_cancelled: bool) -> None:
        self._scenario.callers.start_completion(
            self._draw_port(),
            self._random.choice(self._workspaces),
            [self._random.randrange(50_000) for _ in range(200)],
            max_tokens=self._random.randrange(5, 80),
            cancel_after_tokens=3 if is_cancelled else 0,
        )

    def _send_order(self) -> None:
        if self._recent_orders and self._random.random() < ORDER_RESEND_SHARE:
            workspace, key = self._random.choice(self._recent_orders)
        else:
            workspace = self._random.choice(self._workspaces)
            key = self._scenario.idempotency_key(f'order-{self._call_count}')
            self._recent_orders = [
                *self._recent_orders[-MAX_RECENT_ORDERS:],
                (workspace, key),
            ]
        self._scenario.callers.start_order(
            self._draw_port(), workspace, CLAIMS_PATH, key
        )

    def _draw_port(self) -> int:
        """Returns the port of the balancer or, half of the time, of a VM."""
        if self._random.random() < 0.5:  # noqa: PLR2004
            return self._scenario.caller_port('')
        nodes = self._scenario.deployment.nodes
        return self._scenario.caller_port(self._random.choice(nodes).vm_id)


__all__ = ('READING_WORKSPACE', 'MixedLoad')
