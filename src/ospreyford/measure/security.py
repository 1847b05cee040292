"""What certificates and keys cost.

Run ``python -m ospreyford.measure.security [--seconds 3] [--rounds 2]``. It
prints the processor time of a handshake (both ends, in memory) and of a sealed
control message, then that of a plain request at entry and agent, over
connections with and without TLS, by turns on the same machine.
"""

from __future__ import annotations

import ssl
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Final, NamedTuple

import fire
import msgspec
import trustme
from tabulate import tabulate

from ospreyford.measure.bench import EXAMPLES, Bench
from ospreyford.measure.bench_site import KINDS, BenchSite
from ospreyford.security.contexts import Contexts, make_contexts
from ospreyford.security.keyring import KEY_BYTES, Keyring
from ospreyford.security.settings import SecuritySettings
from ospreyford.standins.launcher import Launcher

NAMES: Final = (
    'pension-office-entry-1',
    'pension-office-model-1',
    'pension-office-plain-1',
)
KIND: Final = KINDS['plain']
CONNECTIONS: Final = 8
HANDSHAKES: Final = 200
SEALS: Final = 20_000
MESSAGE_BYTES: Final = 200
MICROSECONDS: Final = 1_000_000
KEYRING: Final = Keyring((bytes(KEY_BYTES),))
MESSAGE: Final = bytes(MESSAGE_BYTES)


class Cost(NamedTuple):
    """A request's processor time by hop, in us, and the hops' MiB."""

    way: str
    rate: float
    entry: float
    agent: float
    entry_memory: float
    agent_memory: float


def make_settings(directory: Path) -> SecuritySettings:
    """Make an authority, a certificate of all hosts, and a control key.

    :param directory: where the files are written.
    :returns: the settings that name them.
    """
    authority = trustme.CA()
    issued = authority.issue_cert(*NAMES)
    files = {
        'certificate': issued.cert_chain_pems[0].bytes(),
        'private_key': issued.private_key_pem.bytes(),
        'authority': authority.cert_pem.bytes(),
        'control_keys': bytes(KEY_BYTES).hex().encode(),
    }
    for name, content in files.items():
        (directory / name).write_bytes(content)
    paths = {each: str(directory / each) for each in files}
    return msgspec.convert(paths, SecuritySettings)


def shake_hands(contexts: Contexts) -> None:
    """Carry out a handshake of an entry and an agent in memory.

    :param contexts: of both.
    """
    there, back = ssl.MemoryBIO(), ssl.MemoryBIO()
    entry = contexts.agents.wrap_bio(back, there)
    agent = contexts.entries.wrap_bio(there, back, server_side=True)
    for end in (entry, agent, entry, agent):
        with suppress(ssl.SSLWantReadError):
            end.do_handshake()


def measure_requests(directory: Path, section: str, seconds: float) -> Cost:
    """Measure requests at a site of its own.

    :param directory: where settings and documents are written.
    :param section: TOML that entry and agents get besides.
    :param seconds: how long requests are sent.
    :returns: what a request costs.
    """
    directory.mkdir()
    with Launcher() as launcher:
        documents = EXAMPLES / 'documents'
        site = BenchSite(launcher, documents, directory, section)
        way = site.list_ways(KIND.server)['ospreyford']
        run = Bench(site, seconds).run(KIND, way, CONNECTIONS)
        memory = way.read_usage()
    return Cost(
        'TLS' if section else 'plain',
        run.rate,
        run.cost['entry'],
        run.cost['agent'],
        memory['entry'].resident,
        memory['agent'].resident,
    )


def measure(seconds: float = 3, rounds: int = 2) -> None:
    """Print the tables.

    :param seconds: how long requests are sent in one go.
    :param rounds: how often each way is measured.
    """
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        settings = make_settings(directory)
        _print(('part', 'us'), _measure_parts(settings))
        _print(
            Cost._fields, _measure_ways(directory, settings, seconds, rounds)
        )


def _measure_parts(settings: SecuritySettings) -> Iterator[tuple[str, float]]:
    contexts = make_contexts(settings)
    if contexts is not None:
        cost = _time(lambda: shake_hands(contexts), HANDSHAKES)
        yield 'handshake, both ends', cost
    yield (
        'control message of 200 bytes, sealed and opened',
        _time(lambda: KEYRING.open(KEYRING.seal(MESSAGE)), SEALS),
    )


def _measure_ways(
    directory: Path, settings: SecuritySettings, seconds: float, rounds: int
) -> Iterator[Cost]:
    section = '\n[security]\n{0}\n'.format(
        '\n'.join(
            '{0} = "{1}"'.format(key, getattr(settings, key))
            for key in (
                'certificate',
                'private_key',
                'authority',
                'control_keys',
            )
        )
    )
    for number in range(rounds):
        yield measure_requests(directory / f'plain-{number}', '', seconds)
        yield measure_requests(directory / f'tls-{number}', section, seconds)


def _time(act: Callable[[], object], times: int) -> float:
    began = time.process_time()
    for _ in range(times):
        act()
    return (time.process_time() - began) * MICROSECONDS / times


def _print(
    headers: tuple[str, ...], rows: Iterator[tuple[object, ...]]
) -> None:
    table = tabulate(
        list(rows), headers=headers, tablefmt='github', floatfmt='.1f'
    )
    sys.stdout.write(f'{table}\n\n')
    sys.stdout.flush()


def main() -> None:
    """Run the measurement."""
    fire.Fire(measure)


if __name__ == '__main__':
    main()
