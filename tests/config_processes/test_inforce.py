"""Configuration over the product's own processes.

The configuration service's call log is the referee for the rate, a picture
that the test resolves by itself for what must be in force, and the back ends'
journals for what ran.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from ospreyford.standins.asking import Ask, Told, ask_entry
from ospreyford.standins.fleet import Program
from ospreyford.standins.launcher import Launcher
from tests.config_processes.rig import (
    CALLS_PER_SECOND,
    LIMIT,
    SERVICE,
    Rig,
)

CUSTOMER = 'home-carrier-stations'
PAUSE_SECONDS = 4.0
RACERS = 8
INTENT = 'intent-order-desk'


@pytest.fixture(scope='module')
def started(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Rig]:
    with Launcher() as launcher:
        rig = Rig(launcher, tmp_path_factory.mktemp('fleet'))
        rig.fleet.start()
        yield rig


@pytest.fixture
def rig(started: Rig) -> Rig:
    started.restore()
    return started


def order_once(entry: Program) -> Told:
    request = Ask(CUSTOMER, 'order-desk', 'POST', '/orders', b'{}', '')
    return ask_entry(entry, request)


def test_change_is_in_force_everywhere(rig: Rig) -> None:
    before = sum(rig.count_calls())
    for number in range(1, 4):
        rig.publish_limit(number)
        rig.await_in_force()
    assert sum(rig.count_calls()) > before


@pytest.mark.parametrize('mode', ['stale', 'flap', 'down'])
def test_fresh_process_beside_a_bad_service(rig: Rig, mode: str) -> None:
    """Symptom: a replaced host works under a withdrawn document.

    The service serves an old replica, or old and new in turn, or nothing;
    a change spreads among the processes, one of which is then replaced.
    """
    rig.control(mode='stale')
    rig.publish_limit(100)
    rig.control(mode='flap')
    rig.await_in_force()
    rig.control(mode=mode)
    rig.replace(rig.programs[0])
    rig.await_in_force()


def test_entry_that_slept_through_a_change(rig: Rig) -> None:
    """Symptom: a request runs under an intent that was withdrawn before.

    An entry is stopped; the intent is deleted, and all others know. A request
    waits in the entry's socket when it goes on, and is read before the first
    message of a peer.
    """
    entry = rig.fleet.list_entries()[0]
    assert order_once(entry).outcome == 'answered'
    ran = len(rig.fleet.read_journals('order-desk'))
    others = [one for one in rig.programs if one is not entry]
    text = rig.fleet_text(INTENT)
    entry.process.pause()
    rig.delete(INTENT)
    rig.await_in_force(others)
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(order_once, entry)
        time.sleep(PAUSE_SECONDS)
        entry.process.resume()
        told = waiting.result()
    assert told.outcome == 'not-run'
    assert len(rig.fleet.read_journals('order-desk')) == ran
    rig.await_in_force()
    rig.publish(INTENT, text)
    rig.await_in_force()
    assert order_once(entry).outcome == 'answered'


def test_replacement_of_everybody_beside_a_stale_service(rig: Rig) -> None:
    """Symptom: the fleet goes back to a withdrawn document, host by host.

    The service serves an old replica for long; every process is replaced in
    turn, until nobody is left who has seen the newest document published.
    """
    rig.control(mode='stale')
    rig.publish_limit(200)
    rig.control(mode='flap')
    rig.await_in_force()
    rig.control(mode='stale')
    saw = {one.process.pid for one in rig.programs}
    for program in rig.programs:
        rig.replace(program)
    assert not saw & {one.process.pid for one in rig.programs}
    rig.await_in_force()


def test_malformed_document_changes_nothing_else(rig: Rig) -> None:
    """Symptom: a typing error of one team takes documents out of force.

    The newest revision of a document is no TOML; a process that starts
    afterwards is told of that one and must hold the last good one as well.
    """
    good = rig.resolver.snapshot.service('order-desk')
    rig.publish(SERVICE, 'kind = "service')
    assert rig.resolver.snapshot.service('order-desk') == good
    rig.await_in_force()
    fresh = rig.replace(rig.programs[0])
    rig.await_in_force()
    for program in (fresh, *rig.fleet.list_entries()):
        rejected = rig.read(program)['rejected']
        assert [one['name'] for one in rejected] == [SERVICE]
    assert order_once(rig.fleet.list_entries()[0]).outcome == 'answered'
    rig.publish(SERVICE, rig.fleet_text(SERVICE))
    rig.await_in_force()
    assert not rig.read(fresh)['rejected']


def test_operators_who_race(rig: Rig) -> None:
    """Symptom: two processes hold different texts of one document.

    Operators publish the same name at the same moment, again and again.
    """
    together = threading.Barrier(RACERS)

    def publish(number: int) -> tuple[int, str]:
        text = LIMIT.format(number=300 + number)
        together.wait()
        name = 'limit-default'
        return rig.control(publish={'name': name, 'text': text}), text

    with ThreadPoolExecutor(RACERS) as pool:
        published = list(pool.map(publish, range(RACERS)))
    for revision, text in sorted(published):
        rig.note('limit-default', revision, text)
    rig.await_in_force()


def test_calls_to_the_service(rig: Rig) -> None:
    """The call log of all that went before; last of this module."""
    assert max(rig.count_calls()) <= CALLS_PER_SECOND
