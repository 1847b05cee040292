"""The size to design for, and the rates that follow from it.

What the users gave stands first; the rest is arithmetic, or an assumption
that says so.
"""

from __future__ import annotations

from ospreyford.hosts.reader import READERS_PER_ZONE, TERM_SECONDS

DAY_SECONDS = 86_400

NODES = 1_200
REPLICAS = 4_300
ACCELERATORS = 34_000
PROCESSES = NODES + REPLICAS
REQUESTS_PER_SECOND = 46_000
TOKENS_PER_SECOND = 13_000_000
FIRST_TOKEN_SECONDS = 1.3
TOKEN_GAP_SECONDS = 0.039
RANKS = 64
CUSTOMERS = 37_000
MODELS = 8
ZONES = 6
CHANGES_A_DAY = 4_300
FAILED_A_DAY = 49
REPLACED_A_DAY = 1_300

#: What a node may spend on control.
CORE_SHARE = 0.042
MEMORY_MB = 64
BYTES_PER_SECOND = 6_000

TOKENS_A_REQUEST = TOKENS_PER_SECOND / REQUESTS_PER_SECOND
ENTRY_REQUESTS = REQUESTS_PER_SECOND / NODES
REPLICA_REQUESTS = REQUESTS_PER_SECOND / REPLICAS
#: Longest stay of a request that keeps to the promised times.
STAY_SECONDS = FIRST_TOKEN_SECONDS + TOKENS_A_REQUEST * TOKEN_GAP_SECONDS
ENTRY_IN_FLIGHT = ENTRY_REQUESTS * STAY_SECONDS
REPLICA_IN_FLIGHT = REPLICA_REQUESTS * STAY_SECONDS
SECONDS_A_CHANGE = DAY_SECONDS / CHANGES_A_DAY
#: How long a customer counts as active at an entry after one request: its
#: smoothed demand halves each second from 0.5 to below 0.02 (``limits.share``).
ACTIVE_SECONDS = 5
#: Seconds between two readings of the host list by one process, if each
#: takes its turns alike (``hosts.reader``).
HOST_LIST_SECONDS = TERM_SECONDS * PROCESSES / (READERS_PER_ZONE * ZONES)
#: Times a second that an entry forgets its plans: for a change of the
#: documents, and for a back end that goes, comes back and has its listing.
FORGETS_PER_SECOND = (
    1 / SECONDS_A_CHANGE
    + 3 * (FAILED_A_DAY + REPLACED_A_DAY) * (REPLICAS / PROCESSES) / DAY_SECONDS
)
#: Times a second that something of a member changes: a host that is
#: replaced leaves and comes back; one that fails is suspected, dead, and back.
MEMBER_CHANGES_PER_SECOND = (
    3 * FAILED_A_DAY + 2 * REPLACED_A_DAY
) / DAY_SECONDS
