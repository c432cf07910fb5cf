"""Tracks new flows that no upstream has accepted yet, in an entry."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortpost.datapath.connection._packet import FlowKey, Packet


@dataclass(slots=True)
class PendingFlow:
    """A new flow that no upstream has accepted yet."""

    # The caller's opening packet, kept to be sent to further agents.
    packet: Packet
    # Monotonic seconds of the caller's first packet.
    started_at: float
    # Monotonic seconds at which it was last sent to an agent; its arrival if
    # it was not sent yet.
    last_attempt_at: float
    # Monotonic seconds of the arrival that gives it its place among waiting
    # flows.
    arrived_at: float
    # Orders the flows of an entry that arrive at the same time.
    number: int
    # Agents that it was sent to since it last waited for room.
    tried: list[str] = field(default_factory=list)
    # Whether it has waited for room.
    has_waited: bool = False
    # Agents that did not reply in time since the caller's last packet; one of
    # them may have delivered it.
    unanswered: set[str] = field(default_factory=set)


class PendingFlows:
    """The pending flows of one entry.

    A flow either awaits the reply of the agent it was last sent to, or waits
    for an upstream with room. Flows that await a reply are ordered by their
    last attempt; :class:`WaitingQueue` has the order of the waiting ones.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._attempted: dict[FlowKey, PendingFlow] = {}
        self._waiting: dict[FlowKey, PendingFlow] = {}
        self._added = 0

    def __len__(self) -> int:
        """Return the number of pending flows."""
        return len(self._attempted) + len(self._waiting)

    def get(self, flow: FlowKey) -> PendingFlow | None:
        """Return a pending flow, or none if the flow is not pending."""
        return self._attempted.get(flow) or self._waiting.get(flow)

    def is_waiting(self, flow: FlowKey) -> bool:
        """Return whether a flow waits for an upstream with room."""
        return flow in self._waiting

    def add(
        self, packet: Packet, now: float, arrived_at: float | None = None
    ) -> PendingFlow:
        """Add a new flow; it waits until an attempt is recorded."""
        arrived_at = now if arrived_at is None else arrived_at
        pending = PendingFlow(
            packet, now - packet.flow_age, now, arrived_at, self._added
        )
        self._added += 1
        self._waiting[packet.flow] = pending
        return pending

    def record_attempt(
        self, pending: PendingFlow, agent: str, now: float
    ) -> None:
        """Record that a flow was sent to an agent."""
        self.remove(pending.packet.flow)
        pending.last_attempt_at = now
        pending.tried.append(agent)
        self._attempted[pending.packet.flow] = pending

    def mark_waiting(self, pending: PendingFlow) -> None:
        """Mark a flow as waiting for room; all agents may be tried again."""
        self.remove(pending.packet.flow)
        pending.tried.clear()
        pending.has_waited = True
        self._waiting[pending.packet.flow] = pending

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow that was accepted or closed."""
        self._attempted.pop(flow, None)
        self._waiting.pop(flow, None)

    def overdue(self, before: float) -> Iterator[PendingFlow]:
        """Yield the flows that await a reply since before a time."""
        for pending in list(self._attempted.values()):
            if pending.last_attempt_at >= before:
                return
            yield pending

    def waiting(self) -> Iterator[PendingFlow]:
        """Yield the flows that wait for room."""
        yield from self._waiting.values()
