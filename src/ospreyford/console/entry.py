"""``ospreyford-entry``: the program that callers reach."""

from __future__ import annotations

from ospreyford.console.program import Program, run_command_line
from ospreyford.entry.program import EntryProgram
from ospreyford.settings.programs import EntrySettings


async def start(program: Program[EntrySettings]) -> None:
    """Run an entry until it has stopped.

    :param program: settings, stop signal and log.
    """
    await EntryProgram(program).run()


def main() -> None:
    """Run ``ospreyford-entry`` with its command line."""
    run_command_line(start, EntrySettings)


if __name__ == '__main__':
    main()
