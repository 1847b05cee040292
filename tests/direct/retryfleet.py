"""Fleet of entries that share a retry budget, in hand-driven time."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from random import Random

from ospreyford.direct.budget import RetryBudget
from ospreyford.direct.settings import RetrySettings

SETTINGS = RetrySettings(ratio=0.2, slack=90, window=10)
SERVICE = 's'
STEP_SECONDS = 0.1
#: Hosts whose entries a coordinator counts were heard from in this time.
HEARD_SECONDS = 3.0
#: Sendings of a request beyond its first.
MAX_RETRIES = 5


@dataclass
class Entry:
    """An entry's process.

    :param name: the host's name.
    :param budget: its retry budget.
    :param frozen_until: when it runs again, in seconds.
    :param cut_until: when agents hear from it again, in seconds.
    """

    name: str
    budget: RetryBudget
    frozen_until: float = 0
    cut_until: float = 0


@dataclass
class Fleet:
    """Entries in front of one service, and the coordinator that counts them.

    :param size: number of entries at the start.
    :param rate: requests per second at each entry.
    :param fails_from: when backends begin to refuse all requests, in seconds.
    """

    size: int
    rate: float
    fails_from: float
    now: float = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    miscounts_until: float = 0

    def __post_init__(self) -> None:
        """Start the entries."""
        self._heard: dict[str, float] = {}
        self._random = Random(self.size)
        self.add(self.size)

    def add(self, count: int) -> None:
        """Start entries on new hosts."""
        for _ in range(count):
            self.start(f'host-{len(self._heard) + len(self.entries)}')

    def start(self, name: str) -> None:
        """Start an entry, in place of the one on its host."""
        self.entries[name] = Entry(name, RetryBudget(SETTINGS, self.now))

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self.now < end:
            self.now += STEP_SECONDS
            running = [
                entry
                for entry in self.entries.values()
                if entry.frozen_until <= self.now
            ]
            self._count(running)
            for entry in running:
                self._serve(entry)

    def _count(self, running: list[Entry]) -> None:
        reached = [one for one in running if one.cut_until <= self.now]
        self._heard.update({one.name: self.now for one in reached})
        oldest = self.now - HEARD_SECONDS
        counted = sum(heard > oldest for heard in self._heard.values())
        if self.now < self.miscounts_until:
            counted = 1
        for entry in reached:
            entry.budget.record_entry_count(counted, self.now)

    def _serve(self, entry: Entry) -> None:
        while self._random.random() < self.rate * STEP_SECONDS / (
            1 + self.rate * STEP_SECONDS
        ):
            self.requests.append(self.now)
            entry.budget.record_request(SERVICE, self.now)
            if self.now >= self.fails_from:
                self._retry(entry)

    def _retry(self, entry: Entry) -> None:
        for _ in range(MAX_RETRIES):
            if not entry.budget.spend(SERVICE, self.now):
                break
            self.retries.append(self.now)

    def compute_excess(self) -> float:
        """Compute by how much retries exceeded the budget in any window.

        Requests are those of the window, of the one before it or of the one
        that began half a window earlier, whichever has most.

        :returns: retries beyond those allowed; negative if there were fewer.
        """
        return max(self._compute_window(at) for at in self.retries)

    def _compute_window(self, start: float) -> float:
        window = SETTINGS.window
        requests = max(
            _count_between(self.requests, begin, begin + window)
            for begin in (start, start - window / 2, start - window)
        )
        retries = _count_between(self.retries, start, start + window)
        return retries - SETTINGS.ratio * requests - SETTINGS.slack


def _count_between(times: list[float], start: float, end: float) -> int:
    return bisect_left(times, end) - bisect_left(times, start)
