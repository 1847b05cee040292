"""What takes longer than one wave: planned stops under load, the platform."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import chain
from threading import Event, Thread
from types import MappingProxyType
from typing import NamedTuple

from ospreyford.console.codes import ExitCode
from ospreyford.standins.fleet import ask, is_ready
from tests.processes.callers import (
    Ask,
    KeptConnection,
    Kind,
    SlowReader,
    Told,
    make_ask,
    make_ask_for,
    send,
)
from tests.processes.deployment import (
    ENGINE,
    ENGINES,
    ENTRIES,
    HOMES,
    VICTIM,
    Deployment,
)
from tests.processes.faults import (
    DRAIN_REQUEST,
    KILL_AGENT,
    LABELS,
    LEAVING,
    SILENCE,
    STOP_AGENT,
    Fault,
    pair,
)
from tests.processes.referee import Referee

#: A published drain request is in force within so many seconds.
DOCUMENT_SECONDS = 8.0
#: A leaving mark is, counted from when the host list shows it.
HOST_LIST_SECONDS = 5.0
#: An agent's own stop is: all of it lies in one process.
SIGNAL_SECONDS = 1.0
LAG_SECONDS = 3.0
#: The host list shows nothing new as long as any of this runs.
LONG_LAG_SECONDS = 600.0
SETTLE_SECONDS = 1.0
AFTER_SECONDS = 2.0
STOP_SECONDS = 20.0
#: An answer of 12 MB: more than is read while its caller takes nothing in.
#: Its tokens are wide, or its run would be a test of the machine's speed.
LONG_TOKENS = 6_000
#: An answer that ends long after a stopping entry turns connections away.
OUTLASTING_TOKENS = 400
FAST_STEP_MS = 0.001
STEP_MS = 5
#: Longer than both signals take, shorter than the callers' deadline.
SLOW = MappingProxyType({'type': 'delay', 'seconds': 4})
CUT_REQUESTS = 3
NEVER = 'planned stop, yet'


class Finding(NamedTuple):
    """What came of a scenario; ``measured`` in seconds or counts."""

    name: str
    outcomes: Counter[str]
    broken: list[str]
    measured: dict[str, float]


Scenario = Callable[[Deployment], Finding]


@contextmanager
def steady_load(rig: Deployment, told: list[Told]) -> Iterator[None]:
    """Have steady callers while the body runs; what they saw is appended."""
    stop = Event()
    pending = rig.crowd.press(stop, list(ENTRIES))
    try:
        time.sleep(SETTLE_SECONDS)
        yield
    finally:
        stop.set()
        for each in pending:
            told.extend(each.result())


def drain(rig: Deployment, fault: Fault, within: float) -> Finding:
    """Drain one plain service and one engine under load.

    Symptom looked for: new work at a back end long after it was to leave, or
    a request that the drain cut. Sequence: callers go on all the while.
    Cause: an entry that lags, or an agent that takes what such an entry sends.
    """
    told: list[Told] = []
    with steady_load(rig, told):
        struck = time.monotonic()
        fault.strike(rig)
        time.sleep(within + AFTER_SECONDS)
    last = max(_find_last_run(rig, name) for name in (VICTIM, ENGINE))
    finding = _judge(rig, fault.name, told, planned=True)
    finding.measured['in force after'] = max(last - struck, 0)
    if last > struck + within:
        finding.broken.append(f'new work {last - struck:.1f} s later')
    fault.heal(rig)
    _wait_until_whole(rig)
    return finding


def drain_by_document(rig: Deployment) -> Finding:
    """Drain by a published drain request."""
    return drain(rig, DRAIN_REQUEST, DOCUMENT_SECONDS)


def drain_by_host_list(rig: Deployment) -> Finding:
    """Drain by the leaving mark of a host list that lags."""
    hosts = rig.fleet.host_list
    rig.control_platform(hosts, {'lag_seconds': LAG_SECONDS})
    fault = LEAVING._replace(name=f'leaving mark, lag {LAG_SECONDS} s')

    def heal(rig: Deployment) -> None:
        rig.control_platform(hosts, {'lag_seconds': 0})
        LEAVING.heal(rig)

    within = LAG_SECONDS + HOST_LIST_SECONDS
    return drain(rig, fault._replace(heal=heal), within)


def drain_by_signal(rig: Deployment) -> Finding:
    """Drain by the agent's own stop."""
    return drain(rig, STOP_AGENT, SIGNAL_SECONDS)


