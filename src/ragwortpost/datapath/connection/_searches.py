"""An entry's searches for the agent that holds a flow.

After the routers spread flows anew, an entry gets packets of flows that it
never saw. It sends such a packet to every agent that could hold the flow; only
the holder delivers it. The flow is reset when all of them have said that they
don't hold it, and never because some were silent.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey, Packet

# Seconds after which a search begins again; a caller sends a lost packet
# again several times within it.
SEARCH_SECONDS: Final = 3.0


@dataclass(slots=True)
class Search:
    """One flow whose holder is asked for."""

    # Agents that have not denied the flow.
    open: set[str]
    # Agents that don't hold the flow.
    denied: set[str]
    # Sequence number that the caller expects next.
    expected: int
    # Monotonic seconds of the first question.
    began: float


class Searches:
    """The searches of one entry, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._searches: dict[FlowKey, Search] = {}

    def __len__(self) -> int:
        """Return the number of searches."""
        return len(self._searches)

    def ask(
        self,
        packet: Packet,
        agents: Iterable[str],
        now: float,
    ) -> Collection[str]:
        """Return the agents that a packet of an unknown flow goes to.

        Returns none if all of ``agents`` have denied the flow.
        """
        search = self._searches.get(packet.flow)
        if search is None:
            search = Search(set(), set(), packet.acknowledged, now)
            self._searches[packet.flow] = search
        search.expected = packet.acknowledged
        search.open = set(agents) - search.denied
        return tuple(search.open)

    def deny(self, flow: FlowKey, agent: str) -> Search | None:
        """Note that an agent doesn't hold a flow.

        Returns the search if nobody is left who could hold it.
        """
        search = self._searches.get(flow)
        if search is None:
            return None
        search.open.discard(agent)
        search.denied.add(agent)
        return None if search.open else search

    def end(self, flow: FlowKey) -> Search | None:
        """Forget a search."""
        return self._searches.pop(flow, None)

    def expire(self, now: float) -> None:
        """Forget searches that began too long ago."""
        for flow, search in list(self._searches.items()):
            if now - search.began < SEARCH_SECONDS:
                return
            self._searches.pop(flow)
