"""A bounded cache of the agent that holds each flow; it may be outdated.

Two generations bound its memory: a flow that is not used for one to two
generations is evicted and has to be looked up again.
"""

from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Time that an unused flow stays cached, at least; longer than the time after
# which idle flows may be discarded.
GENERATION_SECONDS: Final = 20.0


class FlowCache:
    """Maps flows to the addresses of the agents that hold them."""

    def __init__(
        self,
        now: float,
        generation_seconds: float = GENERATION_SECONDS,
    ) -> None:
        """Start empty, with the length of a generation in seconds."""
        self._generation_seconds = generation_seconds
        self._current: dict[FlowKey, str] = {}
        self._previous: dict[FlowKey, str] = {}
        self._rotated_at = now

    def __len__(self) -> int:
        """Return the number of cached flows; some are counted twice."""
        return len(self._current) + len(self._previous)

    def get(self, flow: FlowKey) -> str | None:
        """Return the agent that holds a flow, or none if it is not cached."""
        agent = self._current.get(flow)
        if agent is None:
            agent = self._previous.get(flow)
            if agent is not None:
                self._current[flow] = agent
        return agent

    def put(self, flow: FlowKey, agent: str) -> None:
        """Cache the agent that holds a flow."""
        self._current[flow] = agent

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow, such as one whose cached agent was wrong."""
        self._current.pop(flow, None)
        self._previous.pop(flow, None)

    def expire(self, now: float) -> None:
        """Start a new generation if the current one has ended."""
        if now - self._rotated_at >= self._generation_seconds:
            self._previous = self._current
            self._current = {}
            self._rotated_at = now