def drain_while_silent(rig: Deployment) -> Finding:
    """Drain by a drain request while connections fall silent."""
    return drain(rig, pair(DRAIN_REQUEST, SILENCE), DOCUMENT_SECONDS)


def leave_while_silent(rig: Deployment) -> Finding:
    """Drain by a leaving mark while connections fall silent."""
    return drain(rig, pair(LEAVING, SILENCE), HOST_LIST_SECONDS)


def drain_without_platform(rig: Deployment) -> Finding:
    """Drain by the agent's own stop, which the platform never shows."""
    config, hosts = rig.fleet.config, rig.fleet.host_list
    rig.control_platform(config, {'mode': 'down'})
    rig.control_platform(hosts, {'lag_seconds': LONG_LAG_SECONDS})

    def heal(rig: Deployment) -> None:
        rig.control_platform(config, {'mode': 'up'})
        rig.control_platform(hosts, {'lag_seconds': 0})
        STOP_AGENT.heal(rig)

    fault = STOP_AGENT._replace(
        name='agent SIGTERM, platform down and lagging', heal=heal
    )
    return drain(rig, fault, SIGNAL_SECONDS)


def roll_everything(rig: Deployment) -> Finding:
    """Replace every agent and entry, one by one, under load."""
    told: list[Told] = []
    gaps: list[float] = []
    broken: list[str] = []
    with steady_load(rig, told):
        for name in tuple(rig.fleet.programs):
            began = time.monotonic()
            process = rig.find(name).process
            process.signal(signal.SIGTERM)
            if process.wait(STOP_SECONDS):
                broken.append(f'{name} ended with {process.exit_code}')
            rig.restart(name)
            gaps.append(time.monotonic() - began)
    finding = _judge(rig, 'rolling replacement', told, planned=True)
    finding.broken.extend(broken)
    finding.measured['longest stop to ready'] = max(gaps)
    _wait_until_whole(rig)
    return finding


def kill_under_load(rig: Deployment) -> Finding:
    """Kill an agent of each kind under load, and count the unknowns."""
    told: list[Told] = []
    with steady_load(rig, told):
        KILL_AGENT.strike(rig)
        killed = time.monotonic()
        time.sleep(SETTLE_SECONDS)
        ready = rig.restart(VICTIM)
        rig.restart(ENGINE)
        rig.wait_until_keys_run_at(VICTIM)
        gap = time.monotonic() - killed
    finding = _judge(rig, 'agent kill under load', told, planned=False)
    finding.measured['start to ready'] = ready
    finding.measured['kill to keys taken (1 s dead)'] = gap
    _wait_until_whole(rig)
    return finding


def stop_under_slow_reader(rig: Deployment) -> Finding:
    """Stop the engines' agents while a caller reads a long answer slowly.

    Symptom looked for: a planned stop cuts an answer whose run has ended.
    Sequence: the caller takes nothing in, so that the entry is held up in a
    write; the agents are stopped for longer than they wait for an entry's
    heartbeat. Cause: an entry that is silent while its caller is slow.
    """
    for name in ENGINES:
        rig.control_backend(name, {'step_ms': FAST_STEP_MS})
    entry = ENTRIES[0]
    broken = []
    with SlowReader(rig.crowd.entries[entry], LONG_TOKENS) as reader:
        rig.wait_for(
            lambda: any(_has_finished(rig, name, reader) for name in ENGINES),
            'the run ends',
        )
        for name in ENGINES:
            rig.find(name).process.signal(signal.SIGTERM)
        time.sleep(AFTER_SECONDS)
        if all(rig.find(name).process.exit_code == 0 for name in ENGINES):
            broken.append('no agent waited for the caller')
        told = reader.read_rest(entry)
    for name in ENGINES:
        if rig.find(name).process.wait(STOP_SECONDS):
            broken.append(f'{name} did not end well')
        rig.restart(name)
        rig.control_backend(name, {'step_ms': STEP_MS})
    finding = _judge(rig, 'agent SIGTERM, slow reader', [told], planned=True)
    finding.broken.extend(broken)
    _wait_until_whole(rig)
    return finding


