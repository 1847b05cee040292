"""Decimal numbers in header fields of backends."""

from __future__ import annotations

import re
from typing import Final

#: Longer values are refused before they are matched.
MAX_CHARACTERS: Final = 32
DECIMAL_NUMBER: Final = re.compile(rb'\d+(?:\.\d*)?|\.\d+')


def parse_decimal(text: bytes) -> float | None:
    """Parse a decimal number without a sign or an exponent.

    :param text: the raw value.
    :returns: the number, 0 or greater; ``None`` if it is not a decimal number.
    """
    digits = text.strip()
    is_short = len(digits) <= MAX_CHARACTERS
    if not is_short or DECIMAL_NUMBER.fullmatch(digits) is None:
        return None
    return float(digits)


def shorten(text: bytes) -> str:
    """Shorten a value for a log line.

    :param text: the raw value.
    :returns: its beginning.
    """
    return text[:MAX_CHARACTERS].decode('latin-1')
