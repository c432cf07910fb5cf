"""An agent's decision on a new flow.

Answers two loads: the rush on an upstream that has just started, and flows
that entries with an old view still send to an upstream that leaves. Only the
agent sees what all entries send, so only it can keep the limits.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Final

# The window that the limit of a cold upstream is stated for.
RATE_WINDOW_SECONDS: Final = 1.0


class Refusal(Enum):
    """Why an agent does not take a new flow."""

    WRONG_SERVICE = 'wrong service'
    LEAVING = 'leaving'
    DATA_CENTRE_DRAINED = 'data centre taken out'
    WARMING_UP = 'cold'
    FULL = 'full'
    BUSY = 'busy'
    UNRESPONSIVE = 'upstream silent'


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """What decides whether the upstream takes new flows."""

    # Whether the upstream, or the agent itself, is about to stop.
    leaving: bool
    # Whether operators took its data centre out.
    data_centre_drained: bool
    # Whether the upstream leaves new flows unanswered.
    unresponsive: bool
    # New flows a second that it bears; none once it is warm.
    warm_up_rate: float | None
    # Flows that it may hold.
    connection_limit: int
    # Requests that it may have at hand.
    backlog_limit: int


class Admission:
    """Admits new flows within the upstream's limits."""

    def __init__(self) -> None:
        """Start without flows."""
        self._admitted: deque[float] = deque()

    def decide(
        self,
        inputs: AdmissionInputs,
        held: int,
        load: int,
        now: float,
    ) -> Refusal | None:
        """Return why a new flow is refused; count it if it is admitted."""
        refusal = self._refusal(inputs, held, load, now)
        if refusal is None:
            self._admitted.append(now)
        return refusal

    def _refusal(
        self,
        inputs: AdmissionInputs,
        held: int,
        load: int,
        now: float,
    ) -> Refusal | None:
        while self._admitted and now - self._admitted[0] > RATE_WINDOW_SECONDS:
            self._admitted.popleft()
        if inputs.leaving:
            return Refusal.LEAVING
        if inputs.data_centre_drained:
            return Refusal.DATA_CENTRE_DRAINED
        if inputs.unresponsive:
            return Refusal.UNRESPONSIVE
        if held >= inputs.connection_limit:
            return Refusal.FULL
        if load >= inputs.backlog_limit:
            return Refusal.BUSY
        rate = inputs.warm_up_rate
        if rate is not None and len(self._admitted) >= max(1, int(rate)):
            return Refusal.WARMING_UP
        return None
