from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from ospreyford.documents.conflicts import ConflictKind, Rule
from ospreyford.documents.documenttable import BodyChange
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.homes import DatedHome, Homes
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.limits import EffectiveLimit
from ospreyford.documents.parsing import Document, parse_document
from ospreyford.documents.resolver import resolve_snapshot
from ospreyford.documents.routes import NoPool, NoRoute, Route
from ospreyford.documents.selectors import Labels
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.documents.subjects import PlainService, is_non_idempotent
from tests.documents import samples
from tests.documents.strategies import LABELS, MACHINE_SETTINGS, TEXTS, intents

EVERYBODY = '{ everything = true }'
LARGE = '{ labels.size = "large" }'
LARGE_PUBLIC = '{ labels = { size = "large", sector = "public" } }'
LARGE_IN = (
    '{ terms = [{ label = "size", operator = "in", values = ["large"] }] }'
)
LARGE_TWICE = (
    '{ labels.size = "large", '
    'terms = [{ label = "size", operator = "equals", value = "large" }] }'
)


KEYS = st.sampled_from((*LABELS, 'customer'))
VALUES = st.sampled_from((*TEXTS, 'ana'))


def intent(customers: str, priority: int = 0, team: str = 'x') -> str:
    return samples.INTENT.replace(EVERYBODY, customers).replace(
        'team = "platform"', f'team = "{team}"\npriority = {priority}'
    )


def limit(customers: str, limits: str) -> str:
    head, _, _ = samples.LIMIT.partition('[limits]')
    return f'{head.replace(EVERYBODY, customers)}\n[limits]\n{limits}'


def resolve_texts(*texts: str) -> ConfigurationSnapshot:
    ground = (samples.MODEL, samples.POOL, samples.CUSTOMERS)
    entries = [
        *(
            samples.entry(f'ground-{at}', text)
            for at, text in enumerate(ground)
        ),
        *(samples.entry('abcdef'[at], text) for at, text in enumerate(texts)),
    ]
    return resolve_snapshot(entries)


@pytest.mark.parametrize(
    ('texts', 'winner', 'rule'),
    [
        ((intent(EVERYBODY, 9), intent(LARGE)), 'b', None),
        ((intent(LARGE, 9), intent(LARGE_PUBLIC)), 'b', None),
        ((intent(LARGE_IN, 9), intent(LARGE)), 'b', None),
        (
            (intent(LARGE, team='y'), intent(LARGE_PUBLIC)),
            'b',
            Rule.more_specific,
        ),
        ((intent(LARGE), intent(LARGE, 1)), 'b', Rule.higher_priority),
        ((intent(LARGE, 1), intent(LARGE)), 'a', Rule.higher_priority),
        ((intent(LARGE), intent(LARGE)), 'a', Rule.first_name),
        ((intent(LARGE), intent(LARGE_TWICE)), 'a', Rule.first_name),
    ],
)
def test_one_intent_wins_by_the_stated_rule(
    texts: tuple[str, str], winner: str, rule: Rule | None
) -> None:
    snapshot = resolve_texts(*texts)
    route = snapshot.route('soum-clerks', 'drafting')
    assert isinstance(route, Route)
    assert route.document == winner
    expected = {rule} - {None}
    assert {conflict.rule for conflict in snapshot.conflicts} == expected


@pytest.mark.parametrize(
    ('texts', 'expected', 'rules'),
    [
        ((), EffectiveLimit(), []),
        (
            (limit(EVERYBODY, 'concurrency = 5'), limit(LARGE, 'burst = 7')),
            EffectiveLimit(concurrency=5, burst=7, documents=('a', 'b')),
            [],
        ),
        (
            (
                limit(EVERYBODY, 'tokens_per_second = 5'),
                limit(LARGE, 'tokens_per_second = 9'),
            ),
            EffectiveLimit(tokens_per_second=5, documents=('a', 'b')),
            [Rule.strictest],
        ),
        (
            (limit(EVERYBODY, 'weight = 1'), limit(LARGE, 'weight = 4')),
            EffectiveLimit(weight=4, documents=('a', 'b')),
            [],
        ),
        (
            (limit(LARGE, 'weight = 3'), limit(LARGE, 'weight = 2')),
            EffectiveLimit(weight=3, documents=('a', 'b')),
            [Rule.first_name],
        ),
    ],
)
def test_strictest_limit_wins_key_by_key(
    texts: tuple[str, ...], expected: EffectiveLimit, rules: list[Rule]
) -> None:
    snapshot = resolve_texts(*texts)
    assert snapshot.limit_of('soum-clerks') == expected
    assert [conflict.rule for conflict in snapshot.conflicts] == rules


