"""Batches an entry's flow queries by agent.

After a mass restart, entries receive packets of hundreds of unknown flows and
query every agent of the service for each of them. Batched queries carry flow
keys instead of packets and share datagrams, so that they don't saturate a
narrow link.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Minimum time between two sets of batches. It is a fifth of what a lookup may
# take before a caller notices.
BATCH_INTERVAL_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class OutgoingQuery:
    """A batch of flows to query one agent for."""

    # The agent's address.
    agent: str
    # The service of the flows' route.
    service: str
    # The flows to look up.
    flows: tuple[FlowKey, ...]


class QueryBatcher:
    """Collects the queries of one entry."""

    def __init__(self) -> None:
        """Start empty."""
        self._flows: defaultdict[tuple[str, str], dict[FlowKey, None]] = (
            defaultdict(dict)
        )
        self._last_sent = float('-inf')

    def add(self, agent: str, service: str, flow: FlowKey) -> None:
        """Add a query to an agent for a flow."""
        self._flows[agent, service][flow] = None

    def pop_due(self, now: float) -> Iterator[OutgoingQuery]:
        """Remove and yield all queries, unless the last set is too recent."""
        if not self._flows or now - self._last_sent < BATCH_INTERVAL_SECONDS:
            return
        self._last_sent = now
        collected = dict(self._flows)
        self._flows.clear()
        for (agent, service), flows in collected.items():
            yield OutgoingQuery(agent, service, tuple(flows))
