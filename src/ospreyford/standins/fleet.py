"""A whole deployment as processes on loopback, for demo, tests and bench.

The platform, the engines and the services are stand-ins; entries and agents
are the product's own programs. Only this module starts processes.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterator, Mapping
from itertools import count
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

import curio
import msgspec

from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import Size, encode_hosts, lay_out
from ospreyford.standins.process import LOOPBACK

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host
    from ospreyford.standins.deployment import Site
    from ospreyford.standins.launcher import Launched, Launcher

READY_SECONDS = 40.0
MAX_PORTS = 1000
#: Ports handed out: a block for each process that starts fleets.
FIRST_PORT = 10_000
BLOCK_PORTS = 128
PORT_BLOCKS = 170
ALL_PORTS = PORT_BLOCKS * BLOCK_PORTS
MODEL = 'model'
STANDINS = MappingProxyType(
    {
        MODEL: 'ospreyford.standins.engine',
        'plain': 'ospreyford.standins.plain',
    },
)
POLL_SECONDS = 0.1
OK_STATUS = 200
ASK_SECONDS = 3.0

_SETTINGS = """
[identity]
name = "{name}"
instance = "{instance}"
zone = "{zone}"
region = "{region}"

[listen]
data_address = "{data}"
admin_address = "{admin}"
peer_address = "{peer}"

[platform]
config_service = "{config}"
host_list = "{hosts}"

[membership]
seeds = [{seeds}]

{distribution}
[traces]
sample_ratio = 1.0
"""

_DISTRIBUTION = """
[distribution]
fleet_size = 100
cold_start_rounds = 3
bootstrap_seconds = 0.3
"""

_RANKS = """
[ranks]
members = [{members}]
engine = "{engine}"
report_seconds = 0.5

[ranks.agreement]
group = "{group}"
slot = {slot}
addresses = [{addresses}]
window_steps = 128
lead_steps = 64

[ranks.shape]
ranks = {ranks}
layers = 2
experts = 6
expert_bytes = {expert_bytes}

