from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.parsing import Document, parse_document
from ospreyford.documents.resolver import Resolver, resolve_snapshot
from ospreyford.documents.schema import select_kinds
from ospreyford.documents.snapshot import ConfigurationSnapshot
from tests.documents import samples
from tests.documents.strategies import (
    BAD_TEXTS,
    BASE_ENTRIES,
    GOOD_TEXTS,
    HOSTS,
    MACHINE_SETTINGS,
    SEEDED_SETTINGS,
    SERVICES,
    entries,
    query_all,
    record_all,
)

ENTRY_LISTS = st.lists(entries(), max_size=14)


def in_force(seen: list[DocumentEntry]) -> dict[str, tuple[int, object]]:
    """Compute the documents in force from all revisions."""
    best: dict[str, DocumentEntry] = {}
    for entry in seen:
        good = entry.deleted or isinstance(
            parse_document(entry.name, entry.text), Document
        )
        if good and _key(entry) > _key(best.get(entry.name)):
            best[entry.name] = entry
    return {
        name: (entry.revision, parse_document(name, entry.text))
        for name, entry in best.items()
        if not entry.deleted
    }


def _key(entry: DocumentEntry | None) -> tuple[int, bool, bytes]:
    if entry is None:
        return (-1, False, b'')
    return (entry.revision, entry.deleted, entry.text)


@SEEDED_SETTINGS
@given(seen=ENTRY_LISTS, data=st.data())
def test_any_order_and_grouping_resolves_one_snapshot(
    seen: list[DocumentEntry], data: st.DataObject
) -> None:
    # Guards against snapshots that depend on the arrival order of revisions.
    known = [*BASE_ENTRIES, *seen]
    shuffled = data.draw(st.permutations([*known, *known[::2]]))
    cut = data.draw(st.integers(0, len(shuffled)))
    singles = ([entry] for entry in shuffled[cut:])
    whole = resolve_snapshot(known)
    parts = record_all([shuffled[:cut], *singles])
    assert query_all(parts) == query_all(whole)
    assert parts.rejected == whole.rejected


@SEEDED_SETTINGS
@given(seen=ENTRY_LISTS, other=ENTRY_LISTS)
def test_digests_are_equal_exactly_for_the_same_documents(
    seen: list[DocumentEntry], other: list[DocumentEntry]
) -> None:
    same = in_force(seen) == in_force(other)
    digests = {resolve_snapshot(seen).digest, resolve_snapshot(other).digest}
    assert (len(digests) == 1) is same


@SEEDED_SETTINGS
@given(seen=ENTRY_LISTS, text=BAD_TEXTS, name=st.integers(0, 8))
def test_malformed_revision_changes_nothing_else(
    seen: list[DocumentEntry], text: str, name: int
) -> None:
    # Guards against a malformed revision replacing the last good one.
    broken = DocumentEntry(f'doc-{name}', 9, text.encode())
    before = resolve_snapshot([*BASE_ENTRIES, *seen])
    after = resolve_snapshot([*BASE_ENTRIES, *seen, broken])
    assert query_all(after) == query_all(before)
    assert broken.name in {rejected.name for rejected in after.rejected}


@SEEDED_SETTINGS
@given(seen=ENTRY_LISTS)
def test_history_entries_resolve_to_the_same_snapshot(
    seen: list[DocumentEntry],
) -> None:
    # Guards against omitting the last good revision from the history.
    resolver = Resolver()
    resolver.record([*BASE_ENTRIES, *seen])
    fresh = resolve_snapshot(resolver.history.entries())
    assert query_all(fresh) == query_all(resolver.snapshot)
    assert fresh.rejected == resolver.snapshot.rejected


@SEEDED_SETTINGS
@given(seen=ENTRY_LISTS)
def test_agent_and_entry_agree_on_digest_and_drains(
    seen: list[DocumentEntry],
) -> None:
    # Guards against digests or drains that depend on the kinds kept.
    entry, agent = (
        Resolver(select_kinds(role)) for role in ('entry', 'backend')
    )
    known = [*BASE_ENTRIES, *seen]
    for one in known:
        entry.record([one])
        agent.record([one])
    assert agent.snapshot.digest == entry.snapshot.digest
    assert agent.snapshot.rejected == entry.snapshot.rejected
    assert query_as_agent(agent.snapshot) == query_as_agent(entry.snapshot)


def query_as_agent(snapshot: ConfigurationSnapshot) -> list[object]:
    return [
        [snapshot.drain_document_of(host) for host in HOSTS],
        [snapshot.labels_of(host) for host in HOSTS],
        [snapshot.placement(name) for name in SERVICES],
    ]


@pytest.mark.parametrize('left_out', range(len(samples.BASE)))
def test_snapshot_is_immutable(left_out: int) -> None:
    # Guards against tables that are shared mutably between snapshots.
    known = samples.base_entries()
    later = known.pop(left_out)
    resolver = Resolver()
    earlier = resolver.record(known)
    assert resolver.record([later]) is not earlier
    assert query(earlier) == query(resolve_snapshot(known))
    assert query(resolver.snapshot) == query(resolve_snapshot([*known, later]))


def query(snapshot: ConfigurationSnapshot) -> list[object]:
    host = samples.make_host('h', accelerator='large', rack='r7')
    return [
        snapshot.route('soum-clerks', 'drafting'),
        snapshot.limit_of('soum-clerks'),
        snapshot.drain_of(host),
        snapshot.members('drafting-main', (host,)),
        snapshot.service('quotation'),
    ]


class HistoryMachine(RuleBasedStateMachine):
    """Delivers revisions late, twice and out of order."""

    def __init__(self) -> None:
        super().__init__()
        self.resolver = Resolver()
        self.seen: list[DocumentEntry] = []
        self.revisions: dict[str, int] = {}

    @rule(entry=entries())
    def deliver(self, entry: DocumentEntry) -> None:
        self.seen.append(entry)
        self.resolver.record([entry])

    @rule(text=GOOD_TEXTS, name=st.integers(0, 3))
    def publish_next(self, text: str, name: int) -> None:
        known = self.resolver.history.find(f'doc-{name}')
        revision = known.newest.revision + 1 if known else 1
        self.deliver(DocumentEntry(f'doc-{name}', revision, text.encode()))

    @rule(data=st.data())
    def deliver_again(self, data: st.DataObject) -> None:
        if self.seen:
            entry = data.draw(st.sampled_from(self.seen))
            self.resolver.record([entry])

    @invariant()
    def newest_good_revision_is_in_force(self) -> None:
        # Guards against taking the last revision received for the newest.
        expected = in_force(self.seen)
        names = {entry.name for entry in self.seen}
        for name in names:
            known = self.resolver.history.find(name)
            assert known is not None
            revision, document = expected.get(name, (0, None))
            body = document.body if isinstance(document, Document) else None
            assert known.body == body
            if body is not None and known.last_good is not None:
                assert known.last_good.revision == revision

    @invariant()
    def revisions_never_go_back(self) -> None:
        names = {entry.name for entry in self.seen}
        for name in names:
            known = self.resolver.history.find(name)
            good = known.last_good if known else None
            revision = good.revision if good else 0
            assert revision >= self.revisions.get(name, 0)
            self.revisions[name] = revision


TestHistoryMachine = HistoryMachine.TestCase
TestHistoryMachine.settings = MACHINE_SETTINGS