def test_a_limit_can_select_a_customer_by_its_id() -> None:
    snapshot = resolve_texts(
        limit('{ labels.customer = "pension-banks" }', 'concurrency = 5')
    )
    for customer, expected in (('soum-clerks', None), ('pension-banks', 5)):
        effective = snapshot.limit_of(customer)
        assert effective is not None
        assert effective.concurrency == expected


def test_unknown_customer_has_no_limit() -> None:
    assert resolve_texts().limit_of('nobody') is None


def test_a_customer_can_be_selected_by_its_id() -> None:
    snapshot = resolve_texts(
        intent(EVERYBODY), intent('{ labels.customer = "pension-banks" }')
    )
    winners = []
    for customer in ('soum-clerks', 'pension-banks'):
        route = snapshot.route(customer, 'drafting')
        winners.append(route.document if isinstance(route, Route) else None)
    assert winners == ['a', 'b']


def test_intent_whose_pools_are_missing_has_no_route() -> None:
    text = intent(EVERYBODY).replace('drafting-main', 'elsewhere')
    route = resolve_texts(text).route('soum-clerks', 'drafting')
    assert route == NoRoute(NoPool('a', ('elsewhere',)))


@pytest.mark.parametrize(
    ('kind', 'body', 'subject'),
    [
        (ConflictKind.pool, samples.POOL, 'drafting-main'),
        (ConflictKind.service, samples.MODEL, 'drafting'),
        (
            ConflictKind.customer_label,
            samples.CUSTOMERS.replace('"private"', '"other"'),
            'pension-banks: sector',
        ),
    ],
)
def test_duplicate_definition_loses_by_priority(
    kind: ConflictKind, body: str, subject: str
) -> None:
    snapshot = resolve_texts(body.replace('title', 'priority = -1\ntitle', 1))
    assert len(snapshot.conflicts) == 1
    conflict = snapshot.conflicts[0]
    assert conflict.documents == (conflict.winner, 'a')
    assert conflict.rule is Rule.higher_priority
    assert (conflict.kind, conflict.subject) == (kind, subject)


def homes(current: str, former: str, name: str = 'p') -> str:
    return samples.POOL.replace('drafting-main', name) + (
        f'homes = [{current}]\nformer_homes = [{former}]\n'
    )


def new_home_pool(name: str, day: int) -> str:
    moment = f'2026-01-0{day}T00:00:00Z'
    return homes('', '', 'q') + (
        f'new_homes = [{{ name = "{name}", since = {moment} }}]\n'
    )


def former(name: str, day: int) -> str:
    return f'{{ name = "{name}", until = 2026-01-0{day}T00:00:00Z }}'


@pytest.mark.parametrize(
    ('texts', 'expected'),
    [
        ((homes('"h2", "h1"', ''),), Homes(('h1', 'h2'))),
        (
            (homes('"h1"', '', 'p'), homes('"h2"', '', 'q')),
            Homes(('h1', 'h2')),
        ),
        ((homes('"h1"', '', 'p'), homes('"h2"', '')), Homes(('h1', 'h2'))),
        (
            (homes('"h1"', former('h2', 1)), homes('"h2"', former('h1', 1))),
            Homes(('h1', 'h2')),
        ),
        (
            (homes('', former('h1', 2)), homes('', former('h1', 1), 'q')),
            Homes((), (DatedHome('h1', 1_767_312_000),)),
        ),
        (
            (homes('"h1"', ''), new_home_pool('h2', 3), new_home_pool('h2', 2)),
            Homes(('h1', 'h2'), (), (DatedHome('h2', 1_767_312_000),)),
        ),
        ((homes('"h1"', ''), new_home_pool('h1', 2)), Homes(('h1',))),
        (
            (homes('', former('h1', 1)), new_home_pool('h1', 2)),
            Homes(('h1',)),
        ),
    ],
)
def test_declared_homes_are_merged(
    texts: tuple[str, ...], expected: Homes
) -> None:
    # Guards against executing a call twice after one pool's homes replace
    # those of another.
    assert resolve_texts(*texts).homes('drafting') == expected


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('POST', '/quotes', True),
        ('post', '/quotes?draft=1', True),
        ('POST', '//quotes/', True),
        ('POST', '/%71uotes', True),
        ('POST', '/rates/../quotes', True),
        ('GET', '/quotes', False),
        ('POST', '/quotes/7', False),
        ('POST', '/lines/7', True),
        ('POST', '/lines//7/8', True),
        ('POST', '/lines', False),
        ('POST', '/', False),
    ],
)
def test_call_paths_are_normalized(
    method: str, path: str, expected: bool
) -> None:
    # Guards against retrying a non-idempotent call with another spelling.
    service = PlainService(
        team='x',
        title='t',
        name='s',
        non_idempotent=('POST /quotes', 'POST /lines/*'),
    )
    assert is_non_idempotent(service, method, path) is expected


