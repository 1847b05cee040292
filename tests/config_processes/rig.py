"""Deployment of real processes and its expected configuration."""

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

CONVERGENCE_TIMEOUT_SECONDS = 40.0
POLL_SECONDS = 0.05
CALLS_PER_SECOND = 40
SIZE = Size(model_replicas=0, plain_replicas=2, entries=2)
EXAMPLES = Path(__file__).parents[2] / 'examples' / 'caterer' / 'documents'
SERVICE = 'service-order-desk'
DISTRIBUTION_SETTINGS = f"""
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
    """The processes, and the expected configuration resolved by the test."""

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
            {'distribution': DISTRIBUTION_SETTINGS},
        )
        self.resolver = Resolver()
        self.revision = 0
        self._seen_revisions: dict[int, int] = {}
        for path in sorted(texts.iterdir()):
            self.record_publication(
                path.stem, self.revision + 1, path.read_text()
            )

    @property
    def programs(self) -> list[Program]:
        return list(self.fleet.programs.values())

    def record_publication(
        self, name: str, revision: int, text: str | None
    ) -> None:
        """Add a publication to the expected configuration."""
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
        self.record_publication(name, revision, text)

    def read_example(self, name: str) -> str:
        return (EXAMPLES / f'{name}.toml').read_text()

    def publish_limit(self, number: int) -> None:
        self.publish('limit-default', LIMIT.format(number=number))

    def delete(self, name: str) -> None:
        self.record_publication(name, self.control(delete=name), None)

    def read_configuration(self, program: Program) -> dict[str, Any]:
        """Read a process's configuration; empty while it is unreachable."""
        port = split_address(program.admin_address)[1]
        try:
            page: dict[str, Any] = ask(port, '/status')['configuration']
        except HttpError:
            return {}
        # The revision of a process must never decrease.
        pid = program.process.pid
        assert page['revision'] >= self._seen_revisions.get(pid, 0)
        self._seen_revisions[pid] = page['revision']
        return page

    def is_in_force(self, program: Program) -> bool:
        page = self.read_configuration(program)
        if not page.get('ready'):
            return False
        held = (page['revision'], page['digest'])
        return held == (self.revision, self.resolver.snapshot.digest)

    def await_in_force(self, programs: Iterable[Program] | None = None) -> None:
        waiting = list(self.programs if programs is None else programs)
        wait_until(lambda: all(map(self.is_in_force, waiting)))

    def restart(self, program: Program) -> Program:
        """Restart a host's process with the same slot and name."""
        program.process.kill()
        return self.fleet.start_program(program.host)

    def replace(self, program: Program) -> Program:
        """Restart a host's process and wait until it is ready."""
        fresh = self.restart(program)
        wait_until(lambda: bool(self.read_configuration(fresh).get('ready')))
        # Its first configuration must match that of the others.
        assert self.is_in_force(fresh)
        return fresh

    def add_hosts_of(self, other: Rig) -> None:
        """Add the hosts of another deployment to the host list."""
        for host in other.fleet.hosts:
            record = msgspec.to_builtins(publish_host(host))
            ask(self.fleet.host_list.port, '/control', {'add': record})

    def restore(self) -> None:
        """Reset the service and all processes after a test."""
        self.control(mode='up')
        for program in self.programs:
            program.process.resume()
        self.await_in_force()
        wait_until(lambda: all(map(is_ready, self.fleet.list_entries())))

    def count_calls(self) -> list[int]:
        """Calls per second, by the service's call log."""
        calls = ask(self.fleet.config.port, '/calls')
        return list(calls['per_second'].values())


def wait_until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + CONVERGENCE_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(POLL_SECONDS)
