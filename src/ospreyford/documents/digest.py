"""Order-independent digest of the documents in force."""

from __future__ import annotations

import msgspec
import xxhash

from ospreyford.documents.schema import DocumentBody

DIGEST_BITS = 128


def digest_body(name: str, revision: int, body: DocumentBody) -> int:
    """Compute the digest of one document.

    :param name: its key in the configuration service.
    :param revision: the revision in force.
    :param body: its content.
    :returns: a hash of name, revision and canonical content.
    """
    content = msgspec.json.encode((name, revision, body), order='deterministic')
    return xxhash.xxh3_128_intdigest(content)


def update_digest(total: int, before: int, after: int) -> int:
    """Replace one document in the digest, a sum modulo 2**128.

    :param total: the digest of all documents.
    :param before: the document's previous digest, or 0.
    :param after: the document's new digest, or 0.
    :returns: the new digest of all documents.
    """
    return (total + after - before) % (1 << DIGEST_BITS)
