"""``ospreyford-agent``: the program beside a backend server."""

from __future__ import annotations

from ospreyford.agent.program import AgentProgram
from ospreyford.console.program import Program, run_command_line
from ospreyford.settings.programs import AgentSettings


async def start(program: Program[AgentSettings]) -> None:
    """Run an agent until it has stopped.

    :param program: settings, stop signal and log.
    """
    await AgentProgram(program).run()


def main() -> None:
    """Run ``ospreyford-agent`` with its command line."""
    run_command_line(start, AgentSettings)


if __name__ == '__main__':
    main()
