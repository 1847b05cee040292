"""The users' deployments laid out on loopback, as the host list has them.

Only data is made here; nothing is written and no port is opened.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ospreyford.ports.fleet import Host
from ospreyford.standins.hostlist import HostDocument, publish_host
from ospreyford.standins.process import LOOPBACK

ZONE_LETTERS = 'abc'


class Role(StrEnum):
    """What a host does."""

    backend = 'backend'
    entry = 'entry'


class Site(NamedTuple):
    """A user's site: ``region`` names its zones, services its back ends.

    ``adapters`` are loaded on every engine, divided by spaces.
    """

    name: str
    region: str
    model: str
    model_service: str
    plain_service: str
    adapters: str


class Size(NamedTuple):
    """How many hosts of each kind."""

    model_replicas: int = 12
    plain_replicas: int = 3
    entries: int = 3


class Kind(NamedTuple):
    """Hosts of one kind: their names' stem and what they serve."""

    stem: str
    role: Role
    service: str
    model: str
    replicas: int


PENSION_OFFICE = Site(
    'pension-office',
    'ulaanbaatar',
    'drafting',
    'drafting',
    'quotation',
    'quote-explanation',
)
CATERER = Site(
    'caterer',
    'addis',
    'order-assistant',
    'order-assistant',
    'order-desk',
    'special-meals',
)


def lay_out(site: Site, size: Size, ports: Iterator[int]) -> tuple[Host, ...]:
    """Lay out a site's hosts, its zones in turn.

    :param site: the site.
    :param size: how many hosts of each kind.
    :param ports: gives two ports for each host: for requests, then for
        messages between the system's own processes.
    :returns: the hosts: model replicas, plain replicas, entries.
    """
    models, plains, entries = size
    kinds = (
        Kind('model', Role.backend, site.model_service, site.model, models),
        Kind('plain', Role.backend, site.plain_service, '', plains),
        Kind('entry', Role.entry, '', '', entries),
    )
    return tuple(
        _make_host(site, kind, number, ports)
        for kind in kinds
        for number in range(kind.replicas)
    )


def encode_hosts(hosts: tuple[Host, ...]) -> bytes:
    """Encode hosts as the file that the host list loads.

    :param hosts: the hosts.
    :returns: indented JSON with a final newline.
    """
    published = tuple(publish_host(host) for host in hosts)
    encoded = msgspec.json.encode(HostDocument(hosts=published))
    return b'%s\n' % msgspec.json.format(encoded)


def _make_host(
    site: Site, kind: Kind, number: int, ports: Iterator[int]
) -> Host:
    letter = ZONE_LETTERS[number % len(ZONE_LETTERS)]
    name = '-'.join((site.name, kind.stem, str(number + 1)))
    labels = {
        'site': site.name,
        'kind': kind.stem,
        'service': kind.service,
        'model': kind.model,
        'adapters': site.adapters if kind.model else '',
    }
    return Host(
        name=name,
        instance=f'{name}.1',
        role=kind.role,
        zone=f'{site.region}-{letter}',
        region=site.region,
        service=kind.service,
        data_address=_take_address(ports),
        peer_address=_take_address(ports),
        labels={key: label for key, label in labels.items() if label},
    )


def _take_address(ports: Iterator[int]) -> str:
    return f'{LOOPBACK}:{next(ports)}'