def stop_entry_with_kept_connection(rig: Deployment) -> Finding:
    """Stop an entry while a kept connection carries a long answer.

    Symptom looked for: a stopping entry takes new work for as long as its
    connections bring some, up to the moment that it is cut. Sequence: the
    answer began before the stop and so did not say that it is the connection's
    last; it ends when new connections are turned away already, and its caller
    asks again. Cause: only an answer that begins after the stop ends its
    connection.
    """
    name = ENTRIES[0]
    process = rig.find(name).process
    broken = []
    with KeptConnection(name, rig.crowd.entries[name]) as caller:
        answer = caller.begin(make_ask(Kind.stream, OUTLASTING_TOKENS))
        process.signal(signal.SIGTERM)
        rig.wait_for(lambda: '"Draining"' in process.errors, f'{name} drains')
        if not answer.read().strip():
            broken.append('the answer was cut')
        told = caller.send(make_ask(Kind.rate))
        if told.outcome == 'answered':
            broken.append('new work on a kept connection')
    if process.wait(STOP_SECONDS):
        broken.append(f'{name} did not end well')
    rig.restart(name)
    finding = Finding('entry SIGTERM, kept connection', Counter(), broken, {})
    _wait_until_whole(rig)
    return finding


def signal_entry_twice(rig: Deployment) -> Finding:
    """Stop an entry, and stop it again before its answers are there."""
    return signal_twice(rig, ENTRIES[0])


def signal_agent_twice(rig: Deployment) -> Finding:
    """Stop an agent, and stop it again before its answers are there."""
    return signal_twice(rig, VICTIM)


def signal_twice(rig: Deployment, name: str) -> Finding:
    """Send a process a second SIGTERM while requests are under way.

    Symptom looked for: requests are cut and nothing says so, or another
    number than callers see; the process hangs; a caller's retry runs again.
    Sequence: requests with keys run; the first signal drains, the second
    cuts; the callers come again through another entry. Cause: a stop that
    only the first signal tells of, or that counts what is not in flight.
    """
    rig.control_backend(VICTIM, {'fault': dict(SLOW)})
    asks = [make_ask_for(VICTIM, HOMES) for _ in range(CUT_REQUESTS)]
    pending = [rig.crowd.send(one, ENTRIES[0]) for one in asks]
    rig.wait_for(lambda: _have_run(rig, asks), 'the requests run')
    process = rig.find(name).process
    process.signal(signal.SIGTERM)
    rig.wait_for(lambda: '"Draining"' in process.errors, f'{name} drains')
    process.signal(signal.SIGTERM)
    code = process.wait(STOP_SECONDS)
    words = process.errors
    told = [one.result() for one in pending]
    missed = sum(one.outcome != 'answered' for one in told)
    rig.control_backend(VICTIM, {'fault': None})
    rig.restart(name)
    told += [send(one, *_address(rig, ENTRIES[1])) for one in asks]
    finding = _judge(rig, f'{name}: second SIGTERM', told, planned=False)
    finding.measured['cut'] = missed
    finding.broken.extend(_find_unsaid(code, words, missed))
    _wait_until_whole(rig)
    return finding


def _find_unsaid(code: int, words: str, missed: int) -> Iterator[str]:
    if code != ExitCode.cut:
        yield f'exit code {code}'
    if missed != CUT_REQUESTS:
        yield f'{missed} callers had no answer, of {CUT_REQUESTS}'
    logged = f'"cut":{missed},"cause":"second signal"'
    for said in (logged, f'second signal: {missed} requests cut\n'):
        if said not in words:
            yield f'did not say {said}'


