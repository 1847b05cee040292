"""Requests that wait for admission, and the decision on each."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.direct.call import Call
    from ospreyford.direct.grouproom import GroupRoom


class WaitingCalls:
    """Waiting requests by number."""

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}
        self._decisions: dict[int, curio.Event] = {}
        self._refused: set[int] = set()

    def add(self, number: int, call: Call) -> None:
        """Add a request.

        :param number: of the request.
        :param call: the request.
        """
        self._calls[number] = call
        self._decisions[number] = curio.Event()

    def remove(self, number: int) -> None:
        """Remove a request that waits no longer.

        :param number: of the request.
        """
        self._calls.pop(number, None)
        self._decisions.pop(number, None)
        self._refused.discard(number)

    async def admit(self, number: int, room: GroupRoom) -> None:
        """Decide that a request is admitted.

        :param number: of the request.
        :param room: room of the group that it is admitted to.
        """
        self._calls[number].room = room
        await self._decisions[number].set()

    async def refuse(self, number: int) -> None:
        """Decide that a request is refused.

        :param number: of the request.
        """
        self._refused.add(number)
        await self._decisions[number].set()

    async def wait(self, number: int) -> None:
        """Wait for the decision on a request.

        :param number: of the request.
        """
        await self._decisions[number].wait()

    def is_admitted(self, number: int) -> bool:
        """Check whether a request has been admitted.

        :param number: of the request.
        :returns: whether the decision has been taken, and is not a refusal.
        """
        is_decided = self._decisions[number].is_set()
        return is_decided and number not in self._refused

    def list_undecided(self, is_wanted: Callable[[Call], bool]) -> list[int]:
        """List requests on which no decision has been taken.

        :param is_wanted: checks one request.
        :returns: the numbers of those that pass the check.
        """
        return [
            number
            for number, call in self._calls.items()
            if not self._decisions[number].is_set() and is_wanted(call)
        ]
