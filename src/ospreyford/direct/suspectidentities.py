"""Under which identities a request may be suspected of crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.direct.prompts import read_shared_parts
from ospreyford.suspects.identities import (
    compute_identity,
    compute_part_identity,
)
from ospreyford.suspects.suspect import Suspect
from ospreyford.suspects.table import MAX_TEXT_CHARACTERS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ospreyford.direct.call import Call


class SuspectIdentifier:
    """Identities of requests, and of the prompt parts that they share.

    :param salt: key of the identities, the same in all entries.
    :param prompt_field: name of the field that lists the parts of a prompt.
    """

    def __init__(self, salt: bytes, prompt_field: bytes) -> None:
        self._salt = salt
        self._prompt_field = prompt_field

    def identify(self, call: Call) -> tuple[bytes, ...]:
        """Return the identities of a request, computed when first needed.

        :param call: the request.
        :returns: its own, and those of the prompt parts that it shares.
        """
        if not call.identities:
            own = compute_identity(
                self._salt,
                _get_customer_name(call),
                call.request.target,
                call.body,
            )
            parts = (
                compute_part_identity(self._salt, part)
                for part in self._read_parts(call)
            )
            call.identities = (own, *parts)
        return call.identities

    def list_suspects(self, call: Call, limit: int) -> Iterator[Suspect]:
        """List what may have crashed a backend on which a request had begun.

        :param call: the request.
        :param limit: crashes at which each is blocked.
        :returns: the request first, then the prompt parts that it shares.
        """
        own, *identities = self.identify(call)
        target = call.request.target[:MAX_TEXT_CHARACTERS]
        yield Suspect(own, _get_customer_name(call), target, limit)
        parts = self._read_parts(call)
        for identity, part in zip(identities, parts, strict=True):
            label = f'prompt part {part.decode("latin-1")}'
            yield Suspect(
                identity, '', label[:MAX_TEXT_CHARACTERS], limit, is_part=True
            )

    def _read_parts(self, call: Call) -> list[bytes]:
        return read_shared_parts(call.request.headers, self._prompt_field)


def _get_customer_name(call: Call) -> str:
    return call.customer.name if call.customer else ''
