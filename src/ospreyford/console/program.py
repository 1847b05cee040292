"""What both programs' ``main`` do alike: settings, logs, signals."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import curio

from ospreyford.console.allocator import hand_back_memory
from ospreyford.console.codes import ExitCode
from ospreyford.console.commandline import run_fire
from ospreyford.console.stopping import Cut, Stop
from ospreyford.observability.events import Stopped
from ospreyford.observability.logs import ChangeLog
from ospreyford.peers.errors import PeerError
from ospreyford.security.errors import SecretUnusable
from ospreyford.security.secrets import Secrets
from ospreyford.security.settings import SecuritySettings
from ospreyford.settings.errors import SettingsError, format_value
from ospreyford.settings.loader import load_settings
from ospreyford.settings.sections import Drain, Identity, Logs


class ProgramSettings(Protocol):
    """The sections that every program has."""

    @property
    def identity(self) -> Identity:
        """Who this process is."""

    @property
    def drain(self) -> Drain:
        """How long a planned stop may take."""

    @property
    def security(self) -> SecuritySettings:
        """Files with certificates and keys."""

    @property
    def logs(self) -> Logs:
        """Where log lines go."""


AnySettings = TypeVar('AnySettings', bound=ProgramSettings)


class Program(Generic[AnySettings]):
    """What a program's coroutine is given.

    :param settings: the checked settings.
    :param stop: tells when to stop.
    :param changes: the log of changes of state.
    :param secrets: the certificate and keys that the settings name.
    """

    def __init__(
        self,
        settings: AnySettings,
        stop: Stop,
        changes: ChangeLog,
        secrets: Secrets,
    ) -> None:
        self.secrets = secrets
        self.settings = settings
        self.stop = stop
        self.changes = changes


@dataclass(frozen=True)
class Failed:
    """The operating system refused what the program needs.

    :param reason: such as an address that is taken.
    """

    reason: str


#: How a program ended; ``None`` is a graceful stop.
Ending = Cut | Failed | None

#: Runs a program until it has stopped gracefully.
Start = Callable[[Program[AnySettings]], Awaitable[None]]


class CommandLine(Generic[AnySettings]):
    """The command line of a program.

    :param start: the program.
    :param kind: the type of its settings.
    """

    def __init__(
        self, start: Start[AnySettings], kind: type[AnySettings]
    ) -> None:
        self._start = start
        self._kind = kind

    def run(self, settings: str) -> None:
        """Run until SIGTERM or SIGINT.

        The first signal stops gracefully: no new work, and the end when the
        last request in flight has its answer. A second signal, or the drain
        deadline, ends at once and says how many requests were cut.

        Exit codes: 0 stopped with nothing cut, 1 not started, 2 wrong
        settings or command line, 4 stopped with requests cut.

        :param settings: the TOML file with the program's settings.
        """
        sys.exit(run_program(self._start, self._kind, str(settings)))


def run_command_line(
    start: Start[AnySettings], kind: type[AnySettings]
) -> None:
    """Run a program with the settings that its command line names.

    :param start: the program.
    :param kind: the type of its settings.
    """
    run_fire(CommandLine(start, kind).run)


def run_program(
    start: Start[AnySettings], kind: type[AnySettings], path: str
) -> ExitCode:
    """Run a program to its end.

    :param start: the program.
    :param kind: the type of its settings.
    :param path: the settings file.
    :returns: what to tell the shell.
    """
    hand_back_memory()
    try:
        settings = load_settings(path, kind)
        secrets = read_secrets(path, settings)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.usage
    try:
        changes = ChangeLog(settings.logs, settings.identity)
    except OSError as error:
        return _fail(error)
    stop = Stop(settings.drain.deadline_seconds)
    stop.record_signal = changes.log_change
    stop.install()
    program = Program(settings, stop, changes, secrets)
    try:
        ending = curio.run(_supervise, start, program)
    finally:
        stop.finish()
        changes.close()
    return _tell_ending(ending)


def read_secrets(path: str, settings: ProgramSettings) -> Secrets:
    """Read the certificate and keys that settings name.

    :param path: the settings file.
    :param settings: what stands in it.
    :returns: the secrets.
    :raises SettingsError: a file that they name cannot be used.
    """
    try:
        return Secrets(settings.security)
    except SecretUnusable as error:
        raise SettingsError(
            path,
            f'security.{error.key}',
            format_value(error.path),
            error.allowed,
        ) from None


async def _supervise(
    start: Start[AnySettings], program: Program[AnySettings]
) -> Ending:
    group = curio.TaskGroup(wait=any)
    async with group:
        await group.spawn(_run, start, program)
        await group.spawn(program.stop.watch)
    ending: Ending = group.result
    match ending:
        case Cut(in_flight=in_flight, cause=cause):
            program.changes.log_change(Stopped(in_flight, cause))
        case Failed(reason=reason):
            program.changes.log_change(Stopped(0, reason))
        case _:
            program.changes.log_change(Stopped(0))
    return ending


async def _run(
    start: Start[AnySettings], program: Program[AnySettings]
) -> Failed | None:
    try:
        await start(program)
    except OSError as error:
        return Failed(str(error))
    except PeerError as error:
        return Failed(': '.join(map(str, error.args)))
    return None


def _tell_ending(ending: Ending) -> ExitCode:
    match ending:
        case Cut(in_flight=in_flight, cause=cause) if in_flight:
            sys.stderr.write(f'{cause}: {in_flight} requests cut\n')
            return ExitCode.cut
        case Failed(reason=reason):
            return _fail(reason)
        case _:
            return ExitCode.ok


def _fail(reason: object) -> ExitCode:
    sys.stderr.write(f'cannot run: {reason}\n')
    return ExitCode.not_started
