"""Admission control of new flows, in an agent.

It protects an upstream that has just started from too many new flows, and
refuses flows that entries with an outdated view send to a leaving upstream.
Only the agent sees the flows of all entries, so only it can enforce limits.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Final

# The window over which the rate of new flows is limited during warm-up.
RATE_WINDOW_SECONDS: Final = 1.0


class Refusal(Enum):
    """Why an agent refuses a new flow; the values are logged."""

    WRONG_SERVICE = 'wrong service'
    LEAVING = 'leaving'
    DATA_CENTRE_DRAINED = 'data centre taken out'
    WARMING_UP = 'cold'
    # The upstream is at its limit of flows, or returned the opening packet.
    FULL = 'full'
    # The upstream is at its limit of requests.
    BUSY = 'busy'
    UNRESPONSIVE = 'upstream silent'


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """The state and limits that admission depends on."""

    # Whether the upstream or the agent is shutting down, or the view does not
    # list the upstream.
    leaving: bool
    # Whether operators drained the upstream's data centre.
    data_centre_drained: bool
    # Whether the upstream does not respond to new flows and no probe is due.
    upstream_unresponsive: bool
    # Limit of new flows per second during warm-up; limits below one count as
    # one. None if there is no limit or the upstream has warmed up.
    warm_up_rate: float | None
    # Limit of the flows that the upstream holds.
    connection_limit: int
    # Limit of the upstream's requests, queued ones included.
    backlog_limit: int
    # Room that is granted to entries, or used by flows that the upstream has
    # not answered yet.
    reserved: int = 0
    # The part of it that is granted and not used.
    granted_room: int = 0
    # Whether the new flow uses granted room.
    granted: bool = False


class Admission:
    """Admits new flows within the limits of one upstream."""

    def __init__(self) -> None:
        """Start without admitted flows."""
        self._admitted_at: deque[float] = deque()

    def decide(
        self,
        inputs: AdmissionInputs,
        held: int,
        load: int,
        now: float,
    ) -> Refusal | None:
        """Return why a new flow is refused, or none if it is admitted.

        ``held`` is the number of flows that the upstream holds, and ``load``
        that of its requests.
        """
        refusal = self._refusal(inputs, held, load, now)
        if refusal is None:
            self._admitted_at.append(now)
        return refusal

    def room(
        self, inputs: AdmissionInputs, held: int, load: int, now: float
    ) -> int:
        """Return how many new flows may be granted room."""
        self._expire(now)
        if (
            inputs.leaving
            or inputs.data_centre_drained
            or inputs.upstream_unresponsive
        ):
            return 0
        room = min(inputs.connection_limit - held, inputs.backlog_limit - load)
        room -= inputs.reserved
        if inputs.warm_up_rate is not None:
            limit = max(1, int(inputs.warm_up_rate))
            admitted = len(self._admitted_at) + inputs.granted_room
            room = min(room, limit - admitted)
        return max(0, room)

    def _expire(self, now: float) -> None:
        while (
            self._admitted_at
            and now - self._admitted_at[0] > RATE_WINDOW_SECONDS
        ):
            self._admitted_at.popleft()

    def _refusal(
        self,
        inputs: AdmissionInputs,
        held: int,
        load: int,
        now: float,
    ) -> Refusal | None:
        self._expire(now)
        if inputs.leaving:
            return Refusal.LEAVING
        if inputs.data_centre_drained:
            return Refusal.DATA_CENTRE_DRAINED
        if inputs.upstream_unresponsive:
            return Refusal.UNRESPONSIVE
        if held + inputs.reserved >= inputs.connection_limit:
            return Refusal.FULL
        if (
            not inputs.granted
            and load + inputs.reserved >= inputs.backlog_limit
        ):
            return Refusal.BUSY
        rate = inputs.warm_up_rate
        admitted = len(self._admitted_at) + inputs.granted_room
        if rate is not None and admitted >= max(1, int(rate)):
            return Refusal.WARMING_UP
        return None