[ranks.placement]
slots_per_rank = 4
plan_interval_seconds = 1
averaging_seconds = 1
min_tokens = 1
"""

_BACKEND = """
[backend]
address = "{address}"
service = "{service}"
kind = "{kind}"
"""

EXPERT_BYTES = 1000
#: Bytes a second of the weight store.
STORE_RATE = 20_000

_numbers = count()


class NotReady(Exception):
    """The deployment was not ready in time; holds what was missing."""


class RunningGroup(NamedTuple):
    """A rank group of the model replicas.

    :param name: of the group.
    :param hosts: the hosts of its ranks, in order.
    :param engine: the stand-in of its ranks.
    """

    name: str
    hosts: tuple[Host, ...]
    engine: Launched


class Program(NamedTuple):
    """One of the product's processes.

    ``settings`` is its file, so that it can be started again.
    """

    host: Host
    admin_address: str
    settings: Path
    process: Launched


class Fleet:
    """One site's processes.

    :param launcher: starts and ends them.
    :param site: which site.
    :param size: how many hosts of each kind.
    :param documents: the directory of the site's published documents.
    :param directory: where settings files are written.
    :param sections: more TOML sections for the settings of a role's hosts;
        under ``distribution`` that section for all hosts.
    """

    def __init__(
        self,
        launcher: Launcher,
        site: Site,
        size: Size,
        documents: Path,
        directory: Path,
        sections: Mapping[str, str] | None = None,
    ) -> None:
        self._sections = sections or {}
        self.hosts = lay_out(site, size, _choose_ports())
        self.programs: dict[str, Program] = {}
        self.backends: dict[str, Launched] = {}
        self._launcher = launcher
        self._directory = directory
        self._kinds = {
            site.model_service: MODEL,
            site.plain_service: 'plain',
        }
        table = directory / 'hosts.json'
        table.write_bytes(encode_hosts(self.hosts))
        self.config = launcher.start(
            'ospreyford.standins.configservice',
            '--documents',
            str(documents),
        )
        self.ranks: Launched | None = None
        self.rank_groups: list[RunningGroup] = []
        self.weights: Launched | None = None
        self.host_list = launcher.start(
            'ospreyford.standins.hostlist',
            '--hosts',
            str(table),
        )

    def start_ranks(
        self,
        ignoring: int = -1,
        store_rate: float = STORE_RATE,
        sizes: tuple[int, ...] = (),
    ) -> None:
        """Have the model replicas' ranks form lock-step groups.

        :param ignoring: the rank whose engine ignores fencing numbers.
        :param store_rate: the weight store's limit, in bytes a second.
        :param sizes: ranks of each group; without any, one group of all.
        """
        models = [
            host
            for host in self.hosts
            if self._kinds.get(host.service) == MODEL
        ]
        self.weights = self._launcher.start(
            'ospreyford.standins.weightstore',
            '--expert-bytes',
            EXPERT_BYTES,
            '--bytes-per-second',
            store_rate,
        )
        for number, size in enumerate(sizes or (len(models),)):
            hosts = tuple(models[:size])
            models = models[size:]
            name = f'{hosts[0].service}-{number}' if sizes else hosts[0].service
            engine = self._launcher.start(
                'ospreyford.standins.rankgroup',
                '--weights-port',
                self.weights.port,
                '--ranks',
                size,
                '--ignoring',
                ignoring,
            )
            self.rank_groups.append(RunningGroup(name, hosts, engine))
        self.ranks = self.rank_groups[0].engine

    def start(self) -> None:
        """Start every back end, agent and entry, and wait for them.

        :raises NotReady: an entry takes no work in time.
        """
        for host in self.hosts:
            if host.role == 'backend':
                self.backends[host.name] = self._start_backend(host)
            self.start_program(host)
        self.wait_until_ready()

    def start_program(self, host: Host) -> Program:
        """Start the product's process of a host.

        :param host: the host.
        :returns: the process.
        """
        admin = f'{LOOPBACK}:{next(_choose_ports())}'
        path = self._directory / f'{host.name}.toml'
        path.write_text(self._write_settings(host, admin))
        module = 'agent' if host.role == 'backend' else 'entry'
        process = self._launcher.spawn(
            f'ospreyford.console.{module}',
            '--settings',
            str(path),
        )
        program = Program(host, admin, path, process)
        self.programs[host.name] = program
        return program

    def list_entries(self) -> list[Program]:
        """List the entries.

        :returns: them, in the order of the host list.
        """
        return [
            program
            for program in self.programs.values()
            if program.host.role == 'entry'
        ]

    def wait_until_ready(self) -> None:
        """Wait until every entry and agent takes work.

        :raises NotReady: one does not in time.
        """
        until = time.monotonic() + READY_SECONDS
        waiting = list(self.programs.values())
        while waiting:
            waiting = [one for one in waiting if not is_ready(one)]
            if waiting and time.monotonic() > until:
                raise NotReady(_describe(waiting))
            time.sleep(POLL_SECONDS)

    def read_journals(self, service: str) -> list[dict[str, Any]]:
        """Read what the back ends of a service really ran.

        :param service: the service's name.
        :returns: the journals' entries, one after the other.
        """
        return [
            entry
            for host in self.hosts
            if host.service == service
            for entry in ask(self.backends[host.name].port, '/journal')
        ]

    def _start_backend(self, host: Host) -> Launched:
        # A port that is named can be bound again by the next process in the
        # place of a killed one, though old connections linger on it.
        module = STANDINS[self._kinds[host.service]]
        return self._launcher.start(module, '--port', next(_choose_ports()))

    def _write_settings(self, host: Host, admin: str) -> str:
        seeds = ', '.join(f'"{each.peer_address}"' for each in self.hosts[:3])
        text = _SETTINGS.format(
            name=host.name,
            instance=host.instance,
            zone=host.zone,
            region=host.region,
            data=host.data_address,
            admin=admin,
            peer=host.peer_address,
            config=_address(self.config),
            hosts=_address(self.host_list),
            seeds=seeds,
            distribution=self._sections.get('distribution', _DISTRIBUTION),
        )
        text += self._sections.get(host.role, '')
        if host.role != 'backend':
            return text
        text += _BACKEND.format(
            address=_address(self.backends[host.name]),
            service=host.service,
            kind=self._kinds[host.service],
        )
        return text + self._write_ranks(host)

    def _write_ranks(self, host: Host) -> str:
        for group in self.rank_groups:
            if host in group.hosts:
                return _format_ranks(host, group)
        return ''


def _format_ranks(host: Host, group: RunningGroup) -> str:
    hosts = group.hosts
    addresses = ', '.join('"{0}"'.format(each.peer_address) for each in hosts)
    return _RANKS.format(
        engine=_address(group.engine),
        group=group.name,
        slot=hosts.index(host),
        addresses=addresses,
        members=', '.join('"{0}"'.format(each.name) for each in hosts),
        ranks=len(hosts),
        expert_bytes=EXPERT_BYTES,
    )


def ask(port: int, target: str, body: object = None) -> Any:
    """Ask a stand-in or an admin port.

    :param port: where it listens on loopback.
    :param target: path and query.
    :param body: sent as JSON with POST; without it the call is a GET.
    :returns: the decoded answer.
    :raises HttpError: no answer.
    """
    method = 'GET' if body is None else 'POST'
    encoded = b'' if body is None else msgspec.json.encode(body)
    _, answer = curio.run(
        fetch,
        (LOOPBACK, port),
        Request(method, target, ()),
        encoded,
        ASK_SECONDS,
    )
    return msgspec.json.decode(answer)


def is_ready(program: Program) -> bool:
    """Ask a process whether it takes work.

    :param program: the process.
    :returns: whether its readiness page says so.
    """
    address = split_address(program.admin_address)
    try:
        head, _ = curio.run(fetch, address, Request('GET', '/readyz', ()))
    except HttpError:
        return False
    return bool(head.status == OK_STATUS)


def _describe(waiting: list[Program]) -> str:
    return '\n'.join(
        '{0}: {1}'.format(one.host.name, one.process.errors) for one in waiting
    )


def _address(process: Launched) -> str:
    return f'{LOOPBACK}:{process.port}'


def _choose_ports() -> Iterator[int]:
    # Below the ports that the kernel gives to outgoing connections, of which
    # any may take a port in the moment in which nobody listens on it: while
    # an agent is replaced, say. That would show as "address already in use".
    first = os.getpid() % PORT_BLOCKS * BLOCK_PORTS
    for _ in range(MAX_PORTS):
        port = FIRST_PORT + (first + next(_numbers)) % ALL_PORTS
        with socket.socket() as sock:
            if not sock.connect_ex((LOOPBACK, port)):
                continue
        yield port
