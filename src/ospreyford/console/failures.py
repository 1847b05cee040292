"""Why an ``ospreyfordctl`` command has no answer."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.console.codes import ExitCode


class CommandError(Exception):
    """Base of the failures of a command; ``code`` is its exit code."""

    code = ExitCode.usage


@dataclass(unsafe_hash=True)
class NoEntryNamed(CommandError):
    """Nothing says where the entries are."""

    def __str__(self) -> str:
        """Tell what to do.

        :returns: one line.
        """
        return (
            'no entry named: give --entry ip:port, --settings FILE or '
            'OSPREYFORD_ENTRIES=ip:port,...'
        )


@dataclass(unsafe_hash=True)
class BadArgument(CommandError):
    """An argument that cannot be used.

    :param name: the argument.
    :param found: its value.
    :param allowed: what it may be.
    """

    name: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Tell what is wrong.

        :returns: one line.
        """
        return f'{self.name} = {self.found}: allowed: {self.allowed}'


def explain_unreadable(path: str, error: Exception) -> BadArgument:
    """Tell why a file named on the command line cannot be read.

    :param path: the file.
    :param error: what reading it raised.
    :returns: the failure to raise.
    """
    reason = getattr(error, 'strerror', None) or str(error)
    return BadArgument('PATH', path, f'a readable file ({reason})')


@dataclass(unsafe_hash=True)
class NoEntryAnswered(CommandError):
    """All entries were asked in vain.

    :param tried: each address with what came of it.
    """

    tried: tuple[str, ...]
    code = ExitCode.no_entry

    def __str__(self) -> str:
        """Tell what was tried.

        :returns: one line.
        """
        listed = '; '.join(self.tried)
        return f'no entry answered: {listed}'


@dataclass(unsafe_hash=True)
class Refused(CommandError):
    """An entry answered that it has nothing to show.

    :param detail: the entry's own words.
    """

    detail: str
    code = ExitCode.findings

    def __str__(self) -> str:
        """Tell the entry's words.

        :returns: one line.
        """
        return self.detail


@dataclass(unsafe_hash=True)
class NotInLogs(CommandError):
    """No line says anything of what was asked.

    :param asked: what was looked for.
    :param lines: number of log lines that were read.
    """

    asked: str
    lines: int
    code = ExitCode.findings

    def __str__(self) -> str:
        """Tell what was looked for.

        :returns: one line.
        """
        return f'{self.asked}: nothing in {self.lines} log lines'
