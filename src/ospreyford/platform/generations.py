"""Generation of the store, as named in its responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.http.message import find_header
from ospreyford.platform.errors import StoreRestored, StoreUnavailable
from ospreyford.platform.headernames import STORE_GENERATION

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

#: Longer numbers are refused.
MAX_DIGITS: Final = 18


class GenerationTracker:
    """Tracks the generation that the store names in each response.

    A higher one means that the store came back from an older copy: revisions of
    earlier generations are given out again and say nothing any more.

    ``problem`` describes the first response without a readable generation.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.problem: str | None = None

    @property
    def number(self) -> int:
        """The current generation; -1 before one was read."""
        return -1 if self.current is None else self.current

    def check(self, headers: Headers) -> None:
        """Check the generation of a response.

        The first generation seen is the baseline. A response that names none
        changes nothing.

        :param headers: header fields of the response.
        :raises StoreRestored: the generation is higher than before.
        :raises StoreUnavailable: the response is of an earlier generation.
        """
        raw = find_header(headers, STORE_GENERATION)
        generation = _parse_generation(raw)
        if generation is None:
            self.problem = self.problem or _describe(raw)
            return
        known = self.current
        if known is None:
            self.current = generation
        elif generation > known:
            self.current = generation
            raise StoreRestored(generation)
        elif generation < known:
            raise StoreUnavailable(
                f'response of generation {generation}, expected {known}'
            )


def _parse_generation(raw: bytes | None) -> int | None:
    digits = b'' if raw is None else raw.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def _describe(raw: bytes | None) -> str:
    name = STORE_GENERATION.decode()
    if raw is None:
        return f'{name} is missing'
    return f'{name} is not a number of at most {MAX_DIGITS} digits: {raw!r}'
