"""What all commands of ``ospreyfordctl`` share: asking, output, errors."""

from __future__ import annotations

import sys
from typing import Any, Never

from ospreyford.console.codes import ExitCode
from ospreyford.console.entries import Question, ask_any, find_entries
from ospreyford.console.failures import BadArgument, CommandError
from ospreyford.console.render import render_json, render_text
from ospreyford.settings.errors import SettingsError, escape_unprintable

NAME = 'ospreyfordctl'
JSON = 'json'
OUTPUTS = ('text', JSON)


class Console:
    """Asks the entries and writes answers in the chosen format.

    :param entry: admin addresses ``ip:port`` of entries, divided by commas.
    :param settings: a TOML file with the key ``entries``.
    :param output: ``text`` or ``json``.
    """

    def __init__(
        self, entry: str = '', settings: str = '', output: str = 'text'
    ) -> None:
        self._entry = entry
        self._settings = settings
        self._output = output

    def _ask(self, question: Question) -> Any:
        settings = self._attempt(find_entries, self._entry, self._settings)
        return self._attempt(ask_any, settings, question)

    def _attempt(self, action: Any, *arguments: Any) -> Any:
        if self._output not in OUTPUTS:
            fail(BadArgument('--output', self._output, ' or '.join(OUTPUTS)))
        try:
            return action(*arguments)
        except CommandError as error:
            fail(error)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            sys.exit(ExitCode.usage)

    def _finish(self, answer: object, code: ExitCode = ExitCode.ok) -> Never:
        render = render_json if self._output == JSON else render_text
        self._write(render(answer), code)

    def _write(self, text: str, code: ExitCode) -> Never:
        sys.stdout.write(f'{text}\n')
        sys.exit(code)


def fail(error: CommandError) -> Never:
    """Write an error and end the program.

    :param error: the error; knows its exit code.
    """
    line = escape_unprintable(str(error))
    sys.stderr.write(f'{NAME}: {line}\n')
    sys.exit(error.code)
