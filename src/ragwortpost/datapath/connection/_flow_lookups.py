"""An entry's searches for the agent that holds a flow.

After the routers spread flows anew, an entry gets packets of flows that it
never saw. It first asks the few agents where the flow's holder registers it,
then all agents that could hold it; only the holder delivers the packet. The
flow is reset when all of them have denied it, and never because some were
silent.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey, Packet

# Seconds after which a search begins again; a caller sends a lost packet
# again several times within it.
LOOKUP_TIMEOUT_SECONDS: Final = 3.0
# Agents of a service up to which all are asked at once: asking the registrars
# first would save little.
DIRECT_QUERY_LIMIT: Final = 8


@dataclass(slots=True)
class FlowLookup:
    """One flow whose holder is asked for."""

    # The caller's last packet.
    packet: Packet
    # Agents that got this packet.
    queried: set[str]
    # Agents that don't hold the flow.
    denied: set[str]
    # Monotonic seconds of the first question.
    started_at: float
    # Whether all agents are asked, not only the registrars.
    queries_all: bool = False
    # Whether it was reported that agents leave the question open.
    stall_reported: bool = False


class FlowLookups:
    """The searches of one entry, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._lookups: dict[FlowKey, FlowLookup] = {}

    def __len__(self) -> int:
        """Return the number of searches."""
        return len(self._lookups)

    def get(self, flow: FlowKey) -> FlowLookup | None:
        """Return the search for a flow, if there is one."""
        return self._lookups.get(flow)

    def start(self, packet: Packet, now: float) -> FlowLookup:
        """Return the search for a packet's flow, with the packet noted."""
        lookup = self._lookups.get(packet.flow)
        if lookup is None:
            lookup = FlowLookup(packet, set(), set(), now)
            self._lookups[packet.flow] = lookup
        lookup.packet = packet
        lookup.queried.clear()
        return lookup

    def remove(self, flow: FlowKey) -> FlowLookup | None:
        """Forget a lookup."""
        return self._lookups.pop(flow, None)

    def overdue(self, before: float) -> Iterator[FlowLookup]:
        """Yield the searches at the registrars that began before a moment."""
        for lookup in list(self._lookups.values()):
            if lookup.started_at >= before:
                return
            if not lookup.queries_all:
                yield lookup

    def stalled(self, before: float) -> Iterator[FlowLookup]:
        """Yield, once each, the searches that began before a moment."""
        for lookup in self._lookups.values():
            if lookup.started_at >= before:
                return
            if not lookup.stall_reported:
                lookup.stall_reported = True
                yield lookup

    def expire(self, now: float) -> None:
        """Forget searches that began too long ago."""
        for flow, lookup in list(self._lookups.items()):
            if now - lookup.started_at < LOOKUP_TIMEOUT_SECONDS:
                return
            self._lookups.pop(flow)


def agents_to_query(
    lookup: FlowLookup,
    registrars: Collection[str],
    holders: Collection[str],
    others: Collection[str],
) -> Collection[str]:
    """Return the agents that may still know where a flow is.

    Makes the search wide when there are few agents, or when every registrar
    has denied the flow. When all agents of the route's service have, those of
    other services are asked: the route may have gone there when the flow was
    opened. Returns none if all agents have denied it.
    """
    if not lookup.queries_all:
        remaining = [one for one in registrars if one not in lookup.denied]
        if remaining and len(holders) > DIRECT_QUERY_LIMIT:
            # One at a time: each of them would pass the packet on.
            return remaining[:1]
        lookup.queries_all = True
    remaining = [one for one in holders if one not in lookup.denied]
    return remaining or [one for one in others if one not in lookup.denied]
