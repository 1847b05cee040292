"""Compact storage of a complete answer."""

from __future__ import annotations

from array import array
from itertools import accumulate, pairwise
from typing import TYPE_CHECKING

from ospreyford.wire.frame import Piece

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.wire.frame import AnswerFrame


class PackedAnswer:
    """Frames of an ended answer with the contents of its pieces joined.

    Piece boundaries are kept, so that entries can resume at any sequence
    number.

    :param frames: a head, pieces and an end frame.
    """

    __slots__ = ('_content', '_ends', '_head', '_last')

    def __init__(self, frames: Sequence[AnswerFrame]) -> None:
        self._head = frames[0]
        self._last = frames[-1]
        pieces = [one.content for one in frames if isinstance(one, Piece)]
        self._content = b''.join(pieces)
        self._ends = array('I', accumulate(map(len, pieces)))

    @property
    def size(self) -> int:
        """Size of the body, in bytes."""
        return len(self._content)

    def unpack(self) -> list[AnswerFrame]:
        """Rebuild the frames.

        :returns: frames equal to the packed ones.
        """
        execution = self._head.execution
        pieces = [
            Piece(
                execution=execution,
                sequence=sequence,
                content=self._content[start:end],
            )
            for sequence, (start, end) in enumerate(
                pairwise((0, *self._ends)), 1
            )
        ]
        return [self._head, *pieces, self._last]
