"""Registration of flows with their registrars.

An agent registers its longer-lived flows with a few agents of its service,
chosen by rendezvous hashing over the view, so that any entry finds the holder
without querying every agent. It registers them again with agents that become
their registrars when the view changes.
"""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import Final

import xxhash

from ragwortpost.datapath.connection._inventories import flow_hash
from ragwortpost.datapath.connection._packet import FlowKey

# Registrars of each flow: two, since one may be down.
REGISTRAR_COUNT: Final = 2
# Flows are hashed to this number of buckets, and the registrars of a bucket by
# rendezvous hashing. Enough that all of a hundred agents get like numbers of
# flows.
REGISTRAR_BUCKETS: Final = 4096
_BUCKET_BYTES: Final = 2
# Maximum flows registered in one tick, if some are registered again after a
# change of the view. Bounds the time that a tick takes and the datagrams it
# sends at once.
MAX_REGISTRATIONS_PER_TICK: Final = 200
# Age at which a flow is registered. Flows that carry a single request have
# ended by then.
REGISTRATION_DELAY_SECONDS: Final = 0.3


class RegistrarTable:
    """The registrars of all flows, for one set of agents.

    Flows share registrars with the others of their bucket, so that most calls
    don't iterate over the agents.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        """Initialize with the addresses of all agents of a service."""
        self._hosts = tuple(hosts)
        self._registrars: dict[int, Sequence[str]] = {}

    def has_hosts(self, hosts: Sequence[str]) -> bool:
        """Return whether the table is for agents with these addresses."""
        return self._hosts == hosts

    def registrars_of(self, flow: FlowKey) -> Sequence[str]:
        """Return the addresses of the agents a flow is registered with."""
        bucket = flow_hash(flow) % REGISTRAR_BUCKETS
        registrars = self._registrars.get(bucket)
        if registrars is None:
            key = bucket.to_bytes(_BUCKET_BYTES)
            registrars = heapq.nsmallest(
                REGISTRAR_COUNT,
                self._hosts,
                key=lambda host: xxhash.xxh64_intdigest(key + host.encode()),
            )
            self._registrars[bucket] = registrars
        return registrars


def registrars_of(flow: FlowKey, hosts: Iterable[str]) -> Sequence[str]:
    """Return the addresses of the agents that a flow is registered with."""
    return RegistrarTable(hosts).registrars_of(flow)


class RegistrationQueue:
    """Flows to be registered: new ones, and those to be registered again."""

    def __init__(self) -> None:
        """Start empty."""
        # New flows and the times at which they were added, oldest first.
        self._flows: deque[tuple[float, FlowKey]] = deque()
        self._renewals: dict[FlowKey, None] = {}

    def add(self, flow: FlowKey, now: float) -> None:
        """Add a new flow."""
        self._flows.append((now, flow))

    def pop_due(self, now: float) -> Iterator[FlowKey]:
        """Remove and yield the new flows that are old enough."""
        while (
            self._flows
            and now - self._flows[0][0] >= REGISTRATION_DELAY_SECONDS
        ):
            yield self._flows.popleft()[1]

    def renew(self, flows: Iterable[FlowKey]) -> None:
        """Add registered flows whose registrars may have changed.

        Flows that are still to be registered again keep their turn: the view
        may change faster than all of them are registered.
        """
        for flow in flows:
            self._renewals.setdefault(flow)

    def pop_renewals(self, limit: int) -> Sequence[FlowKey]:
        """Remove and return at most ``limit`` flows to register again."""
        flows = tuple(islice(self._renewals, max(0, limit)))
        for flow in flows:
            self._renewals.pop(flow)
        return flows
