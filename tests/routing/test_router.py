from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from ospreyford.ports.fleet import Host, HostState, LoadReport
from ospreyford.routing.query import (
    AllLeaving,
    Choice,
    DeadlinePassed,
    NoBackend,
    NoCandidate,
    Outcome,
    Overloaded,
    Priority,
    Reason,
)
from ospreyford.routing.router import Router
from tests.routing.factories import (
    make_host,
    make_hosts,
    make_query,
    make_router,
)

DRAINING = LoadReport(incarnation='1', draining=True)


def choose_name(
    router: Router, hosts: tuple[Host, ...], now: float = 0, **fields: Any
) -> str:
    """Choose a backend and return its name."""
    choice = router.choose(make_query(**fields), hosts, now)
    assert isinstance(choice, Choice)
    return choice.host.name


def count_choices(
    router: Router, hosts: tuple[Host, ...], now: float, times: int = 300
) -> Counter[str]:
    """Choose repeatedly without sending, and count choices by name."""
    names: Counter[str] = Counter()
    for _ in range(times):
        names[choose_name(router, hosts, now)] += 1
    return names


@pytest.mark.parametrize(
    ('hosts', 'fields', 'reason'),
    [
        ((), {}, NoCandidate()),
        ((make_host(1),), {'service': 'other'}, NoCandidate()),
        ((make_host(1),), {'version': '2'}, NoCandidate()),
        ((make_host(1),), {'adapter': 'meals'}, NoCandidate()),
        ((make_host(1, state=HostState.leaving),), {}, NoCandidate()),
        (
            (make_host(1),),
            {'excluded': frozenset(('backend-1',))},
            AllLeaving(),
        ),
        ((make_host(1),), {'deadline': 5}, DeadlinePassed()),
    ],
)
def test_reports_why_there_is_no_backend(
    hosts: tuple[Host, ...], fields: dict[str, Any], reason: Reason
) -> None:
    answer = make_router().choose(make_query(**fields), hosts, 5)
    assert isinstance(answer, NoBackend)
    assert answer.reason == reason


@pytest.mark.parametrize(
    ('labels', 'fields'),
    [
        ({'model-version': '2'}, {'version': '2'}),
        ({'adapters': 'trays meals'}, {'adapter': 'meals'}),
    ],
)
def test_matches_labels(labels: dict[str, str], fields: dict[str, Any]) -> None:
    hosts = (make_host(1), make_host(2, labels=labels))
    assert choose_name(make_router(), hosts, **fields) == 'backend-2'


def test_draining_backend_gets_no_requests() -> None:
    """Guards against a late report clearing the draining state."""
    router = make_router()
    hosts = (make_host(1), make_host(2))
    router.choose(make_query(), hosts, 0)
    router.record_load('backend-1', DRAINING, 10)
    late = LoadReport(incarnation='1', age_seconds=5)
    router.record_load('backend-1', late, 11)
    assert set(count_choices(router, hosts, 11)) == {'backend-2'}
    router.record_load('backend-2', DRAINING, 11)
    answer = router.choose(make_query(), hosts, 11)
    assert isinstance(answer, NoBackend)
    assert answer.reason == AllLeaving()


def test_report_of_an_earlier_incarnation_is_refused() -> None:
    """Guards against a late report of a process that was replaced."""
    router = make_router()
    hosts = (make_host(1),)
    router.choose(make_query(), hosts, 0)
    router.record_load('backend-1', DRAINING, 10)
    router.record_load('backend-1', LoadReport(incarnation='2'), 11)
    router.record_load('backend-1', DRAINING, 12)
    assert isinstance(router.choose(make_query(), hosts, 12), Choice)


def test_load_bound_depends_on_priority() -> None:
    hosts = (make_host(1),)
    router = make_router(max_load=10)
    verdicts: dict[Priority, int] = {}
    router.choose(make_query(), hosts, 0)
    for in_flight in range(11):
        for priority in Priority:
            answer = router.choose(make_query(priority=priority), hosts, 0)
            if isinstance(answer, NoBackend):
                assert answer.reason == Overloaded(priority)
                verdicts.setdefault(priority, in_flight)
        router.record_sent('backend-1', 0)
    assert verdicts == {
        Priority.low: 7,
        Priority.normal: 9,
        Priority.high: 10,
    }


def test_own_zone_first_and_spills_over() -> None:
    hosts = make_hosts(9)
    router = make_router()
    local = {host.name for host in hosts if host.zone == 'a'}
    assert set(count_choices(router, hosts, 0)) == local
    for name in local:
        for _ in range(4):
            router.record_sent(name, 0)
    assert not set(count_choices(router, hosts, 0)) & local


def test_old_reports_decay_to_the_mean() -> None:
    """Guards against a backend that stopped reporting looking idle."""
    hosts = make_hosts(4, 'a')
    router = make_router(choices=4)
    router.choose(make_query(), hosts, 0)
    for second in range(0, 30, 2):
        for number in range(4 if second == 0 else 3):
            busy = LoadReport(incarnation='1', in_flight=9 + number)
            router.record_load(f'backend-{number}', busy, second)
    assert set(count_choices(router, hosts, 30)) == {'backend-0'}


