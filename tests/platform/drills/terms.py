"""Terms of coordinators, from the logs of their agents."""

from __future__ import annotations

from tests.platform.drills.programs import Program
from tests.platform.groupchecks import TakenTerm


def read_terms(agent: Program) -> list[TakenTerm]:
    """Read the terms that an agent has taken.

    :param agent: the process.
    :returns: the terms, by time.
    """
    return [
        TakenTerm(
            float(line['timestamp']), agent.ip, line['group'], line['token']
        )
        for line in agent.read_log()
        if line['message_type'] == 'CoordinatorChanged'
        and line['coordinator'] == agent.ip
    ]
