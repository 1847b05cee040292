"""Groups of backends, as their agents told last."""

from __future__ import annotations

import pytest

from ospreyford.direct.groupdirectory import GroupDirectory
from ospreyford.direct.registry import BackendServer
from ospreyford.rebalance.groupkey import GroupKey

A, B, C = (('10.0.0.1', 80), ('10.0.0.2', 80), ('10.0.0.3', 80))


def register(*places: tuple[tuple[str, int], str]) -> list[BackendServer]:
    """Register addresses for services, the later ones with a newer revision."""
    return [
        BackendServer(
            f'i{revision}', service, *address, 'a', 3, False, revision
        )
        for revision, (address, service) in enumerate(places)
    ]


#: Registrations, what is told in turn (by agents, or with a set of hosts by a
#: coordinator), then the groups, and the rooms.
CASES = (
    # Nothing is known.
    (((A, 's'), (B, 's')), (), {'': (A, B)}, ('', '')),
    # The only group counts what is unknown.
    (((A, 's'), (B, 's')), ((A, 'g'),), {'g': (A,), '': (B,)}, ('g', 'g')),
    # With two groups it is on its own.
    (
        ((A, 's'), (B, 's'), (C, 's')),
        ((A, 'g'), (B, 'h')),
        {'g': (A,), 'h': (B,), '': (C,)},
        ('g', 'h', ''),
    ),
    # An empty name is no news, another one is.
    (
        ((A, 's'), (B, 's')),
        ((A, 'g'), (B, 'g'), (A, ''), (B, 'h')),
        {'g': (A,), 'h': (B,)},
        ('g', 'h'),
    ),
    # A coordinator names its ranks, but agents know better.
    (
        ((A, 's'), (B, 's'), (C, 's')),
        ((A, 'g'), (B, 'h'), ({'10.0.0.2', '10.0.0.3'}, 'g')),
        {'g': (A, C), 'h': (B,)},
        ('g', 'h', 'g'),
    ),
    # What isn't registered has no group.
    (((A, 's'),), ((B, 'g'),), {'': (A,)}, ('',)),
    # The newest registration tells the service.
    (((A, 's'), (B, 's'), (A, 't')), ((A, 'g'), (B, 'g')), {'g': (B,)}, ('g',)),
)


def tell(
    directory: GroupDirectory, told: tuple[tuple[object, str], ...]
) -> None:
    for about, name in told:
        if isinstance(about, set):
            directory.record_ranks(GroupKey('s', name), about)
        elif isinstance(about, tuple):
            directory.record_name(about, name)


@pytest.mark.parametrize(('registered', 'told', 'groups', 'rooms'), CASES)
def test_groups_are_joined_with_registrations(
    registered: tuple[tuple[tuple[str, int], str], ...],
    told: tuple[tuple[object, str], ...],
    groups: dict[str, tuple[tuple[str, int], ...]],
    rooms: tuple[str, ...],
) -> None:
    directory = GroupDirectory()
    directory.update_registered(register(*registered))
    tell(directory, told)
    view = directory.make_view()
    found = {
        key.name: members
        for key, members in view.members.items()
        if key.service == 's'
    }
    assert found == groups
    places = sorted(place for members in groups.values() for place in members)
    assert tuple(view.rooms[place] for place in places) == rooms
    for key in view.list_groups('s'):
        assert view.tags[key.compute_tag()] == key


def test_a_removed_address_is_forgotten() -> None:
    """Another process may come up there as a rank of another group."""
    directory = GroupDirectory()
    for servers in (register((A, 's'), (B, 's')), register((B, 's'))):
        directory.update_registered(servers)
        directory.record_name(A, 'g')
    directory.update_registered(register((A, 's'), (B, 's')))
    assert directory.find(A) == GroupKey('s', '')


def test_another_service_forgets_the_group() -> None:
    """Two services may have groups of one name."""
    directory = GroupDirectory()
    directory.update_registered(register((A, 's'), (B, 't')))
    for place in (A, B):
        directory.record_name(place, 'g')
    assert len(directory.make_view().tags) == 2
    directory.update_registered(register((A, 's'), (A, 't'), (B, 't')))
    assert directory.find(A) == GroupKey('t', '')
