"""``make demo``: both users' deployments, a killed agent, every outcome."""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import curio
import msgspec

from ospreyford.http.client import fetch
from ospreyford.http.errors import ConnectionLost, HttpError
from ospreyford.http.message import Request, find_header
from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import CATERER, PENSION_OFFICE, Size
from ospreyford.standins.fleet import Fleet, ask
from ospreyford.standins.launcher import Launcher
from ospreyford.wire.identity import make_id

if TYPE_CHECKING:
    from ospreyford.standins.deployment import Site
    from ospreyford.standins.fleet import Program

EXAMPLES = Path(__file__).parents[3] / 'examples'
SIZE = Size(model_replicas=3, plain_replicas=3, entries=2)
ANSWER_SECONDS = 20.0
WAVES = 3
TOKENS = 20
OK_STATUS = 200
RETRIES = 8
PAUSE_SECONDS = 1.0


class Ask(NamedTuple):
    """One request of the demo."""

    customer: str
    service: str
    method: str
    target: str
    body: bytes
    key: str


class Told(NamedTuple):
    """What a caller was told: ``outcome`` is the header of that name."""

    request: Ask
    entry: str
    status: int
    outcome: str
    request_id: str
    body: bytes


class Broken(Exception):
    """A promise did not hold; says which."""


def main() -> None:
    """Run the demo; exit 0 only if every promise held."""
    signal.signal(signal.SIGTERM, _stop)
    problems: list[str] = []
    for site, customers, call in (
        (PENSION_OFFICE, ('soum-insurance-clerks',), '/quotes'),
        (CATERER, ('home-carrier-stations',), '/invoice-lines'),
    ):
        with tempfile.TemporaryDirectory() as directory, Launcher() as launcher:
            fleet = Fleet(
                launcher,
                site,
                SIZE,
                EXAMPLES / site.name / 'documents',
                Path(directory),
            )
            problems += show_site(fleet, site, customers, call)
    for problem in problems:
        _say(f'BROKEN: {problem}')
    _say(f'{len(problems)} promises broken')
    sys.exit(1 if problems else 0)


def show_site(
    fleet: Fleet,
    site: Site,
    customers: tuple[str, ...],
    call: str,
) -> list[str]:
    """Send a site's requests, kill one agent on the way, and judge.

    :param fleet: the site's processes, not started yet.
    :param site: the site.
    :param customers: who sends.
    :param call: the path of a call that may run once only.
    :returns: the promises that did not hold.
    """
    _say(f'\n== {site.name}')
    began = time.monotonic()
    fleet.start()
    _say(f'ready after {time.monotonic() - began:.1f} s')
    told: list[Told] = []
    for wave in range(WAVES):
        if wave == 1:
            told += _send_and_kill(fleet, site, customers, call)
        for request in _make_requests(site, customers, call):
            told.append(_send(fleet, request, wave))
    told += _retry(fleet, told)
    time.sleep(PAUSE_SECONDS)
    return _judge(fleet, site, told, call)


def _make_requests(
    site: Site,
    customers: tuple[str, ...],
    call: str,
) -> Iterator[Ask]:
    for customer in customers:
        prompt = {'prompt': 'hello', 'prefix': site.name, 'max_tokens': TOKENS}
        yield Ask(
            customer,
            site.model_service,
            'POST',
            '/v1/completions',
            msgspec.json.encode(prompt),
            '',
        )
        yield Ask(customer, site.plain_service, 'GET', '/rates/a', b'', '')
        key = make_id()
        body = msgspec.json.encode({'line': key})
        yield Ask(customer, site.plain_service, 'POST', call, body, key)


def _send_and_kill(
    fleet: Fleet,
    site: Site,
    customers: tuple[str, ...],
    call: str,
) -> list[Told]:
    victim = next(
        program
        for program in fleet.programs.values()
        if program.host.service == site.plain_service
    )
    _say(f'killing the agent of {victim.host.name}')
    victim.process.kill()
    told = [
        _send(fleet, request, number)
        for number in range(WAVES)
        for request in _make_requests(site, customers, call)
    ]
    fleet.start_program(victim.host)
    fleet.wait_until_ready()
    _say(f'the agent of {victim.host.name} is back')
    return told


