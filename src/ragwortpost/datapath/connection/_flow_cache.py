"""Where an entry last saw each flow served; only a cache.

Two generations bound its memory: an entry that was not used for one to two
generations is forgotten and asked for again.
"""

from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Seconds a flow stays remembered without packets, at least; longer than the
# time after which idle flows may be discarded.
GENERATION_SECONDS: Final = 20.0


class FlowCache:
    """The address of the agent that holds a flow."""

    def __init__(
        self,
        now: float,
        generation: float = GENERATION_SECONDS,
    ) -> None:
        """Start empty, with generations of so many seconds."""
        self._generation = generation
        self._young: dict[FlowKey, str] = {}
        self._old: dict[FlowKey, str] = {}
        self._turned = now

    def __len__(self) -> int:
        """Return the number of flows remembered, some of them twice."""
        return len(self._young) + len(self._old)

    def get(self, flow: FlowKey) -> str | None:
        """Return the agent that holds a flow, if it is remembered."""
        agent = self._young.get(flow)
        if agent is None:
            agent = self._old.get(flow)
            if agent is not None:
                self._young[flow] = agent
        return agent

    def put(self, flow: FlowKey, agent: str) -> None:
        """Remember who holds a flow."""
        self._young[flow] = agent

    def forget(self, flow: FlowKey) -> None:
        """Drop what is remembered of a flow."""
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def expire(self, now: float) -> None:
        """Begin another generation when it is time."""
        if now - self._turned >= self._generation:
            self._old = self._young
            self._young = {}
            self._turned = now
