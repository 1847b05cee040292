"""Documents that describe one named thing: a pool, a service."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

from ospreyford.documents.conflicts import (
    Conflict,
    ConflictKind,
    rank,
    rule_between,
)
from ospreyford.documents.values import PublishedDocument

Body = TypeVar('Body', bound=PublishedDocument)


class Claim(NamedTuple, Generic[Body]):
    """One document that describes a thing."""

    name: str
    body: Body


class BodyChange(NamedTuple, Generic[Body]):
    """A document of one kind that came, changed or went."""

    name: str
    before: Body | None
    after: Body | None


class ClaimTable(Generic[Body]):
    """For each named thing the documents that describe it.

    :param kind: what a conflict over such a thing is called.
    :param key_of: the thing's name in a document.
    :param claims: by thing, the winner first.
    """

    def __init__(
        self,
        kind: ConflictKind,
        key_of: Callable[[Body], str],
        claims: Mapping[str, tuple[Claim[Body], ...]] | None = None,
    ) -> None:
        self._kind = kind
        self._key_of = key_of
        self._claims = dict(claims or {})

    def replaced(
        self, changes: tuple[BodyChange[Body], ...]
    ) -> ClaimTable[Body]:
        """Take in changed documents.

        :param changes: what came, changed or went.
        :returns: a new table; this one stays as it is.
        """
        table = ClaimTable(self._kind, self._key_of, self._claims)
        for change in changes:
            if change.before is not None:
                table._remove(change.name, change.before)
            if change.after is not None:
                table._add(Claim(change.name, change.after))
        return table

    def winner(self, key: str) -> Claim[Body] | None:
        """Look up a thing.

        :param key: the thing's name.
        :returns: the document in force, or ``None``.
        """
        claims = self._claims.get(key)
        return claims[0] if claims else None

    def winners(self) -> Iterator[Claim[Body]]:
        """List the things.

        :returns: for each the document in force.
        """
        return (claims[0] for claims in self._claims.values())

    def claims(self) -> Iterator[Claim[Body]]:
        """List all documents, also those that lost.

        :returns: the documents in no certain order.
        """
        for claims in self._claims.values():
            yield from claims

    def conflicts(self) -> Iterator[Conflict]:
        """List the things that several documents describe.

        :returns: one conflict for each document that lost.
        """
        for key, claims in self._claims.items():
            winner = claims[0]
            for loser in claims[1:]:
                rule = rule_between(rank(*winner), rank(*loser))
                yield Conflict(self._kind, key, winner.name, loser.name, rule)

    def _add(self, claim: Claim[Body]) -> None:
        key = self._key_of(claim.body)
        claims = (*self._claims.get(key, ()), claim)
        self._claims[key] = tuple(
            sorted(claims, key=lambda known: rank(*known))
        )

    def _remove(self, name: str, body: Body) -> None:
        key = self._key_of(body)
        kept = tuple(claim for claim in self._claims[key] if claim.name != name)
        if kept:
            self._claims[key] = kept
        else:
            self._claims.pop(key)
