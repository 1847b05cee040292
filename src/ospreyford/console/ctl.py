"""``ospreyfordctl``: what operators check and ask, and may lift."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import Any, Never

from ospreyford.console.beliefs import tell_beliefs
from ospreyford.console.codes import ExitCode
from ospreyford.console.commandline import run_fire
from ospreyford.console.entries import (
    Question,
    ask_all,
    find_entries,
)
from ospreyford.console.failures import BadArgument
from ospreyford.console.offline import FileReport, check_files, explain_files
from ospreyford.console.output import JSON, NAME, Console, fail
from ospreyford.console.pile import read_pile
from ospreyford.console.refusals import list_refusals
from ospreyford.console.render import render_trace
from ospreyford.console.story import tell_story
from ospreyford.settings.errors import escape_unprintable

Row = dict[str, Any]


class Operator(Console):
    """Checks files and asks the entries; only ``lift`` changes anything.

    Commands:
      check PATH...                       check documents and settings
      explain --customer C --service S    who may use what, and why
      status                              the state of the whole system
      drain-progress                      hosts that drain, what they wait for
      plan                                what the placement policy would move
      trace REQUEST_ID                    the hops of one request
      story REQUEST_ID [LOG...]           a request's way, from logs
      believed HOST [LOG...]              what a process believed, from logs
      refusals [LOG...]                   refused streams and room elsewhere
      suspects                            requests that crash back ends
      lift IDENTITY                       send such a request again

    Any entry answers for the whole system. Entries are named by --entry, by
    --settings FILE (key ``entries``) or by OSPREYFORD_ENTRIES.

    Exit codes: 0 done, 1 findings or nothing found, 2 wrong command line or
    settings, 3 no entry answered.

    Examples:
      ospreyfordctl check examples/pension-office
      ospreyfordctl --entry 10.0.0.1:8101 explain c7 drafting
      OSPREYFORD_ENTRIES=10.0.0.1:8101,10.0.0.2:8101 ospreyfordctl status
      ospreyfordctl --output json plan

    :param entry: admin addresses ``ip:port`` of entries, divided by commas.
    :param settings: a TOML file with the key ``entries``.
    :param output: ``text`` or ``json``.

    """

    def check(self, *paths: str, hosts: str = '') -> Never:
        """Check documents and settings before they are published.

        All documents are taken as one set. Rejected ones, warnings and wrong
        settings are findings; conflicts are shown with the winner and the
        rule, and are none.

        Examples:
          ospreyfordctl check examples/caterer/documents
          ospreyfordctl check entry.toml agent.toml
          ospreyfordctl check documents --hosts hosts.json

        :param paths: files, and directories whose ``*.toml`` are taken.
        :param hosts: a file with the platform's host list, to try selectors of
            hosts on.

        """
        if not paths:
            fail(BadArgument('PATH', '(missing)', 'files or directories'))
        report = self._attempt(check_files, paths, hosts)
        code = ExitCode.findings if _has_findings(report) else ExitCode.ok
        if self._output == JSON:
            self._finish(_summarise(report), code)
        self._write('\n'.join(_describe(report)), code)

    def explain(
        self,
        customer: str,
        service: str,
        documents: str = '',
        hosts: str = '',
    ) -> Never:
        """Explain which back ends a customer's requests reach, and why.

        Examples:
          ospreyfordctl explain --customer c7 --service drafting
          ospreyfordctl explain c7 drafting --documents DIR --hosts hosts.json

        :param customer: the customer's id.
        :param service: the service's name.
        :param documents: a directory of unpublished documents to use in place
            of what is in force.
        :param hosts: a file with the host list, beside ``documents``.

        """
        if documents:
            self._finish(
                self._attempt(
                    explain_files, documents, hosts, customer, service
                )
            )
        query = {'customer': customer, 'service': service}
        self._finish(self._ask(Question('/explain', query)))

    def status(self) -> Never:
        """Show the state of the system as an entry sees it.

        Examples:
          ospreyfordctl status
          ospreyfordctl status --output json

        """
        self._finish(self._ask(Question('/status')))

    def drain_progress(self) -> Never:
        """Show the hosts that drain and what each still waits for.

        Examples:
          ospreyfordctl drain-progress

        """
        self._finish(self._ask(Question('/drains')))

    def plan(self) -> Never:
        """Show what the placement policy would move, and why.

        Examples:
          ospreyfordctl plan

        """
        self._finish(self._ask(Question('/plan')))

    def trace(self, request_id: str) -> Never:
        """Show the hops of a request: caller, entry, agent, back end.

        Every entry is asked, since any of them may have served it.

        Examples:
          ospreyfordctl trace 0198f2c4-7d7e-7c3a-9f5e-2b8f6a1d4c10

        :param request_id: the answer's ``ospreyford-request-id``.

        """
        query = {'request': request_id}
        settings = self._attempt(find_entries, self._entry, self._settings)
        answers = self._attempt(ask_all, settings, Question('/traces', query))
        spans = _join_spans(answers)
        if self._output == JSON:
            self._finish(spans)
        self._write(self._attempt(render_trace, spans), ExitCode.ok)

    def story(self, request_id: str, *logs: str) -> Never:
        """Tell what became of a request and why, from the logs of all hosts.

        Examples:
          ospreyfordctl story 79f8774bda09223d entry-*.log agent-*.log
          cat *.log | ospreyfordctl --output json story 79f8774bda09223d

        :param request_id: the request's id, as the entries' lines have it.
        :param logs: files; standard input if none is named.

        """
        pile = self._attempt(read_pile, logs)
        self._finish(self._attempt(tell_story, pile, request_id))

    def refusals(self, *logs: str) -> Never:
        """List refused streams and the room that other entries had.

        A refusal comes with the age of the figures behind it, and with the
        places that other entries had left at that moment.

        Examples:
          ospreyfordctl refusals entry-*.log
          cat *.log | ospreyfordctl --output json refusals

        :param logs: files; standard input if none is named.

        """
        pile = self._attempt(read_pile, logs)
        self._finish(self._attempt(list_refusals, pile))

    def believed(self, host: str, *logs: str, at: str = '') -> Never:
        """Show what a process believed at a moment, from its log lines.

        Examples:
          ospreyfordctl believed entry-1 entry-1.log
          cat *.log | ospreyfordctl believed entry-1 --at 2026-08-16T16:20:22Z

        :param host: the process's host, as its lines name it.
        :param logs: files; standard input if none is named.
        :param at: seconds since the Unix epoch or ISO 8601; the last line's
            moment if it is left out.

        """
        pile = self._attempt(read_pile, logs)
        self._finish(self._attempt(tell_beliefs, pile, host, at))

    def suspects(self) -> Never:
        """List the requests that are suspected of crashing back ends.

        Every entry is asked; they tell each other within a second.

        Examples:
          ospreyfordctl --entry 10.1.0.40:9464 suspects

        """
        settings = self._attempt(find_entries, self._entry, self._settings)
        answers = self._attempt(ask_all, settings, Question('/suspects'))
        rows = {row['identity']: row for row in chain.from_iterable(answers)}
        self._finish(list(rows.values()))

    def lift(self, identity: str) -> Never:
        """Send a request again that is blocked because of its crashes.

        Examples:
          ospreyfordctl --entry 10.1.0.40:9464 lift 8f0c1d...

        :param identity: as ``suspects`` shows it.

        """
        query = {'identity': str(identity)}
        question = Question('/suspects/lift', query, 'POST')
        self._finish(self._ask(question))


def main() -> None:
    """Run the command that the command line names."""
    run_fire(Operator, NAME)


def _has_findings(report: FileReport) -> bool:
    documents = report.documents
    return bool(report.wrong or documents.rejected or documents.warnings)


def _summarise(report: FileReport) -> dict[str, object]:
    documents = report.documents
    return {
        'settings': report.settings,
        'documents': documents.documents,
        'wrong': report.wrong,
        'rejected': documents.rejected,
        'warnings': documents.warnings,
        'conflicts': documents.conflicts,
    }


def _describe(report: FileReport) -> Iterator[str]:
    documents = report.documents
    for error in report.wrong:
        yield f'wrong: {error}'
    for refused in documents.rejected:
        place = f'{refused.name}: {refused.path} = {refused.found}'
        yield escape_unprintable(
            f'rejected: {place}: allowed: {refused.allowed}'
        )
    for warning in documents.warnings:
        about = f'{warning.document}: {warning.kind} {warning.subject}'
        yield escape_unprintable(f'warning: {about}'.rstrip())
    for conflict in documents.conflicts:
        pair = f'{conflict.winner} wins over {conflict.loser}'
        about = f'{conflict.kind} {conflict.subject}'
        yield escape_unprintable(f'conflict: {about}: {pair} ({conflict.rule})')
    yield (
        f'{documents.documents} documents, {report.settings} settings files: '
        f'{len(documents.rejected)} rejected, {len(report.wrong)} wrong, '
        f'{len(documents.warnings)} warnings, '
        f'{len(documents.conflicts)} conflicts'
    )


def _join_spans(answers: list[list[Row]]) -> list[Row]:
    joined = chain.from_iterable(answers)
    found = {span['span_id']: span for span in joined}
    return sorted(found.values(), key=_read_start)


def _read_start(span: Row) -> int:
    return int(span['start_ns'])


if __name__ == '__main__':
    main()
