"""Documents and hosts at the size to design for; the same in every run."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from ospreyford.ports.fleet import Host

SEED = 7
CUSTOMERS = 37_000
SERVICES = 8
INTENTS = 2000
LIMITS = 1000
POOLS = 400
DRAINS = 50
HOSTS = 4300
SECTORS = 40
SIZES = 3
REGIONS = 3
ZONES = 6
PRIORITIES = 9
CUSTOMERS_A_DOCUMENT = 100

#: So many customers make a document of nearly a megabyte.
CUSTOMERS_A_MEGABYTE = 12_500

HEAD = """
kind = "{kind}"
team = "team-{team}"
title = "measured"
priority = {priority}
"""
SERVICE = 'name = "model-{service}"\n'
POOL = """
name = "pool-{number}"
service = "model-{service}"
hosts = {{ labels = {{ rack = "rack-{pool}" }} }}
"""
CHOSEN = """
customers.labels = {{ sector = "sector-{sector}", size = "size-{size}" }}
"""
INTENT = """
service = "model-{service}"
pools = ["pool-{pool}"]
"""
LIMIT = 'limits = {{ requests_per_second = {priority}1 }}\n'
DRAIN = """
reason = "repair"
hosts = {{ labels = {{ rack = "rack-{pool}" }} }}
"""
OTHERS = (
    ('model', SERVICE, SERVICES),
    ('capacity-pool', POOL, POOLS),
    ('routing-intent', f'{CHOSEN}{INTENT}', INTENTS),
    ('customer-limit', f'{CHOSEN}{LIMIT}', LIMITS),
    ('drain-request', DRAIN, DRAINS),
)
CUSTOMER = """
[customers.customer-{number}]
sector = "sector-{sector}"
size = "size-{size}"
region = "region-{region}"
"""


def write_document(kind: str, template: str, number: int) -> str:
    """Write one document.

    :param kind: the document's kind.
    :param template: what follows the keys that all kinds share.
    :param number: tells it from the others of its kind.
    :returns: the text.
    """
    return f'{HEAD}{template}'.format(
        kind=kind,
        number=number,
        team=number % SECTORS,
        priority=number % PRIORITIES,
        service=number % SERVICES,
        pool=number % POOLS,
        sector=number % SECTORS,
        size=number // SECTORS % SIZES,
    )


def write_customers(
    a_document: int, customers: int = CUSTOMERS
) -> Iterator[str]:
    """Write the customers' documents.

    :param a_document: customers in one document.
    :param customers: customers in all.
    :returns: the texts.
    """
    rng = Random(SEED)
    for start in range(0, customers, a_document):
        ids = range(start, min(start + a_document, customers))
        tables = ''.join(_customer_table(number, rng) for number in ids)
        yield write_document('customer', '', start) + tables


def write_others() -> Iterator[str]:
    """Write the documents of the other kinds.

    :returns: the texts.
    """
    for kind, template, count in OTHERS:
        for number in range(count):
            yield write_document(kind, template, number)


def make_hosts() -> list[Host]:
    """Make the backend server hosts.

    :returns: the hosts, spread over racks.
    """
    return [_make_host(number) for number in range(HOSTS)]


def _make_host(number: int) -> Host:
    zone = number % ZONES
    region = zone % REGIONS
    service = number % SERVICES
    rack = number % POOLS
    return Host(
        name=f'host-{number}',
        instance=f'instance-{number}',
        role='backend',
        zone=f'zone-{zone}',
        region=f'region-{region}',
        service=f'model-{service}',
        data_address='',
        peer_address='',
        labels={'rack': f'rack-{rack}'},
    )


def _customer_table(number: int, rng: Random) -> str:
    return CUSTOMER.format(
        number=number,
        sector=rng.randrange(SECTORS),
        size=rng.randrange(SIZES),
        region=rng.randrange(REGIONS),
    )
