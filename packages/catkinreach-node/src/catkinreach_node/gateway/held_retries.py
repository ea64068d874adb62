"""Retries that one request holds of the budget which all nodes share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinreach_core.ids import ServiceId

    from .node import Node


class HeldRetries:
    """Holds retries until they are spent or given back."""

    def __init__(self, node: Node, service_id: ServiceId) -> None:
        """Starts without retries."""
        self._node = node
        self._service_id = service_id
        self._count = 0
        self._spent_s: list[float] = []

    @property
    def count(self) -> int:
        """Returns the number of retries that are held."""
        return self._count

    @property
    def spent(self) -> int:
        """Returns the number of retries that were spent."""
        return len(self._spent_s)

    def try_hold(self, count: int) -> bool:
        """Returns whether so many are held; holds what the budget has."""
        node = self._node
        while self._count < count:
            if not node.retry_budget.hold(
                self._service_id, node.members.share_count, node.clock()
            ):
                return False
            self._count += 1
        return True

    def spend(self) -> None:
        """Spends one of them."""
        now_s = self._node.clock()
        self._count -= 1
        self._spent_s.append(now_s)
        self._node.retry_budget.spend_held(self._service_id, now_s)

    def take_back(self) -> None:
        """Holds one again that was spent on a send which didn't connect."""
        self._count += 1
        self._node.retry_budget.hold_again(
            self._service_id, self._spent_s.pop()
        )

    def release(self) -> None:
        """Gives back those that are held."""
        held, self._count = self._count, 0
        if held:
            self._node.retry_budget.release(self._service_id, held)


__all__ = ('HeldRetries',)
