"""Agents that refused a new flow although their upstream seemed to have room.

They refuse for another reason than load, e.g. a warm-up or an outdated view of
the entry, and are not offered flows at every opportunity.
"""

from typing import Final

# The first pause is shorter than a tick; each further refusal doubles it.
FIRST_PAUSE_SECONDS: Final = 0.015
MAX_PAUSE_SECONDS: Final = 0.25
# After this time without a refusal, the next pause of an agent is a first one.
FORGET_AFTER_SECONDS: Final = 10.0


class RefusalPauses:
    """The pauses of one entry, by agent."""

    def __init__(self) -> None:
        """Start without pauses."""
        # The length of the last pause, and its end in monotonic seconds, in the
        # order of the refusals.
        self._pauses: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        """Return the number of agents that have refused flows recently."""
        return len(self._pauses)

    def record(self, agent: str, now: float) -> None:
        """Record a refusal."""
        if self.is_paused(agent, now):
            return
        self._forget(now)
        length, _ = self._pauses.pop(agent, (FIRST_PAUSE_SECONDS / 2, 0))
        length = min(2 * length, MAX_PAUSE_SECONDS)
        self._pauses[agent] = (length, now + length)

    def clear(self, agent: str) -> None:
        """Record that an agent has accepted a flow."""
        self._pauses.pop(agent, None)

    def is_paused(self, agent: str, now: float) -> bool:
        """Return whether an agent is not offered flows at the moment."""
        return agent in self._pauses and now < self._pauses[agent][1]

    def _forget(self, now: float) -> None:
        while self._pauses:
            agent, (_, ends_at) = next(iter(self._pauses.items()))
            if now - ends_at <= FORGET_AFTER_SECONDS:
                return
            self._pauses.pop(agent)
