"""One request's way through the system, told from the logs of all hosts."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Final, NamedTuple

from ospreyford.console.beliefs import (
    BACKEND,
    CATALOG,
    PROCESS,
    SECOND_DIGITS,
    STORE,
    Belief,
    list_beliefs,
    list_own,
    name_subject,
    show_fields,
)
from ospreyford.console.failures import NotInLogs
from ospreyford.console.pile import LogLine, Pile
from ospreyford.direct.decisions import (
    RequestDenied,
    RequestEnded,
    StreamMoved,
)
from ospreyford.observability.events import LinesDropped
from ospreyford.observability.supervision import TaskFailed
from ospreyford.rebalance.decisions import (
    CoordinatorChanged,
    GroupSettled,
    MapChanged,
    RankChanged,
)

MILLISECONDS: Final = 1000
#: The field with the sendings, shown as rows of their own.
SENDINGS: Final = 'attempts'
#: A sending in the logs: backend server, milliseconds, outcome.
SENDING_WORDS: Final = 3
#: Lines shown of what went on meanwhile, the first ones: an hour's stream
#: would otherwise bring all that the agents did in that hour.
MOST_MEANWHILE: Final = 40
#: What agents do to a group while a stream runs in it.
GROUP_KINDS: Final = frozenset(
    event.__name__
    for event in (CoordinatorChanged, GroupSettled, MapChanged, RankChanged)
)
#: What an entry's choice rests on, besides the backend servers it chose.
GROUNDS: Final = frozenset(
    subject.label for subject in (CATALOG, PROCESS, STORE)
)


class Sending(NamedTuple):
    """One sending of the request to a backend server.

    :param backend: the backend server.
    :param after_ms: since the request was read.
    :param outcome: what came of it.
    :param believed: what the entry last knew of the backend server.
    :param age_seconds: how long it had known that, or -1.
    """

    backend: str
    after_ms: str
    outcome: str
    believed: str
    age_seconds: float


class Meanwhile(NamedTuple):
    """A line of the time in which the request ran.

    :param after_ms: since the request was read, by the clock of its host.
    :param host: whose line it is.
    :param kind: of the line.
    :param said: its fields.
    """

    after_ms: int
    host: str
    kind: str
    said: str


class Telling(NamedTuple):
    """What one entry did with the request.

    :param entry: the entry's host.
    :param began_at: seconds since the Unix epoch, by its clock.
    :param took_ms: until its answer's end; 0 where the line does not say.
    :param outcome: kind of the line.
    :param decided: the line's own fields.
    :param sendings: to backend servers, in order.
    :param believed: what the entry's choice rested on.
    :param meanwhile: what changed while it ran.
    """

    entry: str
    began_at: float
    took_ms: int
    outcome: str
    decided: dict[str, str]
    sendings: list[Sending]
    believed: list[Belief]
    meanwhile: list[Meanwhile]


class Story(NamedTuple):
    """All that the logs say of a request.

    :param request_id: the request.
    :param tellings: one for each entry's answer, by time.
    :param unread: lines that are none of ours.
    :param dropped: hosts whose logs have gaps, with the lines lost.
    """

    request_id: str
    tellings: list[Telling]
    unread: int
    dropped: dict[str, int]


def tell_story(pile: Pile, request_id: str) -> Story:
    """Tell a request's way.

    :param pile: lines of all hosts.
    :param request_id: the request.
    :returns: the story.
    :raises NotInLogs: no line is about the request.
    """
    ends = frozenset((RequestEnded.__name__, RequestDenied.__name__))
    answers = [
        line
        for line in pile.lines
        if line.kind in ends and line.fields.get('request_id') == request_id
    ]
    if not answers:
        raise NotInLogs(f'request {request_id}', len(pile.lines))
    return Story(
        request_id=request_id,
        tellings=[_tell(pile, answer) for answer in answers],
        unread=pile.unread,
        dropped=_count_dropped(pile),
    )


def _tell(pile: Pile, answer: LogLine) -> Telling:
    took_ms = int(answer.fields.get('took_ms', 0))
    began_at = answer.at - took_ms / MILLISECONDS
    sendings = list(_list_sendings(pile, answer, began_at))
    known = list_beliefs(pile.lines, answer.host, began_at)
    meanwhile = _list_meanwhile(pile, answer, began_at)
    return Telling(
        entry=answer.host,
        began_at=round(began_at, SECOND_DIGITS),
        took_ms=took_ms,
        outcome=answer.kind,
        decided=list_own(answer.fields, SENDINGS),
        sendings=sendings,
        believed=[belief for belief in known if belief.about in GROUNDS],
        meanwhile=list(islice(meanwhile, MOST_MEANWHILE)),
    )


def _list_sendings(
    pile: Pile, answer: LogLine, began_at: float
) -> Iterator[Sending]:
    for sending in answer.fields.get(SENDINGS, ()):
        words = str(sending).split(' ', SENDING_WORDS - 1)
        backend, after_ms, outcome = [*words, '', ''][:SENDING_WORDS]
        # What was known when it was sent, not when the request came.
        moment = began_at + _read_ms(after_ms)
        belief = _find_belief(pile, answer.host, backend, moment)
        yield Sending(
            backend=backend,
            after_ms=after_ms,
            outcome=outcome,
            believed=belief.believed if belief else 'nothing',
            age_seconds=belief.age_seconds if belief else -1,
        )


def _read_ms(text: str) -> float:
    return int(text) / MILLISECONDS if text.isdecimal() else 0


def _find_belief(
    pile: Pile, host: str, backend: str, moment: float
) -> Belief | None:
    about = f'{BACKEND.label} {backend}'
    known = list_beliefs(pile.lines, host, moment)
    return next((belief for belief in known if belief.about == about), None)


def _list_meanwhile(
    pile: Pile, answer: LogLine, began_at: float
) -> Iterator[Meanwhile]:
    for line in pile.lines:
        if not began_at <= line.at <= answer.at or line is answer:
            continue
        if _concerns(line, answer):
            yield Meanwhile(
                after_ms=round((line.at - began_at) * MILLISECONDS),
                host=line.host,
                kind=line.kind,
                said=show_fields(line.fields),
            )


def _concerns(line: LogLine, answer: LogLine) -> bool:
    if line.kind == StreamMoved.__name__:
        return bool(
            line.fields.get('request_id') == answer.fields['request_id']
        )
    if line.kind == TaskFailed.__name__:
        return line.host == answer.host
    if line.kind in GROUP_KINDS:
        # Only streams run in groups; their lines say what admitted them.
        return bool(answer.fields.get('gate'))
    return line.host == answer.host and name_subject(line) is not None


def _count_dropped(pile: Pile) -> dict[str, int]:
    return {
        line.host: int(line.fields.get('dropped', 0))
        for line in pile.lines
        if line.kind == LinesDropped.__name__
    }
