"""New flows that an entry placed and no upstream has accepted yet."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortpost.datapath.connection._packet import FlowKey, Packet


@dataclass(slots=True)
class Opening:
    """One new flow on its way to an upstream."""

    # The caller's packet, sent again to another agent if need be.
    packet: Packet
    # Monotonic seconds of the last attempt.
    sent: float
    # Agents that it was sent to.
    tried: list[str] = field(default_factory=list)


class Openings:
    """The openings of one entry, oldest attempt first."""

    def __init__(self) -> None:
        """Start empty."""
        self._openings: dict[FlowKey, Opening] = {}

    def __len__(self) -> int:
        """Return the number of openings."""
        return len(self._openings)

    def get(self, flow: FlowKey) -> Opening | None:
        """Return a flow's opening, if one is under way."""
        return self._openings.get(flow)

    def note_attempt(self, packet: Packet, agent: str, now: float) -> None:
        """Record that a packet was sent to an agent."""
        opening = self._openings.pop(packet.flow, None)
        if opening is None:
            opening = Opening(packet, now)
        opening.sent = now
        opening.tried.append(agent)
        self._openings[packet.flow] = opening

    def end(self, flow: FlowKey) -> Opening | None:
        """Forget a flow's opening."""
        return self._openings.pop(flow, None)

    def overdue(self, before: float) -> Iterator[Opening]:
        """Yield the openings whose last attempt was before a moment."""
        for opening in list(self._openings.values()):
            if opening.sent >= before:
                return
            yield opening
