"""A small deployment whose every agent stands behind a fault proxy."""

from __future__ import annotations

import json
import shutil
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

import curio

from ospreyford.ports.fleet import Host
from ospreyford.settings.types import split_address
from ospreyford.standins.controls import control
from ospreyford.standins.deployment import PENSION_OFFICE, Size
from ospreyford.standins.fleet import Fleet, Program, ask, is_ready
from ospreyford.standins.hostlist import publish_host
from ospreyford.standins.launcher import Launched, Launcher
from ospreyford.standins.process import LOOPBACK
from tests.processes.callers import (
    Crowd,
    Kind,
    Told,
    make_ask,
    make_ask_for,
    send,
)
from tests.processes.referee import Journal

DOCUMENTS = Path(__file__).parents[2] / 'examples/pension-office/documents'
SIZE = Size(model_replicas=2, plain_replicas=3, entries=3)
EVENTUALLY_SECONDS = 30.0
POLL_SECONDS = 0.1
ENGINE = 'pension-office-model-1'
ENGINES = (ENGINE, 'pension-office-model-2')
VICTIM = 'pension-office-plain-1'
HOMES = tuple(f'pension-office-plain-{number}' for number in (1, 2, 3))
ENTRIES = tuple(f'pension-office-entry-{number}' for number in (1, 2, 3))
#: By default a back end that failed often stays out for two minutes, and a
#: fresh one takes twenty seconds to its full share.
QUICK_RETURN = """
[routing]
slow_start_seconds = 0.5

[routing.ejection]
base_seconds = 0.5
max_seconds = 0.5
"""


class NotInTime(Exception):
    """What was waited for did not happen; says what."""


