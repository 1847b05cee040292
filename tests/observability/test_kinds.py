"""Lines of every kind say what they are about and what they rest on."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest

from ospreyford.direct import decisions as entry
from ospreyford.rebalance import decisions as agent
from ospreyford.settings import events as settings


class Kind(NamedTuple):
    """What a line must say.

    :param event: its type.
    :param about: which request, or which thing.
    :param grounds: deciding inputs.
    :param dated: their age, version, revision, epoch or token.
    :param outcome: what was decided or seen.
    """

    event: type
    about: str
    grounds: tuple[str, ...]
    dated: tuple[str, ...]
    outcome: str


KINDS = (
    Kind(
        entry.RequestEnded,
        'request_id',
        (
            'customer',
            'route',
            'service',
            'attempts',
            'given_ms',
            'waited_ms',
            'gate',
            'connection',
        ),
        ('version', 'age_ms'),
        'verdict',
    ),
    Kind(
        entry.RequestDenied,
        'request_id',
        ('asked_host', 'path', 'cause'),
        ('version', 'age_ms'),
        'status',
    ),
    Kind(
        entry.StreamMoved,
        'request_id',
        ('pace', 'event'),
        ('pace_age_ms',),
        'backend',
    ),
    Kind(
        entry.CatalogInForce, 'version', ('routes',), ('revision',), 'version'
    ),
    Kind(
        entry.CatalogRefused, 'revision', ('reason',), ('revision',), 'reason'
    ),
    Kind(
        entry.RegistrationRefused,
        'backend',
        ('reason',),
        ('revision',),
        'reason',
    ),
    Kind(
        entry.BackendChanged, 'backend', ('service',), ('revision',), 'change'
    ),
    Kind(entry.StoreLost, 'reason', ('reason',), ('age_ms',), 'reason'),
    Kind(entry.StoreRegained, 'revision', (), ('revision',), 'revision'),
    Kind(
        agent.CoordinatorChanged,
        'group',
        ('seconds',),
        ('token',),
        'coordinator',
    ),
    Kind(
        agent.MapChanged,
        'group',
        ('before', 'after', 'copies', 'running', 'queued', 'step'),
        ('epoch', 'version', 'age_ms'),
        'outcome',
    ),
    Kind(agent.GroupSettled, 'group', ('held', 'armed'), ('epoch',), 'outcome'),
    Kind(
        agent.OrderCarriedOut,
        'order',
        ('version', 'step'),
        ('token', 'epoch'),
        'outcome',
    ),
    Kind(agent.RankChanged, 'group', ('rank', 'is_open'), ('epoch',), 'change'),
    Kind(
        agent.OrderRefused,
        'group',
        ('rank', 'order', 'step', 'version'),
        ('token', 'epoch', 'known_epoch'),
        'cause',
    ),
    Kind(agent.TermFenced, 'group', ('rank', 'order'), ('token',), 'rank'),
    Kind(agent.SessionStarted, 'service', ('rank',), ('epoch',), 'group'),
    Kind(agent.SessionEnded, 'service', (), (), 'group'),
    # A settings file has neither version nor date: its contents are told.
    Kind(settings.SettingsReloaded, 'applied', ('deferred',), (), 'applied'),
    Kind(settings.SettingsRefused, 'key', ('reason',), (), 'reason'),
)


@pytest.mark.parametrize('kind', KINDS, ids=lambda kind: kind.event.__name__)
def test_line_says_what_it_rests_on(kind: Kind) -> None:
    said = set(kind.event.__dataclass_fields__)  # type: ignore[attr-defined]
    needed = {kind.about, kind.outcome, *kind.grounds, *kind.dated}
    assert needed <= said


def test_no_kind_is_left_out() -> None:
    unions: tuple[Any, ...] = (
        entry.Decision,
        agent.Decision,
        settings.SettingsChange,
    )
    written = {event for union in unions for event in union.__args__}
    assert written == {kind.event for kind in KINDS}
