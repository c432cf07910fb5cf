"""Flow queries that agents have not answered, in an entry.

After a power loss agents restart over a second or more, and the queries sent to
them before are lost. An agent that sends any message later than a query is
running, so it has lost the query or its reply, and is queried again at once
instead of with the caller's next retransmission.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Time for an agent to reply. A message of the agent that arrives sooner after
# a query may have been sent before the query arrived.
REPLY_TIMEOUT_SECONDS: Final = 0.1


class UnansweredQueries:
    """The queries of one entry that await replies, by agent."""

    def __init__(self) -> None:
        """Start empty."""
        # Monotonic times of the queries in seconds, oldest first.
        self._queried_at: defaultdict[str, dict[FlowKey, float]] = defaultdict(
            dict
        )

    @property
    def agents(self) -> tuple[str, ...]:
        """The agents with unanswered queries."""
        return tuple(self._queried_at)

    def add(self, agent: str, flow: FlowKey, now: float) -> None:
        """Record that an agent was queried for a flow."""
        queries = self._queried_at[agent]
        queries.pop(flow, None)
        queries[flow] = now

    def remove(self, agent: str, flow: FlowKey) -> None:
        """Remove a query that was answered, or whose answer is not needed."""
        queries = self._queried_at.get(agent)
        if queries is None:
            return
        queries.pop(flow, None)
        if not queries:
            self._queried_at.pop(agent)

    def pop_lost(
        self, agent: str, last_received_at: float
    ) -> Iterator[FlowKey]:
        """Remove and yield the flows whose query or reply was lost.

        ``last_received_at`` is the monotonic time of the agent's last message,
        in seconds.
        """
        queries = self._queried_at.get(agent)
        while queries:
            flow = next(iter(queries))
            if last_received_at - queries[flow] < REPLY_TIMEOUT_SECONDS:
                return
            self.remove(agent, flow)
            yield flow
