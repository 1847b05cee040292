"""Parts of a request's prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

#: Parts read of one prompt.
MAX_PARTS: Final = 32


def read_shared_parts(headers: Headers, name: bytes) -> list[bytes]:
    """Read the parts of a prompt that requests share: all but the last.

    :param headers: the request's fields.
    :param name: name of the field, in lower case; it lists the parts in order,
        as comma-separated ID:TOKENS entries.
    :returns: ids of the parts, each once; entries without an id are left out.
    """
    listed = b','.join(text for field, text in headers if field == name)
    entries = listed.split(b',', MAX_PARTS)[:MAX_PARTS]
    ids = [entry.partition(b':')[0].strip().lower() for entry in entries]
    return [part for part in dict.fromkeys(ids[:-1]) if part]
