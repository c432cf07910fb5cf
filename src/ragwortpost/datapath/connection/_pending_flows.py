"""New flows that no upstream has accepted yet, as an entry sees them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortpost.datapath.connection._packet import FlowKey, Packet


@dataclass(slots=True)
class PendingFlow:
    """One new flow on its way to an upstream."""

    # The caller's packet, sent again to another agent if need be.
    packet: Packet
    # Monotonic seconds of the caller's first packet.
    started_at: float
    # Monotonic seconds of the last attempt.
    last_attempt_at: float
    # Agents that did not take it, and the one that is asked now.
    tried: list[str] = field(default_factory=list)


class PendingFlows:
    """The pending flows of one entry.

    One that was sent to an agent is under way; one that found no upstream with
    room waits. Both are kept in the order of their last attempt.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._attempted: dict[FlowKey, PendingFlow] = {}
        self._waiting: dict[FlowKey, PendingFlow] = {}

    def __len__(self) -> int:
        """Return the number of pending flows."""
        return len(self._attempted) + len(self._waiting)

    def get(self, flow: FlowKey) -> PendingFlow | None:
        """Return a flow's record, if there is one."""
        return self._attempted.get(flow) or self._waiting.get(flow)

    def is_waiting(self, flow: FlowKey) -> bool:
        """Return whether a flow waits for an upstream with room."""
        return flow in self._waiting

    def add(self, packet: Packet, now: float) -> PendingFlow:
        """Record a new flow; it waits until an attempt is noted."""
        pending = PendingFlow(packet, now - packet.flow_age, now)
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
        """Record that a flow found no upstream; all may be tried again."""
        self.remove(pending.packet.flow)
        pending.tried.clear()
        self._waiting[pending.packet.flow] = pending

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow's record."""
        self._attempted.pop(flow, None)
        self._waiting.pop(flow, None)

    def overdue(self, before: float) -> Iterator[PendingFlow]:
        """Yield the pending flows whose last attempt was before a moment."""
        for pending in list(self._attempted.values()):
            if pending.last_attempt_at >= before:
                return
            yield pending

    def waiting(self) -> Iterator[PendingFlow]:
        """Yield the pending flows that wait, the longest wait first."""
        yield from list(self._waiting.values())
