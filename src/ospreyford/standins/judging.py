"""Judges what callers were told by what the back ends really ran."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ospreyford.standins.asking import Told

OK_STATUS = 200
ANSWERED = 'answered'


def judge_told(
    told: list[Told],
    journal: list[dict[str, Any]],
    call: str,
) -> list[str]:
    """Compare what callers were told with the back ends' journals.

    :param told: what each caller was told.
    :param journal: the journals' entries of the plain service.
    :param call: the path of the call that may run once only.
    :returns: the promises that did not hold.
    """
    event = call.removeprefix('/')
    runs = Counter(row['key'] for row in journal if row['event'] == event)
    ids = {row['request_id'] for row in journal}
    problems = [
        'key {0} ran {1} times'.format(key, count)
        for key, count in runs.items()
        if count > 1
    ]
    for one in told:
        problems.extend(_judge_one(one, runs, ids))
    if ANSWERED not in {each.outcome for each in told}:
        problems.append('nothing was answered')
    return problems


def _judge_one(
    told: Told,
    runs: Counter[str],
    ids: set[Any],
) -> Iterator[str]:
    if told.outcome == 'not-run' and told.request_id in ids:
        yield 'told not run, ran: {0}'.format(told.request_id)
    if told.outcome == ANSWERED and told.status == OK_STATUS:
        yield from _judge_answer(told, runs)


def _judge_answer(told: Told, runs: Counter[str]) -> Iterator[str]:
    key = told.request.key
    if key and key.encode() not in told.body:
        yield "somebody else's answer for key {0}".format(key)
    if key and not runs[key]:
        yield 'answered, never ran: key {0}'.format(key)
    streamed = '/completions' in told.request.target
    if streamed and b'"done":true' not in told.body:
        yield 'answer not whole: {0}'.format(told.request_id)
