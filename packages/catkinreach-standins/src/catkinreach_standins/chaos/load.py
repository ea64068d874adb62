"""Mixed load of a random run: models, cancels, orders and reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..bench.background import PeriodicThread

if TYPE_CHECKING:
    from ..bench.scenario import Scenario

PERIOD_S = 0.08
ORDER_KEYS_KEPT = 40
REPEAT_SHARE = 0.5
CLAIMS = '/bee/claims'
STATUS = '/bee/status'
FLOODING = 'moon-gate'


class MixedLoad:
    """Sends one call each period; orders are often sent again."""

    def __init__(self, trial: Scenario) -> None:
        """Starts at once."""
        self._trial = trial
        self._random = type(trial.random)(trial.random.random())
        self._workspaces = sorted(trial.deployment.settings.workspaces)
        self._orders: list[tuple[str, str]] = []
        self._count = 0
        self._background = PeriodicThread(self._send, PERIOD_S)

    def stop(self) -> None:
        """Sends no more calls."""
        self._background.stop()

    def _send(self) -> None:
        self._count += 1
        draw = self._random.random()
        if draw < 0.4:  # noqa: PLR2004 - shares of the mix
            self._send_model(is_cancelled=draw < 0.08)  # noqa: PLR2004
        elif draw < 0.7:  # noqa: PLR2004
            self._send_order()
        else:
            self._trial.callers.start_read(self._port(), FLOODING, STATUS)

    def _send_model(self, *, is_cancelled: bool) -> None:
        self._trial.callers.start_completion(
            self._port(),
            self._random.choice(self._workspaces),
            [self._random.randrange(50_000) for _ in range(200)],
            max_tokens=self._random.randrange(5, 80),
            cancel_after=3 if is_cancelled else 0,
        )

    def _send_order(self) -> None:
        if self._orders and self._random.random() < REPEAT_SHARE:
            workspace, key = self._random.choice(self._orders)
        else:
            workspace = self._random.choice(self._workspaces)
            key = self._trial.idempotency_key(f'order-{self._count}')
            self._orders = [
                *self._orders[-ORDER_KEYS_KEPT:],
                (workspace, key),
            ]
        self._trial.callers.start_order(self._port(), workspace, CLAIMS, key)

    def _port(self) -> int:
        """Returns the balancer's port, or now and then that of one VM."""
        if self._random.random() < 0.5:  # noqa: PLR2004
            return self._trial.caller_port('')
        nodes = self._trial.deployment.nodes
        return self._trial.caller_port(self._random.choice(nodes).vm_id)


__all__ = ('FLOODING', 'MixedLoad')
