from __future__ import annotations

import pytest

from ospreyford.documents.checking import (
    CheckWarning,
    WarningKind,
    check_documents,
)
from ospreyford.documents.conflicts import Rule
from ospreyford.documents.explanation import explain
from ospreyford.documents.mismatches import TermFailed
from ospreyford.documents.resolver import resolve_snapshot
from ospreyford.documents.routes import NoRoute, Route, UnknownCustomer
from ospreyford.documents.selectors import Equals
from ospreyford.documents.verdicts import (
    CustomerNotSelected,
    Draining,
    HostVerdict,
    Leaving,
    LostTo,
    PoolMembers,
    PoolMissing,
    PoolOfOtherService,
    ServiceNotSelected,
    Usable,
    Won,
)
from ospreyford.ports.fleet import Host, HostState
from tests.documents import samples

LARGE = samples.INTENT.replace(
    '{ everything = true }', '{ labels.size = "large" }'
).replace(
    'pools = ["drafting-main"]',
    'pools = ["drafting-main", "nowhere", "quotes"]',
)
SMALL = LARGE.replace('"large"', '"small"')
OTHER = samples.INTENT.replace('"drafting"', '"quotation"')
QUOTES = samples.POOL.replace('"drafting"', '"quotation"').replace(
    'drafting-main', 'quotes'
)
SNAPSHOT = resolve_snapshot(
    [
        *samples.base_entries(),
        samples.entry('intent-large', LARGE),
        samples.entry('intent-small', SMALL),
        samples.entry('intent-other', OTHER),
        samples.entry('pool-quotes', QUOTES),
    ]
)


def test_explanation_says_why_each_intent_counts_or_not() -> None:
    explanation = explain(SNAPSHOT, (), 'soum-clerks', 'drafting')
    assert isinstance(explanation.route, Route)
    verdicts = {
        outcome.document: outcome.verdict for outcome in explanation.intents
    }
    assert verdicts == {
        'intent-large': Won(),
        'doc-4': LostTo('intent-large', Rule.more_specific),
        'intent-small': CustomerNotSelected(
            TermFailed(Equals(label='size', value='small'), 'large')
        ),
        'intent-other': ServiceNotSelected(
            TermFailed(Equals(label='service', value='quotation'), 'drafting')
        ),
    }


def test_explanation_says_which_pools_count() -> None:
    explanation = explain(SNAPSHOT, (), 'soum-clerks', 'drafting')
    assert [outcome.verdict for outcome in explanation.pools] == [
        PoolMembers('doc-2', ()),
        PoolMissing(),
        PoolOfOtherService('quotation'),
    ]


@pytest.mark.parametrize(
    ('host', 'verdict'),
    [
        (samples.make_host('h', accelerator='large'), Usable()),
        (
            samples.make_host('h', accelerator='small'),
            TermFailed(Equals(label='accelerator', value='large'), 'small'),
        ),
        (
            samples.make_host('h', accelerator='large', rack='r7'),
            Draining('doc-6', 'power works'),
        ),
        (
            samples.make_host('h', accelerator='large')._replace(
                state=HostState.leaving
            ),
            Leaving(),
        ),
    ],
)
def test_explanation_says_why_a_host_is_used_or_not(
    host: Host, verdict: HostVerdict
) -> None:
    elsewhere = host._replace(service='quotation')
    explanation = explain(
        SNAPSHOT, (host, elsewhere), 'soum-clerks', 'drafting'
    )
    members = explanation.pools[0].verdict
    assert isinstance(members, PoolMembers)
    assert [outcome.verdict for outcome in members.hosts] == [verdict]


def test_explanation_of_an_unknown_customer() -> None:
    explanation = explain(SNAPSHOT, (), 'nobody', 'drafting')
    assert explanation.route == NoRoute(UnknownCustomer('nobody'))
    assert explanation.pools == ()
    assert explanation.limit is None


NOBODY = samples.LIMIT.replace(
    '{ everything = true }', '{ labels.size = "tiny" }'
)
DATE = '2026-01-01T00:00:00Z'
WEIGHTS = (
    'kind = "placement-weights"\nteam = "x"\ntitle = "t"\nservice = "weather"'
)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (NOBODY, CheckWarning('new', WarningKind.selects_no_customer)),
        (
            samples.INTENT.replace('"drafting"', '"weather"'),
            CheckWarning('new', WarningKind.selects_no_service, 'weather'),
        ),
        (
            samples.INTENT.replace('-main', '-spare'),
            CheckWarning('new', WarningKind.unknown_pool, 'drafting-spare'),
        ),
        (OTHER, CheckWarning('new', WarningKind.pool_of_other_service)),
        (
            samples.POOL.replace('"drafting"', '"weather"'),
            CheckWarning('new', WarningKind.unknown_service, 'weather'),
        ),
        (WEIGHTS, CheckWarning('new', WarningKind.unknown_service, 'weather')),
        (
            f'{samples.POOL}homes = ["h9"]',
            CheckWarning('new', WarningKind.unknown_home, 'h9'),
        ),
        (
            f'{samples.POOL}new_homes = [{{ name = "h8", since = {DATE} }}]',
            CheckWarning('new', WarningKind.unknown_home, 'h8'),
        ),
        (
            samples.DRAIN.replace('r7', 'r8'),
            CheckWarning('new', WarningKind.selects_no_host),
        ),
        (
            f'{samples.DRAIN}zone = "zone-b"',
            CheckWarning('new', WarningKind.selects_no_host),
        ),
        (
            samples.POOL.replace('-main', '-spare').replace('large', 'tiny'),
            CheckWarning('new', WarningKind.selects_no_host),
        ),
    ],
)
def test_check_warns_of_ineffective_documents(
    text: str, expected: CheckWarning
) -> None:
    assert expected not in _warnings(())
    assert expected in _warnings((('new', text.encode()),))


def test_check_names_services_without_homes_and_repeated_names() -> None:
    warnings = _warnings((('doc-0', samples.MODEL.encode()),))
    assert (
        CheckWarning('doc-1', WarningKind.service_without_homes, 'quotation')
        in warnings
    )
    assert CheckWarning('doc-0', WarningKind.same_name_twice) in warnings


def test_check_reports_what_is_rejected() -> None:
    report = check_documents([('broken', b'kind = 1')])
    assert [rejected.name for rejected in report.rejected] == ['broken']
    assert report.documents == 1


def _warnings(more: tuple[tuple[str, bytes], ...]) -> list[CheckWarning]:
    files = [(entry.name, entry.text) for entry in samples.base_entries()]
    hosts = [samples.make_host('h', accelerator='large', rack='r7')]
    found = check_documents([*files, *more], hosts).warnings
    # The expected warnings omit the pool name.
    return [
        warning._replace(subject='')
        if warning.kind is WarningKind.pool_of_other_service
        else warning
        for warning in found
    ]
