"""``make demo``: both users' deployments, a killed agent, every outcome."""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ospreyford.http.errors import HttpError
from ospreyford.settings.types import split_address
from ospreyford.standins.asking import Ask, Told, ask_entry
from ospreyford.standins.deployment import CATERER, PENSION_OFFICE, Size
from ospreyford.standins.fleet import Fleet, ask
from ospreyford.standins.groupdemo import judge_groups, shift_loads
from ospreyford.standins.judging import judge_told
from ospreyford.standins.launcher import Launcher
from ospreyford.wire.ids import create_id

if TYPE_CHECKING:
    from ospreyford.standins.deployment import Site
    from ospreyford.standins.fleet import Program

EXAMPLES = Path(__file__).parents[3] / 'examples'
SIZE = Size(model_replicas=3, plain_replicas=3, entries=2)
WAVES = 3
TOKENS = 20
RETRIES = 8
PAUSE_SECONDS = 1.0
NANOSECONDS = 1_000_000


class ShownSite(NamedTuple):
    """A site and what the demo does there.

    :param site: the site.
    :param customers: who sends.
    :param call: the path of a call that may run once only.
    :param groups: ranks of each group of the model's replicas; without any,
        they form no groups.
    """

    site: Site
    customers: tuple[str, ...]
    call: str
    groups: tuple[int, ...] = ()


SHOWN_SITES = (
    ShownSite(PENSION_OFFICE, ('soum-insurance-clerks',), '/quotes'),
    ShownSite(
        CATERER, ('home-carrier-stations',), '/invoice-lines', groups=(2, 3)
    ),
)


def main() -> None:
    """Run the demo; exit 0 only if every promise held."""
    signal.signal(signal.SIGTERM, _stop)
    problems: list[str] = []
    for shown in SHOWN_SITES:
        with tempfile.TemporaryDirectory() as directory, Launcher() as launcher:
            fleet = start_fleet(launcher, shown, Path(directory))
            problems += show_site(fleet, shown)
    for problem in problems:
        _say(f'BROKEN: {problem}')
    _say(f'{len(problems)} promises broken')
    sys.exit(1 if problems else 0)


def start_fleet(launcher: Launcher, shown: ShownSite, directory: Path) -> Fleet:
    """Start a site's stand-ins of the platform and of its rank groups.

    :param launcher: starts processes.
    :param shown: the site.
    :param directory: for settings.
    :returns: the site's processes, not started yet.
    """
    replicas = sum(shown.groups) or SIZE.model_replicas
    fleet = Fleet(
        launcher,
        shown.site,
        SIZE._replace(model_replicas=replicas),
        EXAMPLES / shown.site.name / 'documents',
        directory,
    )
    if shown.groups:
        fleet.start_ranks(sizes=shown.groups)
    return fleet


def show_site(fleet: Fleet, shown: ShownSite) -> list[str]:
    """Send a site's requests, kill one agent on the way, and judge.

    :param fleet: the site's processes, not started yet.
    :param shown: the site, who sends and what.
    :returns: the promises that did not hold.
    """
    site = shown.site
    _say(f'\n== {site.name}')
    began = time.monotonic()
    fleet.start()
    _say('ready after {0:.1f} s'.format(time.monotonic() - began))
    shift_loads(fleet)
    told: list[Told] = []
    for wave in range(WAVES):
        if wave == 1:
            told += _send_and_kill(fleet, shown)
        for request in _make_requests(shown):
            told.append(_send(fleet, request, wave))
    told += _retry(fleet, told)
    time.sleep(PAUSE_SECONDS)
    _say('outcomes: {0}'.format(dict(Counter(one.outcome for one in told))))
    problems = _judge_groups(fleet)
    journals = fleet.read_journals(site.plain_service)
    return problems + judge_told(told, journals, shown.call)


def _judge_groups(fleet: Fleet) -> list[str]:
    shown, problems = judge_groups(fleet)
    for line in shown:
        _say(line)
    return problems


def _make_requests(shown: ShownSite) -> Iterator[Ask]:
    site = shown.site
    for customer in shown.customers:
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
        key = create_id()
        body = msgspec.json.encode({'line': key})
        yield Ask(customer, site.plain_service, 'POST', shown.call, body, key)


def _send_and_kill(fleet: Fleet, shown: ShownSite) -> list[Told]:
    victim = next(
        program
        for program in fleet.programs.values()
        if program.host.service == shown.site.plain_service
    )
    _say('killing the agent of {0}'.format(victim.host.name))
    victim.process.kill()
    told = [
        _send(fleet, request, number)
        for number in range(WAVES)
        for request in _make_requests(shown)
    ]
    fleet.start_program(victim.host)
    fleet.wait_until_ready()
    _say('the agent of {0} is back'.format(victim.host.name))
    return told


def _send(fleet: Fleet, request: Ask, number: int) -> Told:
    entries = fleet.list_entries()
    entry = entries[number % len(entries)]
    told = ask_entry(entry, request)
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
                _find_cause(told),
            ),
        ),
    )
    _show_hops(entry, told)
    return told


def _find_cause(told: Told) -> str:
    if told.outcome == 'answered' or not told.body:
        return ''
    problem = msgspec.json.decode(told.body)
    return '({0})'.format(problem['cause'])


def _show_hops(entry: Program, told: Told) -> None:
    port = split_address(entry.admin_address)[1]
    try:
        spans = ask(port, f'/traces?request={told.request_id}')
    except HttpError:
        return
    # A request that was refused at once has no hops to show.
    if isinstance(spans, dict):
        return
    for span in spans:
        _say(
            '    {hop:8} {host:28} {outcome:10} {took:.1f} ms'.format(
                hop=span['hop'],
                host=span['host'],
                outcome=span['outcome'],
                took=(span['end_ns'] - span['start_ns']) / NANOSECONDS,
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


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _stop(number: int, frame: object) -> None:
    sys.exit(1)


if __name__ == '__main__':
    main()
