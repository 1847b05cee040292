"""Plan of a soak: what happens when, drawn by seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

#: Traffic before the first event, and after the last one.
CALM_SECONDS = 2.0
#: Time in which events begin.
EVENT_SECONDS = 16.0
#: The last stop may take its whole grace.
RECOVERY_SECONDS = 10.0


@dataclass(frozen=True)
class Restart:
    """An entry gets SIGTERM, and starts again when it has ended.

    :param entry: its number.
    :param repeats: times of further SIGTERMs after the first one, in seconds.
    :param hang_ups: the same of SIGHUPs.
    :param down_seconds: from its end until it starts again.
    :param early_hang_up: time of a SIGHUP after it listens again, in seconds;
        ``None`` for none.
    """

    entry: int
    repeats: tuple[float, ...]
    hang_ups: tuple[float, ...]
    down_seconds: float
    early_hang_up: float | None


@dataclass(frozen=True)
class HangUp:
    """The settings file of an entry changes, and SIGHUP tells it so.

    :param entry: its number.
    :param slack: new value of the retry budget's slack.
    """

    entry: int
    slack: int


@dataclass(frozen=True)
class Publish:
    """The operator writes a new configuration.

    :param timeout_ms: timeout of its streams.
    """

    timeout_ms: int


@dataclass(frozen=True)
class Silence:
    """The rank group begins no passes.

    :param seconds: for how long.
    """

    seconds: float


@dataclass(frozen=True)
class Crowd:
    """The ranks refuse new requests, as if they were full.

    :param seconds: for how long.
    """

    seconds: float


@dataclass(frozen=True)
class Faulty:
    """Plain servers answer wrongly.

    :param seconds: for how long.
    :param late: share of answers of which a second copy comes late.
    :param unmarked: share of runs that end in a failure with a status that
        would promise that they have not run.
    """

    seconds: float
    late: float
    unmarked: float


@dataclass(frozen=True)
class Endless:
    """Servers, and ranks of the group, send answers that never end.

    :param seconds: for how long such answers begin.
    :param share: share of the answers, of figures of the ranks as well.
    """

    seconds: float
    share: float


Event = Restart | HangUp | Publish | Silence | Crowd | Faulty | Endless


class Step(NamedTuple):
    """An event and its time.

    :param at: seconds since the start of traffic.
    :param event: what happens.
    """

    at: float
    event: Event


def draw_plan(seed: int, entries: int) -> list[Step]:
    """Draw the events of a soak.

    :param seed: the same one draws the same plan.
    :param entries: number of entries.
    :returns: the steps, by time.
    """
    random = Random(seed)
    steps = [
        *_draw_restarts(random, entries),
        *_draw_configurations(random, entries),
        *_draw_servers(random),
        *_draw_endless(random),
    ]
    return sorted(steps, key=lambda step: step.at)


def _draw_time(random: Random) -> float:
    return CALM_SECONDS + random.uniform(0, EVENT_SECONDS)


def _draw_restarts(random: Random, entries: int) -> list[Step]:
    """Draw stops in series; those of different entries overlap."""
    steps = []
    at = CALM_SECONDS + random.uniform(0, 2)
    while at < CALM_SECONDS + EVENT_SECONDS:
        restart = Restart(
            random.randrange(entries),
            _draw_offsets(random, 0.5),
            _draw_offsets(random, 0.4),
            random.uniform(0.05, 0.4),
            random.choice((None, None, random.uniform(0, 0.7))),
        )
        steps.append(Step(at, restart))
        at += random.uniform(0.5, 4)
    return steps


def _draw_offsets(random: Random, probability: float) -> tuple[float, ...]:
    is_drawn = random.random() <= probability
    count = random.randint(1, 3) if is_drawn else 0
    return tuple(sorted(random.uniform(0.01, 7) for _ in range(count)))


def _draw_configurations(random: Random, entries: int) -> list[Step]:
    steps = [
        Step(
            _draw_time(random),
            HangUp(random.randrange(entries), random.randint(80, 99)),
        )
        for _ in range(random.randint(2, 6))
    ]
    steps += [
        Step(_draw_time(random), Publish(random.choice((7000, 8000, 9000))))
        for _ in range(random.randint(1, 4))
    ]
    return steps


def _draw_servers(random: Random) -> list[Step]:
    steps = [
        Step(_draw_time(random), Silence(random.uniform(0.8, 3.5)))
        for _ in range(random.randint(1, 4))
    ]
    steps += [
        Step(_draw_time(random), Crowd(random.uniform(0.5, 2)))
        for _ in range(random.randint(0, 3))
    ]
    steps += [
        Step(
            _draw_time(random),
            Faulty(
                random.uniform(2, 6),
                random.choice((0, 0.05, 0.2)),
                random.choice((0, 0.05, 0.2)),
            ),
        )
        for _ in range(random.randint(1, 3))
    ]
    return steps


def _draw_endless(random: Random) -> list[Step]:
    return [
        Step(
            _draw_time(random),
            Endless(random.uniform(1, 4), random.choice((0.02, 0.1, 0.3))),
        )
        for _ in range(random.randint(0, 2))
    ]
