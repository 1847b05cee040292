from __future__ import annotations

import tomllib
from collections import Counter
from itertools import count
from pathlib import Path

import msgspec
import pytest

from ospreyford.standins.deployment import (
    CATERER,
    PENSION_OFFICE,
    Site,
    Size,
    encode_hosts,
    lay_out,
)
from ospreyford.standins.hostlist import HostDocument

EXAMPLES = Path(__file__).parents[2] / 'examples'


@pytest.mark.parametrize(
    ('site', 'services', 'first_zone'),
    [
        (PENSION_OFFICE, ('drafting', 'quotation'), 'ulaanbaatar-a'),
        (CATERER, ('order-assistant', 'order-desk'), 'addis-a'),
    ],
)
def test_site_has_the_sizes_of_today(
    site: Site, services: tuple[str, str], first_zone: str
) -> None:
    hosts = lay_out(site, Size(entries=4), count(20_000))
    counted = Counter(host.service for host in hosts)
    assert counted == {services[0]: 12, services[1]: 3, '': 4}
    zones = Counter(host.zone for host in hosts if host.role == 'backend')
    assert (zones[first_zone], len(zones)) == (5, 3)
    addresses = {host.data_address for host in hosts}
    addresses.update(host.peer_address for host in hosts)
    assert len(addresses) == 2 * len(hosts)


@pytest.mark.parametrize('site', [PENSION_OFFICE, CATERER])
def test_documents_name_hosts_that_exist(site: Site) -> None:
    names = {host.name for host in lay_out(site, Size(), count(20_000))}
    documents = [
        tomllib.loads(path.read_text())
        for path in EXAMPLES.joinpath(site.name, 'documents').glob('*.toml')
    ]
    mentioned = set().union(
        *(document.get('homes', ()) for document in documents),
        *(
            document['hosts']
            for document in documents
            if document['kind'] == 'host-labels'
        ),
    )
    assert mentioned
    assert mentioned <= names


def test_encoded_hosts_are_what_the_host_list_loads() -> None:
    hosts = lay_out(CATERER, Size(1, 1, 1), count(20_000))
    document = msgspec.json.decode(encode_hosts(hosts), type=HostDocument)
    names = [host.name for host in document.hosts]
    assert names == ['caterer-model-1', 'caterer-plain-1', 'caterer-entry-1']
