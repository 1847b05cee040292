"""How much each change of state matters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from ospreyford.observability.events import (
    BackendEjected,
    DocumentRejected,
    GroupHalted,
    LinesDropped,
    NotReady,
    PauseNoticed,
    Stopped,
)
from ospreyford.observability.loopwatch import LoopDelayed
from ospreyford.rebalance.decisions import OrderRefused, TermFenced
from ospreyford.security.events import SecretRefused

if TYPE_CHECKING:
    from ospreyford.observability.loggedevents import LoggedEvent

Level = Literal['info', 'warning', 'error']

#: The levels, lowest first.
ORDER: tuple[Level, ...] = ('info', 'warning', 'error')

_WARNINGS = (
    NotReady,
    DocumentRejected,
    BackendEjected,
    PauseNoticed,
    LoopDelayed,
    LinesDropped,
    SecretRefused,
    OrderRefused,
    TermFenced,
)


def find_level(event: LoggedEvent) -> Level:
    """Tell how much a change of state matters.

    :param event: the change.
    :returns: its level; a stop that cut work is an error.
    """
    match event:
        case Stopped(cut=cut) if cut:
            return 'error'
        case GroupHalted():
            return 'error'
        case _ if isinstance(event, _WARNINGS):
            return 'warning'
        case _:
            return 'info'


def reaches(level: Level, lowest: Level) -> bool:
    """Compare two levels.

    :param level: an event's.
    :param lowest: the lowest that is wanted.
    :returns: whether the event is wanted.
    """
    return ORDER.index(level) >= ORDER.index(lowest)
