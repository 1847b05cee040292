"""Sample documents and hosts."""

from __future__ import annotations

from ospreyford.documents.history import DocumentEntry
from ospreyford.ports.fleet import Host

MODEL = """
kind = "model"
team = "platform"
title = "Drafting"
name = "drafting"
labels = { family = "text" }
"""

QUOTATION = """
kind = "service"
team = "platform"
title = "Quotation"
name = "quotation"
non_idempotent = ["POST /quotes"]
"""

POOL = """
kind = "capacity-pool"
team = "platform"
title = "Drafting hosts"
name = "drafting-main"
service = "drafting"
hosts = { labels = { accelerator = "large" } }
"""

CUSTOMERS = """
kind = "customer"
team = "sales"
title = "Customers"
[customers]
soum-clerks = { size = "large", sector = "public" }
pension-banks = { size = "small", sector = "private" }
"""

INTENT = """
kind = "routing-intent"
team = "platform"
title = "Default"
service = "drafting"
customers = { everything = true }
pools = ["drafting-main"]
"""

LIMIT = """
kind = "customer-limit"
team = "sales"
title = "Default limit"
customers = { everything = true }
[limits]
requests_per_second = 100
concurrency = 20
"""

DRAIN = """
kind = "drain-request"
team = "hardware"
title = "Rack 7"
reason = "power works"
hosts = { labels = { rack = "r7" } }
"""

BASE = (MODEL, QUOTATION, POOL, CUSTOMERS, INTENT, LIMIT, DRAIN)


def entry(
    name: str, text: str | bytes = b'', revision: int = 1
) -> DocumentEntry:
    """Make a revision from a document's text."""
    encoded = text.encode() if isinstance(text, str) else text
    return DocumentEntry(name, revision, encoded)


def base_entries() -> list[DocumentEntry]:
    """Return one document of each main kind."""
    return [entry(f'doc-{index}', text) for index, text in enumerate(BASE)]


def make_host(name: str, **labels: str) -> Host:
    """Make a backend server host of the drafting service."""
    return Host(
        name=name,
        instance=f'{name}-1',
        role='backend',
        zone='zone-a',
        region='region-1',
        service='drafting',
        data_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        labels=labels,
    )
