"""Faults of processes, links and the platform, and how each is ended.

Those of agents, back ends and links hit one plain service and one engine,
those of entries hit the first one.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import NamedTuple

from ospreyford.standins.hostlist import publish_host
from tests.processes.deployment import ENGINE, ENTRIES, VICTIM, Deployment

#: Longer than silence, recovery and orphan times of entry and agent together.
PAUSE_SECONDS = 4.0
KILL_SECONDS = 0.8
END_SECONDS = 20.0
#: Beyond the deadline of the callers' requests.
DEADLINE_SECONDS = 6.5
LABELS = """
kind = "host-labels"
team = "test"
title = "Hosts that are looked after now"
"""

Action = Callable[[Deployment], None]


class Fault(NamedTuple):
    """One fault.

    ``hold`` is how long it lasts, in seconds. ``early``: it begins before the
    requests are sent, else while they run. ``planned``: a planned stop, or
    nothing that a request in flight may notice.
    """

    name: str
    strike: Action
    heal: Action
    hold: float = KILL_SECONDS
    early: bool = False
    planned: bool = False


def pair(first: Fault, second: Fault) -> Fault:
    """Join two faults that overlap, the second ending first."""

    def strike(rig: Deployment) -> None:
        first.strike(rig)
        second.strike(rig)

    def heal(rig: Deployment) -> None:
        second.heal(rig)
        first.heal(rig)

    return Fault(
        f'{first.name} + {second.name}',
        strike,
        heal,
        max(first.hold, second.hold),
        first.early and second.early,
        first.planned and second.planned,
    )


def _kill(*names: str) -> Action:
    def strike(rig: Deployment) -> None:
        for name in names:
            rig.find(name).process.kill()

    return strike


def _restart(*names: str) -> Action:
    def heal(rig: Deployment) -> None:
        for name in names:
            rig.restart(name)

    return heal


def _pause(*names: str) -> Action:
    def strike(rig: Deployment) -> None:
        for name in names:
            rig.find(name).process.pause()

    return strike


def _resume(*names: str) -> Action:
    def heal(rig: Deployment) -> None:
        for name in names:
            rig.find(name).process.resume()

    return heal


def _terminate(*names: str) -> Action:
    def strike(rig: Deployment) -> None:
        for name in names:
            rig.find(name).process.signal(signal.SIGTERM)

    return strike


def _await_end(*names: str) -> Action:
    def heal(rig: Deployment) -> None:
        for name in names:
            code = rig.find(name).process.wait(END_SECONDS)
            if code:
                rig.problems.append(f'{name} ended with {code}')
            rig.restart(name)

    return heal


def _spoil(plain: object, engine: object) -> Action:
    def change(rig: Deployment) -> None:
        rig.control_backend(VICTIM, plain)
        rig.control_backend(ENGINE, engine)

    return change


def _replace_backends(rig: Deployment) -> None:
    # Also ends the calls that hang in it.
    rig.replace_backend(VICTIM)
    rig.replace_backend(ENGINE)


def _link(change: object) -> Action:
    def strike(rig: Deployment) -> None:
        rig.control_link(VICTIM, change)
        rig.control_link(ENGINE, change)

    return strike


def _platform(config: str, hosts: str) -> Action:
    def change(rig: Deployment) -> None:
        rig.control_platform(rig.fleet.config, {'mode': config})
        rig.control_platform(rig.fleet.host_list, {'mode': hosts})

    return change


def request_drain(rig: Deployment) -> None:
    """Publish the label that a drain request selects."""
    rows = [f'[hosts.{name}]\nmaintenance = "now"' for name in (VICTIM, ENGINE)]
    rig.publish('labels-maintenance', LABELS + '\n'.join(rows))


def withdraw_drain(rig: Deployment) -> None:
    """Withdraw what :func:`request_drain` published."""
    rig.control_platform(rig.fleet.config, {'delete': 'labels-maintenance'})


def mark_leaving(rig: Deployment) -> None:
    """Mark the hosts as leaving in the host list."""
    for name in (VICTIM, ENGINE):
        rig.control_platform(rig.fleet.host_list, {'leave': name})


def unmark_leaving(rig: Deployment) -> None:
    """Have the host list show the hosts as live again."""
    for name in (VICTIM, ENGINE):
        host = rig.list_host(name)
        rig.control_platform(rig.fleet.host_list, {'add': publish_host(host)})


def _replace_leaving(rig: Deployment) -> None:
    # Leaving is for good: only a fresh process comes back.
    unmark_leaving(rig)
    STOP_AGENT.strike(rig)
    STOP_AGENT.heal(rig)


_AGENTS = (VICTIM, ENGINE)
_ENTRY = ENTRIES[0]
_mend_backends = _spoil(
    {'fault': None}, {'stalled': False, 'cut_after_tokens': -1}
)
_mend_links = _link({'mode': 'forward'})

KILL_AGENT = Fault('agent kill', _kill(*_AGENTS), _restart(*_AGENTS))
PAUSE_AGENT = Fault(
    'agent pause, late wake',
    _pause(*_AGENTS),
    _resume(*_AGENTS),
    PAUSE_SECONDS,
)
KILL_ENTRY = Fault('entry kill', _kill(_ENTRY), _restart(_ENTRY))
PAUSE_ENTRY = Fault(
    'entry pause, late wake', _pause(_ENTRY), _resume(_ENTRY), PAUSE_SECONDS
)
STOP_AGENT = Fault(
    'agent SIGTERM', _terminate(*_AGENTS), _await_end(*_AGENTS), planned=True
)
STOP_ENTRY = Fault(
    'entry SIGTERM', _terminate(_ENTRY), _await_end(_ENTRY), planned=True
)
SILENCE = Fault('silent connections', _link({'mode': 'silent'}), _mend_links)
SILENT_IDLE = SILENCE._replace(name='silent idle connections', early=True)
PLATFORM_DOWN = Fault(
    'platform down',
    _platform('down', 'down'),
    _platform('up', 'up'),
    planned=True,
)
DRAIN_REQUEST = Fault(
    'drain request', request_drain, withdraw_drain, 3, planned=True
)
LEAVING = Fault('leaving mark', mark_leaving, _replace_leaving, 3, planned=True)

SINGLES = (
    KILL_AGENT,
    PAUSE_AGENT,
    PAUSE_AGENT._replace(name='agent paused before', early=True),
    KILL_ENTRY,
    PAUSE_ENTRY,
    Fault('back end kill', _replace_backends, _mend_backends),
    Fault(
        'back end hangs',
        _spoil({'fault': {'type': 'hang'}}, {'stalled': True}),
        _replace_backends,
        DEADLINE_SECONDS,
        early=True,
    ),
    Fault(
        'back end hangs before it runs',
        _spoil(
            {'fault': {'type': 'hang', 'before_run': True}}, {'stalled': True}
        ),
        _replace_backends,
        DEADLINE_SECONDS,
        early=True,
    ),
    Fault(
        'back end closes after the run',
        _spoil({'fault': {'type': 'close'}}, {'cut_after_tokens': 0}),
        _mend_backends,
        early=True,
    ),
    Fault(
        'back end cuts its answer',
        _spoil(
            {'fault': {'type': 'cut', 'after_bytes': 20}},
            {'cut_after_tokens': 5},
        ),
        _mend_backends,
        early=True,
    ),
    SILENCE,
    SILENT_IDLE,
    Fault(
        'one-way cut to the agent',
        _link({'mode': 'cut', 'direction': 'up'}),
        _mend_links,
        PAUSE_SECONDS,
    ),
    Fault(
        'one-way cut to the entry',
        _link({'mode': 'cut', 'direction': 'down'}),
        _mend_links,
        PAUSE_SECONDS,
    ),
    Fault(
        'one-way cut to the entry before',
        _link({'mode': 'cut', 'direction': 'down'}),
        _mend_links,
        PAUSE_SECONDS,
        early=True,
    ),
    Fault('reset', _link({'mode': 'reset'}), _mend_links),
    Fault(
        'reset, then none', _link({'mode': 'reset', 'new': True}), _mend_links
    ),
    PLATFORM_DOWN,
    Fault(
        'configuration stale',
        _platform('stale', 'up'),
        _platform('up', 'up'),
        planned=True,
    ),
    DRAIN_REQUEST,
    LEAVING,
    STOP_AGENT,
    STOP_ENTRY,
)

PAIRS = (
    pair(KILL_AGENT, PLATFORM_DOWN),
    pair(PAUSE_AGENT, DRAIN_REQUEST),
    pair(SILENCE, KILL_AGENT),
    pair(KILL_ENTRY, KILL_AGENT),
    pair(PAUSE_ENTRY, KILL_AGENT),
    pair(KILL_ENTRY, PAUSE_AGENT),
    pair(STOP_AGENT, PLATFORM_DOWN),
    pair(STOP_AGENT, KILL_ENTRY),
    pair(STOP_ENTRY, SILENCE),
    pair(LEAVING, SILENCE),
    pair(DRAIN_REQUEST, SILENCE),
    pair(LEAVING._replace(early=True), SILENT_IDLE),
    pair(DRAIN_REQUEST._replace(early=True), SILENT_IDLE),
    pair(KILL_ENTRY, SILENCE),
)

#: What ``make test`` runs; the rest runs in ``make faults``.
QUICK = (
    KILL_AGENT,
    PAUSE_AGENT._replace(name='agent paused before', early=True),
    KILL_ENTRY,
    PAUSE_ENTRY,
    SILENT_IDLE,
    STOP_AGENT,
    STOP_ENTRY,
    pair(KILL_AGENT, PLATFORM_DOWN),
)
