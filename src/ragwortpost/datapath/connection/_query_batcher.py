"""Questions about flows that wait to be sent, one list for each agent.

Answers the seconds after a mass restart: entries get packets of hundreds of
flows that they never saw, and each of these concerns every agent of its
service. Questions carry flows instead of packets, and those that arise shortly
after each other share a datagram, so that a narrow link stays free.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Seconds between two sets of questions; a fifth of what a search may take
# before a caller notices.
BATCH_INTERVAL_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class OutgoingQuery:
    """The flows that one agent is asked about."""

    # The agent's address.
    agent: str
    # The service that the flows' route leads to.
    service: str
    # The flows.
    flows: tuple[FlowKey, ...]


class QueryBatcher:
    """The questions of one entry."""

    def __init__(self) -> None:
        """Start without questions."""
        self._flows: defaultdict[tuple[str, str], dict[FlowKey, None]] = (
            defaultdict(dict)
        )
        self._last_sent = float('-inf')

    def add(self, agent: str, service: str, flow: FlowKey) -> None:
        """Note that an agent is to be asked about a flow."""
        self._flows[agent, service][flow] = None

    def pop_due(self, now: float) -> Iterator[OutgoingQuery]:
        """Yield, and forget, all questions, unless some were sent just now."""
        if not self._flows or now - self._last_sent < BATCH_INTERVAL_SECONDS:
            return
        self._last_sent = now
        collected = dict(self._flows)
        self._flows.clear()
        for (agent, service), flows in collected.items():
            yield OutgoingQuery(agent, service, tuple(flows))
