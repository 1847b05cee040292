"""Time and memory of the resolved picture at the size to design for.

Run ``python -m ospreyford.measure.documents [customers-per-document
[customers]]``; it prints one table as Markdown. The documents are the same
in every run.
"""

from __future__ import annotations

import gc
import resource
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any, NamedTuple

from tabulate import tabulate

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.parsing import parse_document
from ospreyford.documents.resolver import Resolver
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.measure.samples import (
    CUSTOMERS,
    CUSTOMERS_A_DOCUMENT,
    CUSTOMERS_A_MEGABYTE,
    HOSTS,
    OTHERS,
    SEED,
    SERVICES,
    make_hosts,
    write_customers,
    write_document,
    write_others,
)
from ospreyford.ports.fleet import Host

REPEATS = 7
CHANGES = range(REPEATS)
ASKED = 20_000

MICROSECONDS = 1e6
MILLISECONDS = 1e3
KILOBYTE = 1024


class Row(NamedTuple):
    """One measured quantity."""

    quantity: str
    figure: float
    unit: str


def measure(
    a_document: int = CUSTOMERS_A_DOCUMENT, customers: int = CUSTOMERS
) -> Iterator[Row]:
    """Measure all quantities.

    :param a_document: customers in one document.
    :param customers: customers in all.
    :returns: the rows, as they are known.
    """
    entries = [
        DocumentEntry(f'doc-{number}', 1, text.encode())
        for number, text in enumerate(
            [*write_customers(a_document, customers), *write_others()]
        )
    ]
    hosts = make_hosts()
    yield Row('documents', len(entries), 'documents')
    gc.collect()
    resident = _resident()
    started = time.perf_counter()
    resolver = Resolver()
    picture = resolver.record(entries)
    yield Row('first picture', _since(started), 's')
    gc.collect()
    yield Row('memory of it', (_resident() - resident) / KILOBYTE, 'MB')
    yield from measure_questions(picture, hosts)
    yield from measure_changes(resolver, a_document)


def measure_questions(
    picture: ConfigurationSnapshot, hosts: list[Host]
) -> Iterator[Row]:
    """Measure what the request path and the control loops ask.

    :param picture: the picture to ask.
    :param hosts: the hosts to ask about.
    :returns: the rows.
    """
    rng = Random(SEED)
    customers = rng.choices(range(CUSTOMERS), k=ASKED)
    services = rng.choices(range(SERVICES), k=ASKED)
    asked = [
        (f'customer-{customer}', f'model-{service}')
        for customer, service in zip(customers, services, strict=True)
    ]
    yield from _ask(picture, asked, 'not asked before')
    yield from _ask(picture, asked, 'remembered')
    seconds = _timed(lambda: picture.members('pool-0', hosts))
    yield Row('members, 4,300 hosts', seconds * MILLISECONDS, 'ms')
    seconds = _timed(lambda: [picture.drain_of(host) for host in hosts])
    yield Row('drain_of, mean', seconds / HOSTS * MICROSECONDS, 'us')
    seconds = _timed(lambda: picture.conflicts)
    yield Row('conflicts, first asked', seconds, 's')


def measure_changes(resolver: Resolver, a_document: int) -> Iterator[Row]:
    """Measure how long one changed document takes.

    :param resolver: the process's documents.
    :param a_document: customers in one document.
    :returns: the rows.
    """
    customers = next(write_customers(a_document))
    for kind, template, _ in OTHERS[1:]:
        versions = [
            write_document(kind, template, number) for number in CHANGES
        ]
        yield _measure_change(resolver, kind, versions)
    versions = [
        customers.replace('size-0', f'size-{number}') for number in CHANGES
    ]
    yield _measure_change(resolver, 'customer', versions)
    largest = next(write_customers(CUSTOMERS_A_MEGABYTE)).encode()
    yield Row('size of the largest document', len(largest) / KILOBYTE, 'kB')
    seconds = _timed(lambda: parse_document('largest', largest))
    yield Row('parsing of it', seconds, 's')


def main(arguments: Iterable[str] = ()) -> None:
    """Print the table.

    :param arguments: customers in one document and in all, if given.
    """
    rows = measure(*(int(text) for text in arguments))
    headers = ('quantity', 'figure', 'unit')
    table = tabulate(rows, headers, tablefmt='github', floatfmt='.3g')
    sys.stdout.write(f'{table}\n')


def _ask(
    picture: ConfigurationSnapshot, asked: list[tuple[str, str]], state: str
) -> Iterator[Row]:
    seconds = _timed(lambda: [picture.route(*pair) for pair in asked])
    figure = seconds / ASKED * MICROSECONDS
    yield Row(f'route, {state}, mean', figure, 'us')
    seconds = _timed(lambda: [picture.limit_of(pair[0]) for pair in asked])
    figure = seconds / ASKED * MICROSECONDS
    yield Row(f'limit_of, {state}, mean', figure, 'us')


def _measure_change(resolver: Resolver, kind: str, versions: list[str]) -> Row:
    seconds = [
        _timed(_recording(resolver, f'changed-{kind}', number, text))
        for number, text in enumerate(versions)
    ]
    median = sorted(seconds)[REPEATS // 2]
    return Row(f'change of a {kind}, median', median * MILLISECONDS, 'ms')


def _recording(
    resolver: Resolver, name: str, revision: int, text: str
) -> Callable[[], ConfigurationSnapshot]:
    entry = DocumentEntry(name, revision, text.encode())
    return lambda: resolver.record([entry])


def _timed(work: Callable[[], Any]) -> float:
    started = time.perf_counter()
    work()
    return _since(started)


def _since(started: float) -> float:
    return time.perf_counter() - started


def _resident() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


if __name__ == '__main__':
    main(sys.argv[1:])