class Deployment:
    """A site's processes, and what a test does to them."""

    def __init__(self) -> None:
        self._stack = ExitStack()
        self._lost: Journal = []
        #: What went wrong beside the requests, such as an exit code.
        self.problems: list[str] = []

    def __enter__(self) -> Self:
        # Processes that a failed start left behind would outlive the tests.
        with ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self.crowd.pool.shutdown()
        self._stack.close()

    def find(self, name: str) -> Program:
        """Find one of the product's processes by its host's name."""
        return self.fleet.programs[name]

    def list_host(self, name: str) -> Host:
        """Tell a backend server's host as the host list shows it."""
        host = self.find(name).host
        port = self.proxies[name].ports['listen']
        return host._replace(data_address=f'{LOOPBACK}:{port}')

    def restart(self, name: str) -> float:
        """Start a process again; return the seconds until it is ready."""
        began = time.monotonic()
        program = self.fleet.start_program(self.find(name).host)
        self.wait_for(lambda: is_ready(program), f'{name} ready')
        return time.monotonic() - began

    def replace_backend(self, name: str) -> None:
        """Kill a back end and start a fresh one at the same address.

        Its journal is read just before; what runs meanwhile must have been
        journalled by then.
        """
        backend = self.fleet.backends[name]
        port = backend.port
        self._lost += ask(port, '/journal')
        backend.kill()
        self.fleet.backends[name] = self.launcher.start(
            backend.module, '--port', port
        )

    def control_backend(self, name: str, change: object) -> None:
        """Change a back end's faults or options."""
        curio.run(control, self.fleet.backends[name].port, change)

    def control_link(self, name: str, change: object) -> None:
        """Change what happens between the entries and an agent."""
        curio.run(control, self.proxies[name].port, change)

    def control_platform(self, service: Launched, change: object) -> None:
        """Change the configuration service or the host list."""
        curio.run(control, service.port, change)

    def publish(self, name: str, text: str) -> None:
        """Publish a document."""
        self.control_platform(
            self.fleet.config, {'publish': {'name': name, 'text': text}}
        )

    def read_journal(self) -> Journal:
        """Read what all back ends ran, those that were killed too."""
        site = PENSION_OFFICE
        return (
            self._lost
            + self.fleet.read_journals(site.plain_service)
            + self.fleet.read_journals(site.model_service)
        )

    def read_revision(self, entry: str) -> int:
        """Ask an entry for the newest revision that it knows."""
        port = split_address(self.find(entry).admin_address)[1]
        return int(ask(port, '/status')['configuration']['revision'])

    def read_picture(self, name: str) -> tuple[int, str]:
        """Read a process's last word on the configuration in force."""
        pictures = self.list_pictures(name)
        return pictures[-1] if pictures else (0, '')

    def list_pictures(self, name: str) -> list[tuple[int, str]]:
        """List the revisions and digests that a process put in force."""
        lines = self.find(name).process.errors.splitlines()
        return [
            (line['revision'], line['digest'])
            for line in map(_parse, lines)
            if line.get('message_type') == 'ConfigurationInForce'
        ]

    def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Poll until a condition holds.

        :raises NotInTime: it never does.
        """
        until = time.monotonic() + EVENTUALLY_SECONDS
        while not condition():
            if time.monotonic() > until:
                raise NotInTime(what)
            time.sleep(POLL_SECONDS)

    def wait_until_served_by(self, name: str) -> None:
        """Wait until a back end runs new requests again."""
        port = self.fleet.backends[name].port
        before = len(ask(port, '/journal'))
        kind = Kind.rate if name in HOMES else Kind.stream

        def runs_again() -> bool:
            for entry in ENTRIES:
                address = self.crowd.entries[entry]
                send(make_ask(kind, tokens=1), entry, address)
            return len(ask(port, '/journal')) > before

        self.wait_for(runs_again, f'{name} in service')

    def wait_until_answered_by(
        self, entry: str, kind: Kind = Kind.rate
    ) -> Told:
        """Wait until an entry answers a request of a kind; return that one."""
        address = self.crowd.entries[entry]
        told: list[Told] = []

        def is_answered() -> bool:
            told.append(send(make_ask(kind), entry, address))
            return told[-1].outcome == 'answered'

        self.wait_for(is_answered, f'{entry} answers')
        return told[-1]

    def wait_until_keys_run_at(self, home: str) -> None:
        """Wait until a home runs new keys.

        An agent refuses keys that may predate its own start.
        """
        entry = ENTRIES[1]
        address = self.crowd.entries[entry]
        self.wait_for(
            lambda: (
                send(make_ask_for(home, HOMES), entry, address).outcome
                == 'answered'
            ),
            f'{home} takes keys',
        )

    def _start(self, stack: ExitStack) -> None:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.launcher = stack.enter_context(Launcher())
        self.fleet = Fleet(
            self.launcher,
            PENSION_OFFICE,
            SIZE,
            _copy_documents(directory),
            directory,
            {'entry': QUICK_RETURN},
        )
        self.proxies = {
            host.name: self._start_proxy(host)
            for host in self.fleet.hosts
            if host.role == 'backend'
        }
        self.fleet.start()
        self.crowd = Crowd(
            {
                one.host.name: one.host.data_address
                for one in self.fleet.list_entries()
            }
        )
        for home in HOMES:
            self.wait_until_keys_run_at(home)

    def _start_proxy(self, host: Host) -> Launched:
        proxy = self.launcher.start(
            'ospreyford.standins.faultproxy', '--upstream', host.data_address
        )
        address = f'{LOOPBACK}:{proxy.ports["listen"]}'
        listed = publish_host(host._replace(data_address=address))
        self.control_platform(self.fleet.host_list, {'add': listed})
        return proxy


def _copy_documents(directory: Path) -> Path:
    # Without the limits: what is refused at the door meets no fault.
    copied = directory / 'documents'
    copied.mkdir()
    for path in DOCUMENTS.glob('*.toml'):
        if not path.name.startswith('limit-'):
            shutil.copy(path, copied)
    return copied


def _parse(line: str) -> dict[str, Any]:
    try:
        parsed = json.loads(line)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
