"""One number that says which documents are in force."""

from __future__ import annotations

import msgspec
import xxhash

from ospreyford.documents.schema import DocumentBody

DIGEST_BITS = 128


def digest_body(name: str, revision: int, body: DocumentBody) -> int:
    """Hash one document in force.

    :param name: its key in the configuration service.
    :param revision: the revision in force.
    :param body: its content.
    :returns: a hash of name, revision and canonical content.
    """
    content = msgspec.json.encode((name, revision, body), order='deterministic')
    return xxhash.xxh3_128_intdigest(content)


def update_digest(total: int, before: int, after: int) -> int:
    """Exchange one document's share in the digest of all.

    A sum does not depend on the order of arrival, and one document can be
    taken out of it without reading the others.

    :param total: the digest of all.
    :param before: the digest of what is in force of the document; 0 if
        nothing is.
    :param after: the digest of what shall be, or 0.
    :returns: the new digest of all.
    """
    return (total + after - before) % (1 << DIGEST_BITS)
