"""Explains why a selector does not match."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.documents.selectors import AnyTerm, Labels, Selector


@dataclass(frozen=True)
class TermFailed:
    """A selector does not match; ``found`` is the label's value, if any."""

    term: AnyTerm
    found: str | None


def find_mismatch(selector: Selector, labels: Labels) -> TermFailed | None:
    """Find why a selector does not match.

    :param selector: the selector.
    :param labels: the labels to match.
    :returns: the first term that fails, or ``None`` when all match.
    """
    term = selector.find_failed_term(labels)
    return TermFailed(term, labels.get(term.label)) if term else None
