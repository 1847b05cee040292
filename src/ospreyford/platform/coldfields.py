"""Numbers about cold replicas in the records of the platform's store."""

from __future__ import annotations

from typing import Any

#: Upper bound of all quantities.
MAX_QUANTITY = 1_000_000_000
#: Characters of an unreadable value that a log line shows.
MAX_SHOWN_CHARACTERS = 32


def read_quantity(name: str, stored: Any) -> tuple[float | None, str | None]:
    """Read an optional quantity that other programs may have written.

    :param name: its name, for the problem.
    :param stored: the decoded value.
    :returns: the number, 0 or greater, or ``None`` if it is missing or
        unreadable; and what is wrong with it, or ``None``.
    """
    if stored is None:
        return None, None
    is_number = isinstance(stored, int | float) and not isinstance(stored, bool)
    if not is_number:
        shown = repr(stored)[:MAX_SHOWN_CHARACTERS]
        return None, f'{name} is no quantity: {shown}'
    if not 0 <= stored <= MAX_QUANTITY:
        return None, f'{name} is not between 0 and {MAX_QUANTITY}'
    return float(stored), None
