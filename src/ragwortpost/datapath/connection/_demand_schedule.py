"""Decides when an entry sends an agent the demand of its waiting flows."""

from collections.abc import Iterable, Iterator
from typing import Final

from ragwortpost.datapath.connection._room_grants import (
    DEMAND_SECONDS,
    Demand,
)

# Minimum time between two demands to one agent.
MIN_INTERVAL_SECONDS: Final = 0.1
# An unchanged demand is repeated after this time: it may have been lost, and
# agents drop it after half a second.
REPEAT_SECONDS: Final = 0.3


class DemandSchedule:
    """The demands of one service that an entry has sent."""

    def __init__(self) -> None:
        """Start without a sent demand."""
        # By agent, in the order of their times, in monotonic seconds.
        self._sent: dict[str, tuple[Demand, float]] = {}

    def __len__(self) -> int:
        """Return the number of agents that may know a demand."""
        return len(self._sent)

    def due(
        self, agents: Iterable[str], demand: Demand, now: float
    ) -> Iterator[str]:
        """Yield the agents to send a demand to, and record that it is sent."""
        self._forget_dropped(now)
        for agent in agents:
            if self._is_due(agent, demand, now):
                self._sent.pop(agent, None)
                self._sent[agent] = (demand, now)
                yield agent

    def withdraw(self, agent: str) -> bool:
        """Return whether the demand sent to an agent has to be withdrawn.

        It has to once after each demand.
        """
        sent = self._sent.get(agent)
        if sent is None or not sent[0].waiting:
            return False
        demand, sent_at = sent
        nothing = Demand(0, demand.priority, demand.deadline)
        self._sent[agent] = (nothing, sent_at)
        return True

    def _forget_dropped(self, now: float) -> None:
        """Forget the demands that agents have dropped by now."""
        while self._sent:
            agent, (_, sent_at) = next(iter(self._sent.items()))
            if now - sent_at <= DEMAND_SECONDS:
                return
            self._sent.pop(agent)

    def _is_due(self, agent: str, demand: Demand, now: float) -> bool:
        if agent not in self._sent:
            return True
        sent, sent_at = self._sent[agent]
        if now - sent_at < MIN_INTERVAL_SECONDS:
            return False
        return sent != demand or now - sent_at >= REPEAT_SECONDS
