"""The processes of the bench: the product, the baseline, the load."""

from __future__ import annotations

import time
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, NamedTuple

import curio
import msgspec

from ospreyford.http.client import fetch
from ospreyford.http.message import Request
from ospreyford.measure.loadgen import (
    GRACE_SECONDS,
    LoadPlan,
    LoadResult,
)
from ospreyford.measure.usage import Usage, read_usage
from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import PENSION_OFFICE, Size
from ospreyford.standins.fleet import Fleet, ask
from ospreyford.standins.process import LOOPBACK

if TYPE_CHECKING:
    from pathlib import Path

    from ospreyford.standins.launcher import Launched, Launcher

SIZE: Final = Size(model_replicas=1, plain_replicas=1, entries=1)
OURS: Final = 'ospreyford'
CUSTOMER: Final = 'soum-insurance-clerks'
MODEL_SERVER: Final = 'pension-office-model-1'
PLAIN_SERVER: Final = 'pension-office-plain-1'
TOKENS: Final = 64
#: The bench sends more to one agent than a back end of today takes; with the
#: default bound the record would refuse work after a few seconds.
SECTIONS: Final = '\n[records]\nmax_entries = 2_000_000\n'
#: An entry gives a back end that it has just met little work for 20 s.
SETTLE_SECONDS: Final = 21.0
#: Left out: limits are for callers, and the bench asks what is possible.
LEFT_OUT: Final = ('limit-', 'drain-')
ABSENT_HOMES: Final = ('pension-office-plain-2', 'pension-office-plain-3')


class Kind(NamedTuple):
    """A kind of request: which server answers it, and what is sent."""

    name: str
    server: str
    service: str
    method: str
    target: str
    body: str = ''
    keyed: bool = False


KINDS: Final = MappingProxyType(
    {
        kind.name: kind
        for kind in (
            Kind('plain', PLAIN_SERVER, 'quotation', 'GET', '/rates/a'),
            Kind(
                'keyed',
                PLAIN_SERVER,
                'quotation',
                'POST',
                '/quotes',
                '{"savings": 5}',
                keyed=True,
            ),
            Kind(
                'streamed',
                MODEL_SERVER,
                'drafting',
                'POST',
                '/v1/completions',
                f'{{"prompt": "a", "max_tokens": {TOKENS}}}',
            ),
        )
    }
)


class Way(NamedTuple):
    """A way to a back end: the port, and the processes on it by hop."""

    port: int
    hops: dict[str, Launched]

    def read_usage(self) -> dict[str, Usage]:
        """Read what the processes have used so far.

        :returns: usage by hop.
        """
        return {
            hop: read_usage(process.pid) for hop, process in self.hops.items()
        }


class BenchSite:
    """One entry, an agent at each of two back ends, and two relay chains.

    :param launcher: starts and ends the processes.
    :param examples: the site's published documents.
    :param directory: where settings and documents are written.
    :param section: TOML that entry and agents get besides.
    """

    def __init__(
        self,
        launcher: Launcher,
        examples: Path,
        directory: Path,
        section: str = '',
    ) -> None:
        documents = directory / 'documents'
        copy_documents(examples, documents)
        self.fleet = Fleet(
            launcher,
            PENSION_OFFICE,
            SIZE,
            documents,
            directory,
            {'entry': section, 'backend': SECTIONS + section},
        )
        self.fleet.start()
        self.entry = self.fleet.list_entries()[0]
        self._launcher = launcher
        self._relays = {
            server: self._start_relays(server)
            for server in (PLAIN_SERVER, MODEL_SERVER)
        }
        self._generator = launcher.start('ospreyford.measure.loadgen')
        self._set_speed()
        self._settle()

    def list_ways(self, server: str) -> dict[str, Way]:
        """List the ways to a back end.

        :param server: the backend server's name.
        :returns: the ways by name: directly, by the relays, by the product.
        """
        entry_port = split_address(self.entry.host.data_address)[1]
        agent = self.fleet.programs[server].process
        return {
            'direct': Way(self.fleet.backends[server].port, {}),
            'relay': self._relays[server],
            OURS: Way(
                entry_port,
                {'entry': self.entry.process, 'agent': agent},
            ),
        }

    def send(self, plan: LoadPlan) -> LoadResult:
        """Have the load generator carry out a plan.

        :param plan: the plan.
        :returns: what came of it.
        :raises HttpError: the generator gave no answer.
        """
        _, answer = curio.run(
            fetch,
            (LOOPBACK, self._generator.port),
            Request('POST', '/run', ()),
            msgspec.json.encode(plan),
            plan.seconds + 2 * GRACE_SECONDS,
        )
        return msgspec.json.decode(answer, type=LoadResult)

    def _start_relays(self, server: str) -> Way:
        module = 'ospreyford.standins.relay'
        last = self.fleet.backends[server].port
        back = self._launcher.start(module, '--next-port', last)
        front = self._launcher.start(module, '--next-port', back.port)
        return Way(front.port, {'entry': front, 'agent': back})

    def _settle(self) -> None:
        for kind in KINDS.values():
            self.send(make_plan(kind, self.list_ways(kind.server)[OURS].port))
        time.sleep(SETTLE_SECONDS)

    def _set_speed(self) -> None:
        backends = self.fleet.backends
        ask(backends[PLAIN_SERVER].port, '/control', {'service_seconds': 0})
        ask(backends[MODEL_SERVER].port, '/control', {'batch_size': 64})


def copy_documents(examples: Path, documents: Path) -> None:
    """Copy a site's documents without limits, drains and absent homes.

    :param examples: the published documents.
    :param documents: the directory to make.
    """
    documents.mkdir()
    for path in examples.glob('*.toml'):
        if path.name.startswith(LEFT_OUT):
            continue
        text = path.read_text()
        for home in ABSENT_HOMES:
            text = text.replace(f'    "{home}",\n', '')
        (documents / path.name).write_text(text)


def make_plan(kind: Kind, port: int) -> LoadPlan:
    """Make a plan of one connection and one second.

    :param kind: what is sent.
    :param port: where it goes.
    :returns: the plan.
    """
    return LoadPlan(
        port=port,
        method=kind.method,
        target=kind.target,
        headers=(
            ('ospreyford-customer', CUSTOMER),
            ('ospreyford-service', kind.service),
        ),
        body=kind.body,
        keyed=kind.keyed,
    )
