"""New flows that no upstream has accepted yet, as an entry sees them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortpost.datapath.connection._packet import FlowKey, Packet


@dataclass(slots=True)
class Opening:
    """One new flow on its way to an upstream."""

    # The caller's packet, sent again to another agent if need be.
    packet: Packet
    # Monotonic seconds of the caller's first packet.
    began: float
    # Monotonic seconds of the last attempt.
    sent: float
    # Agents that did not take it, and the one that is asked now.
    tried: list[str] = field(default_factory=list)


class Openings:
    """The openings of one entry.

    One that was sent to an agent is under way; one that found no upstream with
    room waits. Both are kept in the order of their last attempt.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._under_way: dict[FlowKey, Opening] = {}
        self._waiting: dict[FlowKey, Opening] = {}

    def __len__(self) -> int:
        """Return the number of openings."""
        return len(self._under_way) + len(self._waiting)

    def get(self, flow: FlowKey) -> Opening | None:
        """Return a flow's opening, if there is one."""
        return self._under_way.get(flow) or self._waiting.get(flow)

    def is_waiting(self, flow: FlowKey) -> bool:
        """Return whether a flow waits for an upstream with room."""
        return flow in self._waiting

    def begin(self, packet: Packet, now: float) -> Opening:
        """Record a new flow; it waits until an attempt is noted."""
        opening = Opening(packet, now - packet.waited, now)
        self._waiting[packet.flow] = opening
        return opening

    def note_attempt(self, opening: Opening, agent: str, now: float) -> None:
        """Record that a flow was sent to an agent."""
        self.end(opening.packet.flow)
        opening.sent = now
        opening.tried.append(agent)
        self._under_way[opening.packet.flow] = opening

    def wait(self, opening: Opening) -> None:
        """Record that a flow found no upstream; all may be tried again."""
        self.end(opening.packet.flow)
        opening.tried.clear()
        self._waiting[opening.packet.flow] = opening

    def end(self, flow: FlowKey) -> None:
        """Forget a flow's opening."""
        self._under_way.pop(flow, None)
        self._waiting.pop(flow, None)

    def overdue(self, before: float) -> Iterator[Opening]:
        """Yield the openings whose last attempt was before a moment."""
        for opening in list(self._under_way.values()):
            if opening.sent >= before:
                return
            yield opening

    def waiting(self) -> Iterator[Opening]:
        """Yield the openings that wait, the longest wait first."""
        yield from list(self._waiting.values())
