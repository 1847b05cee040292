"""Judges what callers were told by what the back ends' journals show."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from ospreyford.standins.batch import Completion, make_token
from ospreyford.standins.plain import make_rate
from tests.processes.callers import Ask, Kind, Told

Entry = dict[str, Any]
Journal = list[Entry]


class Referee:
    """Holds what was told and what ran."""

    def __init__(self, told: list[Told], journal: Journal) -> None:
        self.told = told
        self.runs: defaultdict[str, Journal] = defaultdict(list)
        self.ids = {entry['request_id'] for entry in journal}
        for entry in journal:
            self.runs[_tag_of(entry)].append(entry)

    def find_broken(self) -> dict[Kind, list[str]]:
        """Find the broken promises, by the kind of request."""
        broken: dict[Kind, list[str]] = {kind: [] for kind in Kind}
        for told in self.told:
            broken[told.ask.kind] += self._judge(told)
        asked = {told.ask for told in self.told}
        for ask in asked:
            broken[ask.kind] += self._judge_runs(ask)
        return broken

    def count_outcomes(self, kind: Kind) -> Counter[str]:
        """Count what callers of a kind were told."""
        return Counter(
            f'{told.outcome} ({told.cause})' if told.cause else told.outcome
            for told in self.told
            if told.ask.kind is kind
        )

    def _judge_runs(self, ask: Ask) -> Iterator[str]:
        times = len(self.runs[ask.tag])
        if times > 1 and ask.kind in {Kind.keyed, Kind.unkeyed}:
            yield f'{ask.kind} {ask.tag} ran {times} times'
        bodies = {
            told.body
            for told in self.told
            if told.ask == ask and told.outcome == 'answered'
        }
        if len(bodies) > 1 and ask.key:
            yield f'{ask.tag}: one key, {len(bodies)} answers'

    def _judge(self, told: Told) -> Iterator[str]:
        match told.outcome:
            case 'not-run':
                yield from self._judge_not_run(told)
            case 'answered':
                if not self._is_own_and_whole(told):
                    yield f'not the whole answer: {told}'
            case 'cut':
                if not self._is_beginning(told):
                    yield f'cut answer is not a beginning: {told}'
            case 'unknown' | 'lost' | 'refused':
                return
            case other:
                yield f'no outcome that is known: {other}'

    def _judge_not_run(self, told: Told) -> Iterator[str]:
        # A caller who was told "not run" may come again with the key, so a
        # later run under another request id breaks nothing.
        if told.request_id in self.ids:
            yield f'told not run, ran: {told}'
        for entry in self.runs[told.ask.tag]:
            if entry['at'] < told.ended:
                yield f'told not run, had run: {told}'

    def _is_own_and_whole(self, told: Told) -> bool:
        ask = told.ask
        match ask.kind:
            case Kind.rate:
                expected = make_rate(ask.tag)
                answer = json.loads(told.body)
                return bool(
                    answer == {'name': expected.name, 'rate': expected.rate}
                )
            case Kind.stream:
                return told.body == b''.join(_expect_lines(told))
            case _:
                answer = json.loads(told.body)
                ran = len(self.runs[ask.tag]) == 1
                return ran and (answer['asked'], answer['key']) == (
                    ask.tag,
                    ask.key,
                )

    def _is_beginning(self, told: Told) -> bool:
        if told.ask.kind is not Kind.stream:
            return True
        # It may hold all pieces and lack only the end mark: an entry can be
        # killed between the two. The caller sees it as cut all the same.
        return b''.join(_expect_lines(told)).startswith(told.body)


def _tag_of(entry: Entry) -> str:
    if entry['event'] == 'rates':
        return str(entry['note']['name'])
    return str(entry['event']).partition('/')[2]


def _expect_lines(told: Told) -> Iterator[bytes]:
    ask = told.ask
    completion = Completion(
        prompt=ask.tag, max_tokens=ask.tokens, token_chars=ask.width
    )
    for index in range(ask.tokens):
        token = make_token(told.request_id, completion, index)
        yield b'{"index":%d,"token":"%b"}\n' % (index, token.encode())
    yield b'{"done":true,"tokens":%d}\n' % ask.tokens
