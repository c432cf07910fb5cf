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
SEARCH_SECONDS: Final = 3.0
# Agents of a service up to which all are asked at once: asking the registrars
# first would save little.
FEW_AGENTS: Final = 8


@dataclass(slots=True)
class Search:
    """One flow whose holder is asked for."""

    # The caller's last packet.
    packet: Packet
    # Agents that got this packet.
    asked: set[str]
    # Agents that don't hold the flow.
    denied: set[str]
    # Monotonic seconds of the first question.
    began: float
    # Whether all agents are asked, not only the registrars.
    wide: bool = False
    # Whether it was reported that agents leave the question open.
    reported: bool = False


class Searches:
    """The searches of one entry, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._searches: dict[FlowKey, Search] = {}

    def __len__(self) -> int:
        """Return the number of searches."""
        return len(self._searches)

    def get(self, flow: FlowKey) -> Search | None:
        """Return the search for a flow, if there is one."""
        return self._searches.get(flow)

    def begin(self, packet: Packet, now: float) -> Search:
        """Return the search for a packet's flow, with the packet noted."""
        search = self._searches.get(packet.flow)
        if search is None:
            search = Search(packet, set(), set(), now)
            self._searches[packet.flow] = search
        search.packet = packet
        search.asked.clear()
        return search

    def end(self, flow: FlowKey) -> Search | None:
        """Forget a search."""
        return self._searches.pop(flow, None)

    def overdue(self, before: float) -> Iterator[Search]:
        """Yield the searches at the registrars that began before a moment."""
        for search in list(self._searches.values()):
            if search.began >= before:
                return
            if not search.wide:
                yield search

    def stalled(self, before: float) -> Iterator[Search]:
        """Yield, once each, the searches that began before a moment."""
        for search in self._searches.values():
            if search.began >= before:
                return
            if not search.reported:
                search.reported = True
                yield search

    def expire(self, now: float) -> None:
        """Forget searches that began too long ago."""
        for flow, search in list(self._searches.items()):
            if now - search.began < SEARCH_SECONDS:
                return
            self._searches.pop(flow)


def whom_to_ask(
    search: Search,
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
    if not search.wide:
        left = [one for one in registrars if one not in search.denied]
        if left and len(holders) > FEW_AGENTS:
            # One at a time: each of them would pass the packet on.
            return left[:1]
        search.wide = True
    left = [one for one in holders if one not in search.denied]
    return left or [one for one in others if one not in search.denied]