def notice_silence(rig: Deployment) -> Finding:
    """Send on a connection at rest that has gone silent."""
    told = []
    for _ in range(3):
        entry = ENTRIES[0]
        address = rig.crowd.entries[entry]
        told.append(send(make_ask_for(VICTIM, HOMES), entry, address))
        SILENCE.strike(rig)
        told.append(send(make_ask_for(VICTIM, HOMES), entry, address))
        SILENCE.heal(rig)
    finding = _judge(rig, 'silent connection at rest', told, planned=True)
    finding.broken.extend(
        f'a new connection would work, yet {each}'
        for each in told
        if each.outcome != 'answered'
    )
    silent = [each.ended - each.began for each in told[1::2]]
    finding.measured['answered after'] = max(silent)
    return finding


def start_entry_without_platform(rig: Deployment) -> Finding:
    """Start an entry while the configuration service is down.

    Symptom looked for: it admits under no or an old configuration, or never.
    """
    rig.control_platform(rig.fleet.config, {'mode': 'down'})
    broken = []
    expected = rig.read_picture(ENTRIES[1])[1]
    rig.find(ENTRIES[0]).process.kill()
    seconds = rig.restart(ENTRIES[0])
    if rig.read_picture(ENTRIES[0])[1] != expected:
        broken.append('ready under another configuration')
    address = rig.crowd.entries[ENTRIES[0]]
    told = [send(make_ask(kind), ENTRIES[0], address) for kind in Kind]
    rig.control_platform(rig.fleet.config, {'mode': 'up'})
    finding = _judge(
        rig, 'entry starts, configuration down', told, planned=True
    )
    finding.broken.extend(broken)
    finding.measured['start to ready'] = seconds
    return finding


def start_entry_without_hosts(rig: Deployment) -> Finding:
    """Start an entry while the whole platform is down."""
    for service in (rig.fleet.config, rig.fleet.host_list):
        rig.control_platform(service, {'mode': 'down'})
    rig.find(ENTRIES[0]).process.kill()
    program = rig.fleet.start_program(rig.find(ENTRIES[0]).host)
    rig.wait_for(lambda: _is_alive(rig), 'entry listens')
    address = rig.crowd.entries[ENTRIES[0]]
    told = [send(make_ask(kind), ENTRIES[0], address) for kind in Kind]
    for service in (rig.fleet.config, rig.fleet.host_list):
        rig.control_platform(service, {'mode': 'up'})
    rig.wait_for(lambda: is_ready(program), 'entry ready')
    return _judge(rig, 'entry starts, platform down', told, planned=False)


def publish_while_stale(rig: Deployment) -> Finding:
    """Publish while readers meet old replicas, and start an entry among them.

    Symptom looked for: a process goes back to an older configuration.
    """
    config = rig.fleet.config
    told: list[Told] = []
    with steady_load(rig, told):
        for mode in ('stale', 'flap', 'down', 'stale'):
            rig.control_platform(config, {'mode': 'up'})
            _publish_power(rig, 'labels-stale', mode)
            _wait_until_same(rig)
            rig.control_platform(config, {'mode': mode})
            _publish_power(rig, 'labels-stale', f'after-{mode}')
            rig.find(ENTRIES[0]).process.kill()
            rig.restart(ENTRIES[0])
        rig.control_platform(config, {'mode': 'up'})
        began = time.monotonic()
        _wait_until_same(rig)
    finding = _judge(rig, 'stale, flapping and down', told, planned=False)
    finding.measured['same everywhere after'] = time.monotonic() - began
    finding.broken.extend(_find_reversions(rig))
    return finding


def race_operators(rig: Deployment) -> Finding:
    """Publish documents that contradict each other at once."""
    racers = [
        Thread(target=_publish_power, args=(rig, name, power))
        for name in ('labels-race', 'labels-other')
        for power in ('feed-8', 'feed-9')
    ]
    began = time.monotonic()
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    _wait_until_same(rig)
    finding = Finding('two operators race', Counter(), [], {})
    finding.measured['same everywhere after'] = time.monotonic() - began
    finding.broken.extend(_find_reversions(rig))
    return finding


