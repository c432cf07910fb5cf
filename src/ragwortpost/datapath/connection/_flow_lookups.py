"""An entry's lookups of the agent that holds a flow.

After the routers redistribute flows, an entry receives packets of flows whose
holder it has not cached. It first queries the flow's registrars, then all
agents that may hold it; only the holder delivers the packet. The flow is reset
when all of them have denied it, never because some did not reply.
"""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey, Packet

# A lookup is discarded after this time, and the flow's next packet starts a
# new one. Callers retransmit a lost packet several times within it.
LOOKUP_TIMEOUT_SECONDS: Final = 3.0
# Time for which only local agents are queried for a flow without a view. The
# queries of all flows at once keep a low-capacity entry busy for about as long.
LOCAL_ONLY_SECONDS: Final = 0.5
# Up to this number of agents of a service, all are queried at once with the
# packet itself: querying the registrars first would save little.
DIRECT_QUERY_LIMIT: Final = 8


@dataclass(slots=True)
class FlowLookup:
    """The lookup of one flow's holder."""

    # The caller's last packet.
    packet: Packet
    # Agents that were queried since the caller's last packet.
    queried: set[str]
    # Agents that replied that they don't hold the flow.
    denied: set[str]
    # Monotonic seconds of the first query.
    started_at: float
    # Whether all agents are queried, not only the registrars.
    queries_all: bool = False
    # The service whose agents' inventories it awaits; empty if it awaits none.
    service: str = ''
    # Order of its start among the lookups that await inventories, and its
    # position in the queue of those.
    began: int = 0
    position: int = 0
    # Agents whose inventories have listed the flow since then.
    listed_by: set[str] = field(default_factory=set)


class FlowLookups:
    """The lookups of one entry, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._lookups: dict[FlowKey, FlowLookup] = {}
        # Lookups that query only registrars as far as known, and those whose
        # missing replies were not reported.
        self._narrow: dict[FlowKey, FlowLookup] = {}
        self._unreported: dict[FlowKey, FlowLookup] = {}

    def __len__(self) -> int:
        """Return the number of lookups."""
        return len(self._lookups)

    def __iter__(self) -> Iterator[FlowLookup]:
        """Yield all lookups; they may be removed meanwhile."""
        yield from tuple(self._lookups.values())

    def get(self, flow: FlowKey) -> FlowLookup | None:
        """Return the lookup of a flow, or none if there is none."""
        return self._lookups.get(flow)

    def start(self, packet: Packet, now: float) -> FlowLookup:
        """Return the lookup of a packet's flow, started if there is none.

        The packet replaces the last one, and all agents may be queried again.
        """
        lookup = self._lookups.get(packet.flow)
        if lookup is None:
            lookup = FlowLookup(packet, set(), set(), now)
            for queue in (self._lookups, self._narrow, self._unreported):
                queue[packet.flow] = lookup
        lookup.packet = packet
        lookup.queried.clear()
        return lookup

    def remove(self, flow: FlowKey) -> FlowLookup | None:
        """Remove and return the lookup of a flow."""
        self._narrow.pop(flow, None)
        self._unreported.pop(flow, None)
        return self._lookups.pop(flow, None)

    def overdue(self, before: float) -> Iterator[FlowLookup]:
        """Yield, once each, lookups that began before a time.

        Those that query more than registrars already are left out.
        """
        for lookup in _pop_started_before(self._narrow, before):
            if not lookup.queries_all:
                yield lookup

    def stalled(self, before: float) -> Iterator[FlowLookup]:
        """Yield, once each, the lookups that started before a time."""
        return _pop_started_before(self._unreported, before)

    def expire(self, now: float) -> Sequence[FlowLookup]:
        """Remove and return the lookups that have timed out."""
        expired = []
        for lookup in self._lookups.values():
            if now - lookup.started_at < LOOKUP_TIMEOUT_SECONDS:
                break
            expired.append(lookup)
        for timed_out in expired:
            self.remove(timed_out.packet.flow)
        return expired


def _pop_started_before(
    queue: dict[FlowKey, FlowLookup], before: float
) -> Iterator[FlowLookup]:
    """Remove and yield the lookups of a queue that started before a time."""
    while queue:
        flow, lookup = next(iter(queue.items()))
        if lookup.started_at >= before:
            return
        queue.pop(flow)
        yield lookup


def agents_to_query(
    lookup: FlowLookup,
    registrars: Collection[str],
    possible_holders: Collection[str],
    other_service_holders: Collection[str],
) -> Collection[str]:
    """Return the agents that may hold a flow and have not denied it.

    Sets ``lookup.queries_all`` when there are few agents, or when every
    registrar has denied the flow. When all agents of the route's service have
    denied it, those of other services are returned: the route may have led
    there when the flow was opened. Agents that were queried and have not
    replied are returned again; the return value is empty if all agents have
    denied the flow.
    """
    if not lookup.queries_all:
        remaining = [host for host in registrars if host not in lookup.denied]
        if remaining and len(possible_holders) > DIRECT_QUERY_LIMIT:
            # One at a time: each of them would relay the packet.
            return remaining[:1]
        lookup.queries_all = True
    remaining = [host for host in possible_holders if host not in lookup.denied]
    return remaining or [
        host for host in other_service_holders if host not in lookup.denied
    ]


def agents_without_view(
    lookup: FlowLookup,
    local: Collection[str],
    remote: Collection[str],
    now: float,
) -> Collection[str]:
    """Return the agents to query for a flow while there is no view.

    They are the agents of services that have served the flow's route. Each
    delivers the packet to its upstream to find out whether that holds the flow,
    so that agents of other data centres are returned only once all local ones
    have denied it, or one of them has not replied for a while.
    """
    is_overdue = now - lookup.started_at >= LOCAL_ONLY_SECONDS
    asks_remote = is_overdue or lookup.denied.issuperset(local)
    agents = (*local, *remote) if asks_remote else tuple(local)
    return [host for host in agents if host not in lookup.denied]
