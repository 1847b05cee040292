"""Strategies for documents and revisions, and queries of a snapshot."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.documents.snapshot import ConfigurationSnapshot
from tests.documents import samples

SEEDED_SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)
CHEAP_SETTINGS = settings(SEEDED_SETTINGS, max_examples=400)
MACHINE_SETTINGS = settings(
    SEEDED_SETTINGS, max_examples=40, stateful_step_count=20
)

LABELS = ('size', 'sector', 'season')
TEXTS = ('a', 'b', 'c')
CUSTOMERS = ('ana', 'bat', 'cho')
SERVICES = ('drafting', 'quotation')
POOLS = ('main', 'spare', 'night')
HOSTS = tuple(
    samples.make_host(f'host-{size}{sector}', size=size, sector=sector)
    for size in TEXTS
    for sector in TEXTS[:2]
)
HEAD = 'team = "{team}"\ntitle = "t"\npriority = {priority}\n'


@st.composite
def heads(draw: st.DrawFn, kind: str) -> str:
    """Write the keys that all kinds share."""
    head = HEAD.format(
        team=draw(st.sampled_from(('x', 'y'))),
        priority=draw(st.integers(-1, 1)),
    )
    return f'kind = "{kind}"\n{head}'


@st.composite
def terms(draw: st.DrawFn) -> str:
    """Write one term of a selector."""
    label = draw(st.sampled_from((*LABELS, 'customer', 'host')))
    known = (*TEXTS, 'ana', 'bat', 'host-aa')
    operator = draw(
        st.sampled_from(('equals', 'in', 'not-in', 'exists', 'absent'))
    )
    text = draw(st.sampled_from(known))
    values = draw(st.lists(st.sampled_from(known), min_size=1, max_size=2))
    rest = {
        'equals': f', value = "{text}"',
        'in': f', values = {values}',
        'not-in': f', values = {values}',
    }.get(operator, '')
    return f'{{ label = "{label}", operator = "{operator}"{rest} }}'


@st.composite
def selectors(draw: st.DrawFn) -> str:
    """Write a selector."""
    chosen = draw(st.lists(terms(), max_size=3))
    if not chosen:
        return '{ everything = true }'
    joined = ', '.join(chosen)
    return f'{{ terms = [{joined}] }}'


def label_tables(keys: tuple[str, ...]) -> st.SearchStrategy[str]:
    """Write labels of customers or hosts."""
    labels = st.dictionaries(st.sampled_from(LABELS), st.sampled_from(TEXTS))
    tables = st.dictionaries(st.sampled_from(keys), labels, min_size=1)
    return tables.map(
        lambda table: '\n'.join(
            f'{key}.{label} = "{text}"' if pairs else f'{key} = {{}}'
            for key, pairs in table.items()
            for label, text in (pairs or {'': ''}).items()
        )
    )


@st.composite
def intents(draw: st.DrawFn) -> str:
    """Write a routing intent."""
    pools = draw(st.lists(st.sampled_from(POOLS), min_size=1, max_size=2))
    service = draw(st.sampled_from((*SERVICES, None)))
    target = (
        f'service = "{service}"'
        if service
        else f'services = {draw(selectors())}'
    )
    return (
        draw(heads('routing-intent'))
        + f'customers = {draw(selectors())}\n{target}\npools = {pools}\n'
    )


@st.composite
def pool_documents(draw: st.DrawFn) -> str:
    """Write a capacity pool."""
    homes = draw(st.lists(st.sampled_from(('h1', 'h2', 'h3')), unique=True))
    day = draw(st.integers(1, 9))
    return (
        draw(heads('capacity-pool'))
        + f'name = "{draw(st.sampled_from(POOLS))}"\n'
        + f'service = "{draw(st.sampled_from(SERVICES))}"\n'
        + f'hosts = {draw(selectors())}\nhomes = {homes}\n'
        + f'former_homes = [{{ name = "h4", until = 2026-01-0{day}T00:00Z }}]'
    ).replace('T00:00Z', 'T00:00:00Z')


@st.composite
def limit_documents(draw: st.DrawFn) -> str:
    """Write a customer limit."""
    given = draw(
        st.dictionaries(
            st.sampled_from(('requests_per_second', 'concurrency', 'weight')),
            st.integers(1, 3),
        )
    )
    limits = ', '.join(f'{key} = {number}' for key, number in given.items())
    return (
        draw(heads('customer-limit'))
        + f'customers = {draw(selectors())}\nlimits = {{ {limits} }}\n'
    )


@st.composite
def other_documents(draw: st.DrawFn) -> str:
    """Write a document of one of the simpler kinds."""
    kind = draw(st.sampled_from(('customer', 'host-labels', 'drain-request')))
    head = draw(heads(kind))
    if kind == 'drain-request':
        return f'{head}reason = "r"\nhosts = {draw(selectors())}\n'
    if kind == 'customer':
        return f'{head}[customers]\n{draw(label_tables(CUSTOMERS))}\n'
    names = tuple(host.name for host in HOSTS)
    return f'{head}[hosts]\n{draw(label_tables(names))}\n'


@st.composite
def service_documents(draw: st.DrawFn) -> str:
    """Write a model or a plain service."""
    kind = draw(st.sampled_from(('model', 'service')))
    size = draw(st.sampled_from(TEXTS))
    return (
        draw(heads(kind))
        + f'name = "{draw(st.sampled_from(SERVICES))}"\n'
        + f'labels = {{ size = "{size}" }}\n'
    )


GOOD_TEXTS = st.one_of(
    intents(),
    pool_documents(),
    limit_documents(),
    other_documents(),
    service_documents(),
)
BAD_TEXTS = st.sampled_from(
    ('', 'kind = "routing-intent"', 'a = [', 'kind = "drain-request"\nx = 1')
)


def entries() -> st.SearchStrategy[DocumentEntry]:
    """Make revisions of a handful of documents, some deleted."""
    return st.builds(
        DocumentEntry,
        name=st.sampled_from([f'doc-{index}' for index in range(8)]),
        revision=st.integers(1, 4),
        text=(GOOD_TEXTS | BAD_TEXTS).map(str.encode),
        deleted=st.sampled_from((False, False, False, True)),
    )


#: Services that the generated documents refer to.
BASE_ENTRIES = tuple(
    samples.entry(f'ground-{index}', text)
    for index, text in enumerate((samples.MODEL, samples.QUOTATION))
)


def query_all(snapshot: ConfigurationSnapshot) -> list[Any]:
    """Query everything in a snapshot that depends on the documents."""
    return [
        snapshot.digest,
        [snapshot.route(name, to) for name in CUSTOMERS for to in SERVICES],
        [snapshot.limit_of(name) for name in CUSTOMERS],
        [snapshot.service(name) for name in SERVICES],
        [snapshot.homes(name) for name in SERVICES],
        [snapshot.members(name, HOSTS) for name in POOLS],
        [snapshot.drain_document_of(host) for host in HOSTS],
        [snapshot.labels_of(host) for host in HOSTS],
        snapshot.conflicts,
    ]


def record_all(groups: Iterable[list[DocumentEntry]]) -> ConfigurationSnapshot:
    """Record groups of revisions, querying the snapshot after each."""
    resolver = Resolver()
    for group in groups:
        query_all(resolver.record(group))
    return resolver.snapshot
