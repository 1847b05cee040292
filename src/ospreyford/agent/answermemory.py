"""Memory of the answers of running executions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.agent.execution import Execution

#: Memory of a frame beside its content.
FRAME_BYTES: Final = 200


class AnswerMemory:
    """Limits the memory of all running answers together.

    Beyond the limit the largest one is dropped: it is the likeliest never to
    end, and the others go on.

    :param limit: bytes of all answers together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        #: Bytes of all answers together.
        self.size = 0
        self._sizes: dict[Execution, int] = {}

    def add(self, execution: Execution, size: int) -> list[Execution]:
        """Count a piece of an answer.

        :param execution: the running execution.
        :param size: bytes of the piece.
        :returns: executions whose answers must be dropped.
        """
        added = size + FRAME_BYTES
        self._sizes[execution] = self._sizes.get(execution, 0) + added
        self.size += added
        dropped = []
        while self.size > self.limit:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.remove(largest)
            dropped.append(largest)
        return dropped

    def remove(self, execution: Execution) -> None:
        """Count an execution as ended.

        :param execution: the execution; may be unknown.
        """
        self.size -= self._sizes.pop(execution, 0)
