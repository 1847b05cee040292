"""Groups of backends, as their agents told last."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import pytest

from ospreyford.direct.groupdirectory import GroupDirectory
from ospreyford.direct.registry import BackendServer
from ospreyford.rebalance.entrymessages import Address
from ospreyford.rebalance.groupkey import GroupKey

#: What is told of an address, or of hosts by a coordinator.
Told = tuple[tuple[Address | frozenset[str], str], ...]
Registered = tuple[tuple[Address, str], ...]

A, B, C = (('10.0.0.1', 80), ('10.0.0.2', 80), ('10.0.0.3', 80))
AB = ((A, 's'), (B, 's'))
TAKEN = (*AB, (A, 't'))
ABC = (*AB, (C, 's'))
TWO = ((A, 'g'), (B, 'h'))
RENAMED = ((A, 'g'), (B, 'g'), (A, ''), (B, 'h'))
UNKNOWN = MappingProxyType({'': (A, B)})
HALF = MappingProxyType({'g': (A,), '': (B,)})
NAMED = MappingProxyType({'g': (A, C), 'h': (B,)})
SPLIT = MappingProxyType({'g': (A,), 'h': (B,)})


def register(*places: tuple[Address, str]) -> list[BackendServer]:
    """Register addresses for services, the later ones with a newer revision."""
    return [
        BackendServer(
            f'i{revision}', service, *address, 'a', 3, False, revision
        )
        for revision, (address, service) in enumerate(places)
    ]


#: Ranks that a coordinator names.
RANKS = frozenset(('10.0.0.2', '10.0.0.3'))


class Case(NamedTuple):
    """What is registered and told in turn, then the groups, and the rooms.

    A letter names the room of each address; a hyphen stands for no group.
    """

    registered: Registered
    told: Told
    groups: Mapping[str, tuple[Address, ...]]
    rooms: str


CASES = (
    # Nothing is known.
    Case(AB, (), UNKNOWN, '--'),
    # The only group counts what is unknown.
    Case(AB, TWO[:1], HALF, 'gg'),
    # With two groups it is on its own.
    Case(ABC, TWO, {**SPLIT, '': (C,)}, 'gh-'),
    # An empty name is no news, another one is.
    Case(AB, RENAMED, SPLIT, 'gh'),
    # A coordinator names its ranks, but agents know better.
    Case(ABC, (*TWO, (RANKS, 'g')), NAMED, 'ghg'),
    # What isn't registered has no group.
    Case(AB[:1], TWO[1:], {'': (A,)}, '-'),
    # The newest registration tells the service.
    Case(TAKEN, RENAMED[:2], {'g': (B,)}, 'g'),
)


def tell(directory: GroupDirectory, told: Told) -> None:
    for about, name in told:
        if isinstance(about, frozenset):
            directory.record_ranks(GroupKey('s', name), about)
        else:
            directory.record_name(about, name)


@pytest.mark.parametrize('case', CASES)
def test_groups_are_joined_with_registrations(case: Case) -> None:
    directory = GroupDirectory()
    directory.update_registered(register(*case.registered))
    tell(directory, case.told)
    view = directory.make_view()
    found = {
        key.name: members
        for key, members in view.members.items()
        if key.service == 's'
    }
    assert found == case.groups
    places = sorted(place for members in found.values() for place in members)
    rooms = ''.join(view.rooms[place] or '-' for place in places)
    assert rooms == case.rooms
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