def test_late_report_hides_no_remote_load() -> None:
    """Guards against subtracting requests sent after the measurement."""
    hosts = make_hosts(2, 'a')
    router = make_router()
    router.choose(make_query(), hosts, 0)
    for number, name in enumerate(('backend-0', 'backend-1')):
        for _ in range(4 + number):
            router.record_sent(name, 9)
    late = LoadReport(incarnation='1', in_flight=4, age_seconds=2)
    router.record_load('backend-0', late, 10)
    idle = LoadReport(incarnation='1', in_flight=0, age_seconds=2)
    router.record_load('backend-1', idle, 10)
    assert set(count_choices(router, hosts, 10)) == {'backend-1'}


def test_report_older_than_the_residence_time_has_little_weight() -> None:
    """Guards against load oscillation between backends of short requests."""
    hosts = make_hosts(2, 'a')
    router = make_router()
    router.choose(make_query(), hosts, 0)
    for number in range(40):
        name = f'backend-{number % 2}'
        router.record_sent(name, number)
        router.record_finished(name, Outcome.answered, 0.01, number + 0.01)
    for name, load in (('backend-0', 20), ('backend-1', 0)):
        old = LoadReport(incarnation='1', in_flight=load, age_seconds=0.5)
        router.record_load(name, old, 41)
    router.record_sent('backend-1', 41)
    assert set(count_choices(router, hosts, 41)) == {'backend-0'}


def test_stale_reports_do_not_refuse_forever() -> None:
    """Guards against refusing requests by stale reports of full load."""
    hosts = make_hosts(4, 'a')
    router = make_router(max_load=64)
    router.choose(make_query(), hosts, 0)
    for host in hosts:
        full = LoadReport(incarnation='1', in_flight=64)
        router.record_load(host.name, full, 0)
    assert isinstance(router.choose(make_query(), hosts, 0.1), NoBackend)
    assert isinstance(router.choose(make_query(), hosts, 30), Choice)


def test_prefix_keeps_its_backend_until_it_is_loaded() -> None:
    hosts = make_hosts(9)
    router = make_router()
    affine = choose_name(router, hosts, prefix=b'letter')
    router.record_sent(affine, 0)
    assert choose_name(router, hosts, prefix=b'letter') == affine
    for _ in range(4):
        router.record_sent(affine, 0)
    assert choose_name(router, hosts, prefix=b'letter') != affine


def test_prefix_spills_only_beyond_the_affinity_gain() -> None:
    """Guards against spilling by load alone, which thrashes prefix caches."""
    hosts = make_hosts(12, 'a')
    router = make_router(affinity_gain=6, choices=12)
    chosen = []
    for _ in range(60):
        chosen.append(choose_name(router, hosts, prefix=b'letter'))
        router.record_sent(chosen[-1], 0)
    assert len(set(chosen[:16])) == 4
    assert len(set(chosen)) == 12


def test_prefix_waits_for_its_backends_under_overload() -> None:
    """Guards against cache misses on the last free capacity."""
    hosts = make_hosts(12, 'a')
    router = make_router(max_load=20, affinity_gain=6)
    router.choose(make_query(), hosts, 0)
    for host in hosts:
        for _ in range(13):
            router.record_sent(host.name, 0)
    names = []
    for _ in range(60):
        choice = router.choose(make_query(prefix=b'x'), hosts, 0)
        if isinstance(choice, Choice):
            names.append(choice.host.name)
            router.record_sent(names[-1], 0)
    assert len(set(names)) == 4
    assert len(names) < 30
    assert isinstance(router.choose(make_query(), hosts, 0), Choice)


def test_new_backend_starts_slowly() -> None:
    """Guards against overloading a new backend while its caches are cold."""
    hosts = make_hosts(4, 'a')
    router = make_router(slow_start_seconds=20)
    router.choose(make_query(), hosts, 0)
    for host in hosts:
        for _ in range(4):
            router.record_sent(host.name, 0)
    replaced = (*hosts[:3], hosts[3]._replace(instance='i-new'))
    early = count_choices(router, replaced, 5)
    assert early['backend-3'] == 0
    late = count_choices(router, replaced, 24)
    assert late['backend-3'] > 100


def test_failing_backend_is_ejected_probed_and_readmitted() -> None:
    hosts = make_hosts(4, 'a')
    router = make_router()
    router.choose(make_query(), hosts, 0)
    for _ in range(5):
        router.record_finished('backend-0', Outcome.failed, 1, 0)
    assert 'backend-0' not in count_choices(router, hosts, 4)
    for _ in range(3):
        assert choose_name(router, hosts, 5) == 'backend-0'
        unsafe = choose_name(router, hosts, 5, idempotent=False)
        assert unsafe != 'backend-0'
        router.record_sent('backend-0', 5)
        assert 'backend-0' not in count_choices(router, hosts, 5)
        router.record_finished('backend-0', Outcome.answered, 1, 5)
    assert 'backend-0' in count_choices(router, hosts, 6)


def test_straggler_is_ejected() -> None:
    """Guards against keeping a backend that is slow but does not fail."""
    hosts = make_hosts(4, 'a')
    router = make_router()
    router.choose(make_query(), hosts, 0)
    for _ in range(11):
        for host in hosts:
            slow = 6 if host.name == 'backend-2' else 1
            router.record_finished(host.name, Outcome.answered, slow, 0)
    assert 'backend-2' not in count_choices(router, hosts, 1)


def test_panic_ignores_ejection() -> None:
    """Guards against ejecting most backends for a local network fault."""
    hosts = make_hosts(4, 'a')
    router = make_router()
    router.choose(make_query(), hosts, 0)
    for host in hosts[:3]:
        for _ in range(5):
            router.record_finished(host.name, Outcome.failed, 1, 0)
    assert len(count_choices(router, hosts, 1)) == 4
