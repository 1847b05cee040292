"""A small deployment of real processes, and what must be in force there."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.http.errors import HttpError
from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import CATERER, Site, Size
from ospreyford.standins.fleet import Fleet, Program, ask, is_ready
from ospreyford.standins.hostlist import publish_host
from ospreyford.standins.launcher import Launcher

EVENTUALLY_SECONDS = 40.0
POLL_SECONDS = 0.05
CALLS_PER_SECOND = 40
SIZE = Size(model_replicas=0, plain_replicas=2, entries=2)
EXAMPLES = Path(__file__).parents[2] / 'examples' / 'caterer' / 'documents'
SERVICE = 'service-order-desk'
TUNING = f"""
[distribution]
fleet_size = 10
service_calls_per_second = {CALLS_PER_SECOND}
cold_start_rounds = 3
cold_start_peers = 2
bootstrap_seconds = 0.3
watch_seconds = 1
digest_seconds = 0.3
stale_seconds = 2.5
backoff_limit_seconds = 1
"""
LIMIT = """
kind = "customer-limit"
team = "operations"
title = "Limit {number}"
[customers]
everything = true
[limits]
requests_per_second = {number}
"""


class Rig:
    """The processes, and the picture that the test itself worked out."""

    def __init__(
        self,
        launcher: Launcher,
        directory: Path,
        site: Site = CATERER,
        size: Size = SIZE,
    ) -> None:
        texts = directory / 'documents'
        texts.mkdir()
        for source in EXAMPLES.iterdir():
            (texts / source.name).write_bytes(source.read_bytes())
        self.fleet = Fleet(
            launcher,
            site,
            size,
            texts,
            directory,
            {'distribution': TUNING},
        )
        self.resolver = Resolver()
        self.revision = 0
        self._seen: dict[int, int] = {}
        for path in sorted(texts.iterdir()):
            self.note(path.stem, self.revision + 1, path.read_text())

    @property
    def programs(self) -> list[Program]:
        return list(self.fleet.programs.values())

    def note(self, name: str, revision: int, text: str | None) -> None:
        """Take a publication into the expected picture."""
        encoded = (text or '').encode()
        entry = DocumentEntry(name, revision, encoded, deleted=text is None)
        self.resolver.record([entry])
        self.revision = max(self.revision, revision)

    def control(self, **order: Any) -> int:
        answer = ask(self.fleet.config.port, '/control', order)
        revision: int = answer['revision']
        return revision

    def publish(self, name: str, text: str) -> None:
        revision = self.control(publish={'name': name, 'text': text})
        self.note(name, revision, text)

    def fleet_text(self, name: str) -> str:
        return (EXAMPLES / f'{name}.toml').read_text()

    def publish_limit(self, number: int) -> None:
        self.publish('limit-default', LIMIT.format(number=number))

    def delete(self, name: str) -> None:
        self.note(name, self.control(delete=name), None)

    def read(self, program: Program) -> dict[str, Any]:
        """Read a process's configuration; empty while it does not answer."""
        port = split_address(program.admin_address)[1]
        try:
            page: dict[str, Any] = ask(port, '/status')['configuration']
        except HttpError:
            return {}
        # Never back: what one process has shown once, it shows from then on.
        pid = program.process.pid
        assert page['revision'] >= self._seen.get(pid, 0)
        self._seen[pid] = page['revision']
        return page

    def is_in_force(self, program: Program) -> bool:
        page = self.read(program)
        if not page.get('ready'):
            return False
        held = (page['revision'], page['digest'])
        return held == (self.revision, self.resolver.snapshot.digest)

    def await_in_force(self, programs: Iterable[Program] | None = None) -> None:
        waiting = list(self.programs if programs is None else programs)
        await_true(lambda: all(map(self.is_in_force, waiting)))

    def start_again(self, program: Program) -> Program:
        """Start a host's process anew; its slot and its name stay."""
        program.process.kill()
        return self.fleet.start_program(program.host)

    def replace(self, program: Program) -> Program:
        """Replace a host's process and wait until it has a picture."""
        fresh = self.start_again(program)
        await_true(lambda: bool(self.read(fresh).get('ready')))
        # Its very first picture must be the one that all others hold.
        assert self.is_in_force(fresh)
        return fresh

    def list_hosts_of(self, other: Rig) -> None:
        """Have this part's host list name another part's hosts as well."""
        for host in other.fleet.hosts:
            record = msgspec.to_builtins(publish_host(host))
            ask(self.fleet.host_list.port, '/control', {'add': record})

    def restore(self) -> None:
        """Bring all back, whatever the last test left."""
        self.control(mode='up')
        for program in self.programs:
            program.process.resume()
        self.await_in_force()
        await_true(lambda: all(map(is_ready, self.fleet.list_entries())))

    def count_calls(self) -> list[int]:
        """Calls for each second, as the service has counted them."""
        calls = ask(self.fleet.config.port, '/calls')
        return list(calls['per_second'].values())


def await_true(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + EVENTUALLY_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(POLL_SECONDS)