def _send(fleet: Fleet, request: Ask, number: int) -> Told:
    entries = fleet.list_entries()
    entry = entries[number % len(entries)]
    told = _ask_entry(entry, request)
    _say(
        ' '.join(
            (
                request.method,
                request.service,
                request.target,
                'as',
                request.customer,
                '->',
                str(told.status),
                told.outcome,
            ),
        ),
    )
    _show_hops(entry, told)
    return told


def _ask_entry(entry: Program, request: Ask) -> Told:
    headers = [
        (b'ospreyford-customer', request.customer.encode()),
        (b'ospreyford-service', request.service.encode()),
    ]
    if request.key:
        headers.append((b'idempotency-key', request.key.encode()))
    try:
        head, body = curio.run(
            fetch,
            split_address(entry.host.data_address),
            Request(request.method, request.target, tuple(headers)),
            request.body,
            ANSWER_SECONDS,
        )
    except ConnectionLost:
        return Told(request, entry.host.name, 0, 'cut', '', b'')
    outcome = find_header(head.headers, b'ospreyford-outcome') or b'?'
    request_id = find_header(head.headers, b'ospreyford-request-id') or b''
    return Told(
        request,
        entry.host.name,
        head.status,
        outcome.decode(),
        request_id.decode(),
        body,
    )


def _show_hops(entry: Program, told: Told) -> None:
    port = split_address(entry.admin_address)[1]
    try:
        spans = ask(port, f'/traces?request={told.request_id}')
    except HttpError:
        return
    for span in spans.get('spans', ()):
        _say(
            '    {hop:8} {host:28} {outcome:10} {took:.1f} ms'.format(
                hop=span['hop'],
                host=span['host'],
                outcome=span['outcome'],
                took=(span['end_ns'] - span['start_ns']) / 1_000_000,
            ),
        )


def _retry(fleet: Fleet, told: list[Told]) -> list[Told]:
    again: list[Told] = []
    for each in told:
        if each.request.key and each.outcome != 'answered':
            again.append(_retry_one(fleet, each))
    return again


def _retry_one(fleet: Fleet, told: Told) -> Told:
    for number in range(RETRIES):
        last = _send(fleet, told.request, number)
        if last.outcome == 'answered':
            return last
        time.sleep(PAUSE_SECONDS / RETRIES)
    return last


def _judge(
    fleet: Fleet,
    site: Site,
    told: list[Told],
    call: str,
) -> list[str]:
    journal = fleet.read_journals(site.plain_service)
    runs = Counter(
        entry['key']
        for entry in journal
        if entry['event'] == call.removeprefix('/')
    )
    ids = {entry['request_id'] for entry in journal}
    problems = [
        f'key {key} ran {count} times'
        for key, count in runs.items()
        if count > 1
    ]
    for each in told:
        problems += _judge_one(each, runs, ids)
    outcomes = Counter(each.outcome for each in told)
    _say(f'outcomes: {dict(outcomes)}')
    if not outcomes['answered']:
        problems.append('nothing was answered')
    return problems


def _judge_one(
    told: Told,
    runs: Counter[str],
    ids: set[Any],
) -> Iterator[str]:
    request = told.request
    if told.outcome == 'not-run' and told.request_id in ids:
        yield f'told not run, ran: {told.request_id}'
    if told.outcome == 'answered' and told.status == OK_STATUS:
        if request.key and request.key.encode() not in told.body:
            yield f"somebody else's answer for key {request.key}"
        if request.key and not runs[request.key]:
            yield f'answered, never ran: key {request.key}'
        if '/completions' in request.target and b'"done":true' not in told.body:
            yield f'answer not whole: {told.request_id}'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _stop(number: int, frame: object) -> None:
    sys.exit(1)


if __name__ == '__main__':
    main()
