"""Streams that were refused, and the room that others had at that moment."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, Final, NamedTuple

from ospreyford.console.failures import NotInLogs
from ospreyford.console.pile import LogLine, Pile
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.verdicts import NotRun

#: What an entry decided by is taken for its state for so long, in seconds.
WINDOW_SECONDS: Final = 0.5
MILLISECONDS: Final = 1000
#: Stands for any number of places in a line.
UNBOUNDED: Final = -1


class Refusal(NamedTuple):
    """One refused stream.

    :param at: when, in ISO 8601, UTC.
    :param entry: that refused it.
    :param request_id: its id.
    :param group: with the most places left at that entry.
    :param waited_ms: how long it had waited there.
    :param age_ms: of the group's figures behind the refusal; -1 without any.
    :param pass_ms: mean time of the group's passes by these figures.
    :param running: streams of that entry in the group.
    :param easy: streams up to which it admitted those that could wait.
    :param full: the same for those that could wait no longer.
    :param free_elsewhere: places that other entries had left, by what they
        decided by at that moment.
    :param entries: other entries that have told.
    """

    at: str
    entry: str
    request_id: str
    group: str
    waited_ms: int
    age_ms: int
    pass_ms: int
    running: int
    easy: float
    full: float
    free_elsewhere: float
    entries: int


class _Decision(NamedTuple):
    """What an entry decided by.

    :param at: when, in seconds since the Unix epoch.
    :param line: the line that tells it.
    """

    at: float
    line: LogLine

    @property
    def gate(self) -> Any:
        """The figures of the decision."""
        return self.line.fields['gate']


def list_refusals(pile: Pile) -> list[Refusal]:
    """List the streams that were refused for want of a place.

    :param pile: lines of all entries.
    :returns: the refusals by time.
    :raises NotInLogs: no line tells of a stream.
    """
    decisions = [
        _Decision(_tell_moment(line), line)
        for line in pile.lines
        if line.kind == RequestEnded.__name__ and line.fields.get('gate')
    ]
    if not decisions:
        raise NotInLogs('decisions about streams', len(pile.lines))
    return [
        _explain(one, decisions)
        for one in sorted(decisions, key=lambda decision: decision.at)
        if one.line.fields.get('verdict') == NotRun.__name__
    ]


def _tell_moment(line: LogLine) -> float:
    """Tell when a stream was admitted or refused; its line comes at its end."""
    waited = max(line.fields.get('waited_ms', 0), 0)
    took = line.fields.get('took_ms', waited)
    if line.fields.get('verdict') == NotRun.__name__:
        return line.at
    served: float = took - waited
    return line.at - served / MILLISECONDS


def _explain(refused: _Decision, decisions: list[_Decision]) -> Refusal:
    others = _list_others(refused, decisions)
    gate = refused.gate
    fields = refused.line.fields
    return Refusal(
        at=datetime.fromtimestamp(refused.at, UTC).isoformat(
            timespec='milliseconds'
        ),
        entry=refused.line.host,
        request_id=str(fields.get('request_id', '')),
        group=gate.get('group', ''),
        waited_ms=fields.get('took_ms', 0),
        age_ms=gate.get('age_ms', -1),
        pass_ms=gate.get('pass_ms', 0),
        running=gate.get('running', 0),
        easy=gate.get('easy', 0),
        full=gate.get('full', 0),
        free_elsewhere=round(sum(map(_count_free, others)), 1),
        entries=len({one.line.host for one in others}),
    )


def _list_others(
    refused: _Decision, decisions: list[_Decision]
) -> list[_Decision]:
    """List the newest decisions near a refusal.

    :returns: one for each other entry and group.
    """
    service = refused.line.fields.get('service')
    nearest: dict[tuple[str, str], _Decision] = {}
    for one in decisions:
        host = one.line.host
        is_other = host != refused.line.host
        is_near = abs(one.at - refused.at) <= WINDOW_SECONDS
        if is_other and is_near and one.line.fields.get('service') == service:
            place = host, str(one.gate.get('group', ''))
            known = nearest.get(place, one)
            nearest[place] = max(known, one, key=lambda decision: decision.at)
    return list(nearest.values())


def _count_free(decision: _Decision) -> float:
    easy = decision.gate.get('easy', 0)
    free: float = easy - decision.gate.get('running', 0)
    return 0 if easy == UNBOUNDED else max(free, 0)