SCENARIOS: tuple[Scenario, ...] = (
    drain_by_document,
    drain_by_host_list,
    drain_by_signal,
    drain_without_platform,
    drain_while_silent,
    leave_while_silent,
    stop_under_slow_reader,
    stop_entry_with_kept_connection,
    roll_everything,
    kill_under_load,
    signal_entry_twice,
    signal_agent_twice,
    notice_silence,
    start_entry_without_platform,
    start_entry_without_hosts,
    publish_while_stale,
    race_operators,
)
#: Listed in KNOWN-RED.txt with its cause; run and printed, not counted.
KNOWN_RED: tuple[Scenario, ...] = ()
QUICK_SCENARIOS: tuple[Scenario, ...] = (
    drain_by_signal,
    stop_entry_with_kept_connection,
    notice_silence,
    start_entry_without_platform,
    race_operators,
)


def _judge(
    rig: Deployment, name: str, told: list[Told], *, planned: bool
) -> Finding:
    referee = Referee(told, rig.read_journal())
    broken = [
        each for found in referee.find_broken().values() for each in found
    ]
    outcomes = Counter(
        chain.from_iterable(
            referee.count_outcomes(kind).elements() for kind in Kind
        )
    )
    if planned:
        broken += [f'{NEVER} {one}' for one in told if _is_cut(referee, one)]
    unknown = sum(one.outcome == 'unknown' for one in told)
    return Finding(name, outcomes, broken, {'unknown': unknown})


def _is_cut(referee: Referee, told: Told) -> bool:
    match told.outcome:
        case 'cut':
            return True
        case 'lost':
            # A connection that the stopping entry never accepted ends so,
            # too; its request did not run.
            return bool(referee.runs[told.ask.tag])
        case 'unknown':
            # A key whose home is away for its replacement cannot be judged.
            return not told.ask.key
        case _:
            return False


def _find_last_run(rig: Deployment, name: str) -> float:
    journal = ask(rig.fleet.backends[name].port, '/journal')
    return max((entry['at'] for entry in journal), default=0)


def _wait_until_whole(rig: Deployment) -> None:
    for entry in ENTRIES:
        rig.wait_until_answered_by(entry)
    for name in (VICTIM, ENGINE):
        rig.wait_until_served_by(name)
    for home in HOMES:
        rig.wait_until_keys_run_at(home)


def _has_finished(rig: Deployment, name: str, reader: SlowReader) -> bool:
    return any(
        entry['event'] == 'finished'
        and entry['note']['tokens'] == reader.ask.tokens
        for entry in ask(rig.fleet.backends[name].port, '/journal')
    )


def _have_run(rig: Deployment, asks: list[Ask]) -> bool:
    runs = Referee([], rig.read_journal()).runs
    return all(runs[one.tag] for one in asks)


def _address(rig: Deployment, entry: str) -> tuple[str, str]:
    return entry, rig.crowd.entries[entry]


def _is_alive(rig: Deployment) -> bool:
    address = rig.crowd.entries[ENTRIES[0]]
    told = send(make_ask(Kind.rate), ENTRIES[0], address)
    return told.outcome not in {'refused', 'lost'}


def _publish_power(rig: Deployment, name: str, power: str) -> None:
    rig.publish(name, f'{LABELS}[hosts.{VICTIM}]\npower = "{power}"\n')


def _wait_until_same(rig: Deployment) -> None:
    service = rig.fleet.config

    def is_same() -> bool:
        journal = ask(service.port, '/journal')
        published = max(entry['note']['revision'] for entry in journal)
        # A document that changes nothing brings no new digest, so only the
        # entries' own word on the revision tells that it has arrived.
        oldest = min(rig.read_revision(name) for name in ENTRIES)
        digests = {rig.read_picture(name)[1] for name in rig.fleet.programs}
        return len(digests) == 1 and oldest >= published

    rig.wait_for(is_same, 'one configuration everywhere')


def _find_reversions(rig: Deployment) -> list[str]:
    broken = []
    for name in rig.fleet.programs:
        revisions = [revision for revision, _ in rig.list_pictures(name)]
        if revisions != sorted(revisions):
            broken.append(f'{name} went back: {revisions}')
    return broken
