"""One number that says which documents are in force."""

from __future__ import annotations

import msgspec
import xxhash

from ospreyford.documents.history import LastGood

DIGEST_BITS = 128


def digest_document(known: LastGood | None) -> int:
    """Hash one document in force.

    :param known: what is known of the document.
    :returns: a hash of its name, revision and canonical content; 0 when
        nothing of it is in force.
    """
    if known is None or known.good is None or known.body is None:
        return 0
    content = msgspec.json.encode(
        (known.good.name, known.good.revision, known.body),
        order='deterministic',
    )
    return xxhash.xxh3_128_intdigest(content)


def replace_digest(
    total: int, before: LastGood | None, after: LastGood | None
) -> int:
    """Exchange one document's share in the digest of all.

    A sum does not depend on the order of arrival, and one document can be
    taken out of it without reading the others.

    :param total: the digest of all.
    :param before: what of the document is in force in it.
    :param after: what shall be.
    :returns: the new digest of all.
    """
    change = digest_document(after) - digest_document(before)
    return (total + change) % (1 << DIGEST_BITS)
