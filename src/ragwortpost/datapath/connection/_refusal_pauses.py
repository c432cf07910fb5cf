"""Agents that refused a new flow although their upstream seemed to have room.

They refuse for another reason than load, e.g. a warm-up or an outdated view of
the entry, and are not offered flows at every opportunity.
"""

from typing import Final

# The first pause is shorter than a tick; each further refusal doubles it.
FIRST_PAUSE_SECONDS: Final = 0.015
MAX_PAUSE_SECONDS: Final = 0.25


class RefusalPauses:
    """The pauses of one entry, by agent."""

    def __init__(self) -> None:
        """Start without pauses."""
        # The length of the last pause, and its end in monotonic seconds.
        self._pauses: dict[str, tuple[float, float]] = {}

    def record(self, agent: str, now: float) -> None:
        """Record a refusal."""
        if self.is_paused(agent, now):
            return
        length, _ = self._pauses.get(agent, (FIRST_PAUSE_SECONDS / 2, 0))
        length = min(2 * length, MAX_PAUSE_SECONDS)
        self._pauses[agent] = (length, now + length)

    def clear(self, agent: str) -> None:
        """Record that an agent has accepted a flow."""
        self._pauses.pop(agent, None)

    def is_paused(self, agent: str, now: float) -> bool:
        """Return whether an agent is not offered flows at the moment."""
        return agent in self._pauses and now < self._pauses[agent][1]