@pytest.mark.parametrize('names', ['ab', 'ba'])
def test_first_of_several_drain_requests_is_shown(names: str) -> None:
    entries = [samples.entry(name, samples.DRAIN) for name in names]
    snapshot = resolve_snapshot(entries)
    drain = snapshot.drain_document_of(samples.make_host('h', rack='r7'))
    assert drain is not None
    assert drain.name == 'a'


@pytest.mark.parametrize(
    ('entry', 'same'),
    [
        (DocumentEntry('a', 1, samples.MODEL.encode()), True),
        (DocumentEntry('a', 1, f'{samples.MODEL}# note'.encode()), True),
        (DocumentEntry('a', 2, samples.MODEL.encode()), False),
        (DocumentEntry('b', 1, samples.MODEL.encode()), False),
        (DocumentEntry('a', 1, samples.QUOTATION.encode()), False),
    ],
)
def test_digest_covers_name_revision_and_content(
    entry: DocumentEntry, same: bool
) -> None:
    known = DocumentEntry('a', 1, samples.MODEL.encode())
    digests = {resolve_snapshot([one]).digest for one in (known, entry)}
    assert (len(digests) == 1) is same


def test_drain_can_be_restricted_to_one_zone() -> None:
    snapshot = resolve_texts(f'{samples.DRAIN}zone = "zone-b"')
    here = samples.make_host('h', rack='r7')
    assert snapshot.drain_of(here) is None
    assert snapshot.drain_of(here._replace(zone='zone-b')) is not None


def test_published_labels_override_platform_labels() -> None:
    text = (
        'kind = "host-labels"\nteam = "x"\ntitle = "t"\n'
        'hosts.h = { rack = "r7", hall = "north" }'
    )
    labels = resolve_texts(text).labels_of(
        samples.make_host('h', rack='r1', a='b')
    )
    assert labels['rack'] == 'r7'
    assert labels['hall'] == 'north'
    assert labels['a'] == 'b'
    assert labels['zone'] == 'zone-a'


def scan(known: dict[str, RoutingIntent], labels: Labels) -> list[str]:
    return [
        name for name, body in known.items() if body.customers.matches(labels)
    ]


def read_intent(text: str) -> RoutingIntent:
    document = parse_document('doc', text.encode())
    assert isinstance(document, Document)
    assert isinstance(document.body, RoutingIntent)
    return document.body


class IndexMachine(RuleBasedStateMachine):
    """Adds and removes intents; a linear scan is the reference."""

    def __init__(self) -> None:
        super().__init__()
        self.index = SelectorIndex[RoutingIntent](lambda body: body.customers)
        self.known: dict[str, RoutingIntent] = {}

    @rule(name=st.sampled_from('abcdef'), text=st.none() | intents())
    def change(self, name: str, text: str | None) -> None:
        before = self.known.pop(name, None)
        if text is not None:
            self.known[name] = read_intent(text)
        changed = BodyChange(name, before, self.known.get(name))
        self.index = self.index.apply_changes((changed,))

    @rule(labels=st.dictionaries(KEYS, VALUES))
    def find_what_a_scan_finds(self, labels: dict[str, str]) -> None:
        found = sorted(
            document.name for document in self.index.matching(labels)
        )
        assert found == sorted(scan(self.known, labels))


TestIndexMachine = IndexMachine.TestCase
TestIndexMachine.settings = MACHINE_SETTINGS


@pytest.mark.parametrize('names', ['abc', 'cab', 'bca'])
def test_labels_of_one_host_follow_precedence_not_arrival(names: str) -> None:
    priorities = {'a': 1, 'b': 1, 'c': 0}
    entries = [
        samples.entry(
            name,
            f'kind = "host-labels"\nteam = "x"\ntitle = "t"\n'
            f'priority = {priorities[name]}\n[hosts.h]\nhall = "{name}"\n',
        )
        for name in names
    ]
    snapshot = resolve_snapshot(entries)
    assert snapshot.labels_of(samples.make_host('h'))['hall'] == 'a'


def test_deleted_document_is_not_in_force() -> None:
    entries = [
        *samples.base_entries(),
        DocumentEntry('doc-6', 2, deleted=True),
    ]
    drained = samples.make_host('b', rack='r7')
    assert resolve_snapshot(samples.base_entries()).drain_of(drained)
    assert resolve_snapshot(entries).drain_of(drained) is None
