"""What a process believed at a moment, by its own log lines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from math import inf
from types import MappingProxyType
from typing import Final, NamedTuple

from ospreyford.console.failures import BadArgument, NotInLogs
from ospreyford.console.pile import Fields, LogLine, Pile
from ospreyford.direct.crashdecisions import RequestBlocked, RequestCleared
from ospreyford.direct.decisions import (
    BackendChanged,
    CatalogInForce,
    CatalogRefused,
    RegistrationRefused,
    StoreLost,
    StoreRegained,
)
from ospreyford.direct.restoredecisions import StoreRestored, StoreSettled
from ospreyford.direct.roomdecisions import RoomClosed, RoomOpened
from ospreyford.observability.events import (
    BackendEjected,
    BackendReturned,
    ConfigurationInForce,
    DocumentRejected,
    Draining,
    ExpertMapInForce,
    GroupHalted,
    MemberChanged,
    NotReady,
    Ready,
    Started,
    Stopped,
)
from ospreyford.rebalance.decisions import (
    CoordinatorChanged,
    GroupSettled,
    MapChanged,
    RankChanged,
)
from ospreyford.settings.events import SettingsRefused, SettingsReloaded

#: Digits of a second that are shown.
SECOND_DIGITS: Final = 3
#: What all lines have; it says nothing of what is believed.
COMMON: Final = frozenset(
    (
        'level',
        'host',
        'zone',
        'timestamp',
        'task_uuid',
        'task_level',
        'message_type',
    )
)


class Subject(NamedTuple):
    """What a kind of line is about.

    :param label: the sort of thing.
    :param keys: fields that say which one.
    """

    label: str
    keys: tuple[str, ...] = ()


STORE: Final = Subject('store')
RESTORE: Final = Subject('restored store')
PROCESS: Final = Subject('process')
CATALOG: Final = Subject('catalog')
BACKEND: Final = Subject('backend', ('backend',))
#: Field that names a group.
GROUP: Final = ('group',)
ROOM: Final = Subject('room', ('service', *GROUP))
#: A later line about one thing replaces the earlier one.
SUBJECTS: Final[Mapping[str, Subject]] = MappingProxyType(
    {
        event.__name__: subject
        for event, subject in (
            (CatalogInForce, CATALOG),
            (CatalogRefused, Subject('refused catalog')),
            (ConfigurationInForce, Subject('configuration')),
            (DocumentRejected, Subject('rejected document', ('name',))),
            (BackendChanged, BACKEND),
            (BackendEjected, Subject('ejection', ('backend',))),
            (BackendReturned, Subject('ejection', ('backend',))),
            (RegistrationRefused, Subject('registration', ('backend',))),
            (RoomClosed, ROOM),
            (RoomOpened, ROOM),
            (StoreLost, STORE),
            (StoreRegained, STORE),
            (StoreRestored, RESTORE),
            (StoreSettled, RESTORE),
            (RequestBlocked, Subject('suspect', ('identity',))),
            (RequestCleared, Subject('suspect', ('identity',))),
            (Started, PROCESS),
            (Ready, PROCESS),
            (NotReady, PROCESS),
            (Draining, PROCESS),
            (Stopped, PROCESS),
            (MemberChanged, Subject('member', ('member',))),
            (ExpertMapInForce, Subject('map', GROUP)),
            (GroupHalted, Subject('map', GROUP)),
            (MapChanged, Subject('map', GROUP)),
            (GroupSettled, Subject('settling', GROUP)),
            (CoordinatorChanged, Subject('coordinator', GROUP)),
            (RankChanged, Subject('rank', ('group', 'rank'))),
            (SettingsReloaded, Subject('settings')),
            (SettingsRefused, Subject('refused settings')),
        )
    }
)


class Belief(NamedTuple):
    """One thing that a process believed.

    :param about: what.
    :param kind: of the line that said so.
    :param believed: the line's own fields.
    :param age_seconds: since that line.
    """

    about: str
    kind: str
    believed: str
    age_seconds: float


def list_beliefs(
    lines: Iterable[LogLine], host: str, moment: float
) -> list[Belief]:
    """List what a process believed at a moment.

    :param lines: by time.
    :param host: the process's host, as its lines name it.
    :param moment: seconds since the Unix epoch; that moment's lines count.
    :returns: the latest line about each thing since the process started,
        those that are not log lines of beliefs left out.
    """
    latest: dict[str, LogLine] = {}
    for line in lines:
        if line.host != host or line.at > moment:
            continue
        about = name_subject(line)
        if about is None:
            continue
        if line.kind == Started.__name__:
            # A new process knows nothing of what the old one believed.
            latest.clear()
        latest[about] = line
    return [
        make_belief(about, last, moment)
        for about, last in sorted(latest.items())
    ]


def tell_beliefs(pile: Pile, host: str, at: str) -> list[Belief]:
    """Tell what a process believed.

    :param pile: lines, also of other hosts.
    :param host: the process's host.
    :param at: the moment as the operator wrote it; empty for the last line's.
    :returns: its beliefs.
    :raises BadArgument: the moment cannot be read.
    :raises NotInLogs: no line of the host is of a belief at that moment.
    """
    moment = parse_moment(at) if at else inf
    known = [
        line for line in pile.lines if line.host == host and line.at <= moment
    ]
    if known and not at:
        moment = known[-1].at
    beliefs = list_beliefs(known, host, moment)
    if not beliefs:
        raise NotInLogs(f'host {host}', len(pile.lines))
    return beliefs


def parse_moment(text: str) -> float:
    """Read a moment as an operator writes it.

    :param text: seconds since the Unix epoch, or ISO 8601; without a time
        zone it is UTC, as the lines' own moments are.
    :returns: seconds since the Unix epoch.
    :raises BadArgument: it is neither.
    """
    try:
        return float(text)
    except ValueError:
        return _parse_date(text)


def make_belief(about: str, line: LogLine, moment: float) -> Belief:
    """Tell a line as a belief.

    :param about: what it is about.
    :param line: the line.
    :param moment: when it was believed, in seconds since the Unix epoch.
    :returns: the belief.
    """
    age = round(moment - line.at, SECOND_DIGITS)
    return Belief(about, line.kind, show_fields(line.fields), age)


def name_subject(line: LogLine) -> str | None:
    """Name what a line is about.

    :param line: the line.
    :returns: the name, or ``None`` for lines that change no belief.
    """
    subject = SUBJECTS.get(line.kind)
    if subject is None:
        return None
    names = [str(line.fields.get(key, '')) for key in subject.keys]
    return ' '.join([subject.label, *names])


def show_fields(fields: Fields) -> str:
    """Show a line's own fields.

    :param fields: all of the line.
    :returns: ``name=value``, divided by blanks.
    """
    own = list_own(fields)
    return ' '.join(f'{name}={shown}' for name, shown in own.items())


def list_own(fields: Fields, *others: str) -> dict[str, str]:
    """List a line's own fields.

    :param fields: all of the line.
    :param others: names of fields to leave out as well.
    :returns: texts by name.
    """
    return {
        name: str(shown)
        for name, shown in fields.items()
        if name not in COMMON and name not in others
    }


def _parse_date(text: str) -> float:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        allowed = 'seconds since the Unix epoch or ISO 8601'
        raise BadArgument('--at', text, allowed) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()
