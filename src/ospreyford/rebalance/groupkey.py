"""Identity of a rank group."""

from __future__ import annotations

from typing import Final, NamedTuple

import xxhash

#: Between the names in the digest; names of services contain no such byte.
SEPARATOR: Final = '\0'


class GroupKey(NamedTuple):
    """Identity of a group among all groups of all services.

    Two services may each have a group of the same name. The epoch of a group
    is no part of its identity, and is stated wherever it matters.

    :param service: name of the service.
    :param name: name of the group within the service; empty for backends that
        no group is known of.
    """

    service: str
    name: str

    def is_named(self) -> bool:
        """Check whether a group is known.

        :returns: whether ranks with this key form a group.
        """
        return bool(self.service and self.name)

    def compute_tag(self) -> int:
        """Compute the short form that stands for the key in messages.

        :returns: an unsigned number of 32 bits.
        """
        text = SEPARATOR.join(self)
        digest: int = xxhash.xxh32_intdigest(text.encode())
        return digest
