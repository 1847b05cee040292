"""The documents in force in a process."""

from __future__ import annotations

from threading import Event
from typing import Any

import curio
import pytest

from ospreyford.distribution.bootstrap import Ready
from ospreyford.distribution.entries import Entry
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.node.configuration import Configuration
from tests.documents.samples import CUSTOMERS, MODEL

MALFORMED = Entry('model', 3, b'kind = ')


class Source:
    """Hands entries over as the distribution does."""

    def __init__(self) -> None:
        self.tell: Any = None
        self.refusals = 2

    def subscribe(self, listener: Any) -> None:
        self.tell = listener

    async def bootstrap(self) -> Any:
        self.refusals -= 1
        return Ready(1) if self.refusals < 0 else None


class Announcer:
    def __init__(self) -> None:
        self.told: list[int] = []

    def tell_picture(
        self, picture: ConfigurationSnapshot, revision: int
    ) -> None:
        self.told.append(revision)


def entry(name: str, revision: int, text: str) -> Entry:
    return Entry(name, revision, text.encode())


class Running:
    """A configuration whose tasks run in this kernel."""

    def __init__(self) -> None:
        self.source = Source()
        self.announcer = Announcer()
        self.pictures: list[ConfigurationSnapshot] = []
        source: Any = self.source
        announcer: Any = self.announcer
        self.configuration = Configuration(source, announcer)
        self.configuration.listen(self.pictures.append)

    async def __aenter__(self) -> Running:
        await self.configuration.run_bootstrap()
        self.task = await curio.spawn(self.configuration.run)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.task.cancel()

    async def take(self, *entries: Entry) -> None:
        """Hand entries over and wait until they were taken."""
        taken = len(self.pictures)
        self.source.tell(entries)
        async with curio.timeout_after(5):
            while len(self.pictures) == taken:
                await curio.sleep(0.01)


@pytest.mark.parametrize('late', [False, True])
def test_documents_in_force_are_the_newest_good_ones(late: bool) -> None:
    """Symptom looked for: an older or malformed document takes over."""
    batches = [
        (entry('model', 2, MODEL), entry('customers', 1, CUSTOMERS)),
        (entry('model', 1, MODEL.replace('drafting', 'older')),),
        (MALFORMED,),
    ]

    async def main() -> Running:
        async with Running() as running:
            assert not running.configuration.ready
            for batch in reversed(batches) if late else batches:
                await running.take(*batch)
            assert running.configuration.ready
            return running

    running = curio.run(main)
    assert running.source.refusals == -1
    picture = running.configuration.picture
    assert running.pictures[-1] is picture
    assert picture.service('drafting') is not None
    assert picture.service('older') is None
    assert [one.name for one in picture.rejected] == ['model']
    assert running.configuration.revision == MALFORMED.revision
    assert running.announcer.told == sorted(running.announcer.told)


def test_reading_documents_stops_nothing_else() -> None:
    """A large document must not stop what runs beside it.

    Symptom: every entry's streams stand still, and heartbeats are missed,
    at the moment that somebody publishes a document of a megabyte.
    Sequence: the document is resolved while answers are relayed.
    Cause: it was resolved on the event loop.
    """

    async def main() -> bool:
        async with Running() as running:
            others_ran = Event()
            waited: list[bool] = []
            record = running.configuration.resolver.record

            def record_slowly(entries: Any) -> Any:
                waited.append(others_ran.wait(2))
                return record(entries)

            resolver: Any = running.configuration.resolver
            resolver.record = record_slowly
            taking = await curio.spawn(running.take, entry('model', 1, MODEL))
            await curio.sleep(0.05)
            others_ran.set()
            await taking.join()
            return waited[0]

    assert curio.run(main)
