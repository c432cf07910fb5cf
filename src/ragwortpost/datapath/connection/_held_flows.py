"""The flows that one upstream holds, as the agent beside it sees them.

The agent learns a flow from what its upstream sends, and what it learns this
way is certain. An agent that started after its upstream can't know the flows
that were open before; it offers a packet of an unknown flow to the upstream
once, which returns the packet if the flow is not its own. Flows reach the
upstream through its agent alone, so one that started after the last agent
ended holds none.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from ragwortpost.datapath.connection._first_requests import FirstRequests
from ragwortpost.datapath.connection._packet import (
    SEQUENCE_SPAN,
    FlowKey,
    Packet,
)

# Acknowledged bytes within which a caller's packet belongs to the handshake
# that this upstream answered; both windows of a flow stay far below it.
_HANDSHAKE_SPAN: Final = 262144
# Flows looked at in one sweep for expired ones; bounds the pause.
_SWEEP_FLOWS: Final = 2000


class Claim(Enum):
    """What an agent says of a packet's flow."""

    # The upstream holds the flow.
    HELD = 'held'
    # The upstream does not hold the flow.
    NOT_HELD = 'not held'
    # Only the upstream can tell.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class HeldFlow:
    """What is known of one flow."""

    # Monotonic seconds of the last packet either way.
    last_seen: float
    # The upstream's first sequence number until the caller acknowledged it.
    handshake: int | None
    # Whether a request was sent and its response has not begun.
    busy: bool = False
    # Whether an end of the flow was seen.
    ending: bool = False

    @property
    def is_established(self) -> bool:
        """Whether the caller has answered this upstream's handshake.

        Until then the caller may have opened the flow at another upstream.
        """
        return self.handshake is None


class HeldFlows:
    """The flows of one upstream."""

    def __init__(self, complete: bool, idle: float) -> None:
        """Start empty.

        ``complete`` says that the upstream can't hold flows from before;
        flows silent for ``idle`` seconds are forgotten.
        """
        self._complete = complete
        self._idle = idle
        self._flows: dict[FlowKey, HeldFlow] = {}
        self._foreign: dict[FlowKey, float] = {}
        self._first_requests = FirstRequests()
        self._busy = 0

    @property
    def busy(self) -> int:
        """Flows whose request waits for its response."""
        return self._busy

    def load(self, now: float) -> int:
        """Return the requests at hand, with those that are about to come."""
        return self._busy + self._first_requests.count(now)

    def __len__(self) -> int:
        """Return the number of flows held."""
        return len(self._flows)

    def note_complete(self) -> None:
        """Note that the upstream holds no flows from before."""
        self._complete = True

    def get(self, flow: FlowKey) -> HeldFlow | None:
        """Return what is known of a flow."""
        return self._flows.get(flow)

    def claim_flow(self, flow: FlowKey) -> Claim:
        """Say whether the upstream may hold a flow, without its packet."""
        if flow in self._flows:
            return Claim.HELD
        if self._complete or flow in self._foreign:
            return Claim.NOT_HELD
        return Claim.UNKNOWN

    def claim(self, packet: Packet, now: float) -> Claim:
        """Say whether the upstream holds the flow of a caller's packet."""
        held = self._flows.get(packet.flow)
        if held is None:
            return self.claim_flow(packet.flow)
        if held.handshake is not None and not packet.opens:
            ahead = (packet.acknowledged - held.handshake) % SEQUENCE_SPAN
            if not 0 < ahead < _HANDSHAKE_SPAN:
                return Claim.NOT_HELD
            held.handshake = None
            self._first_requests.note_answer(packet.flow, now - held.last_seen)
        self._note_caller(held, packet, now)
        return Claim.HELD

    def note_upstream(self, packet: Packet, now: float) -> bool:
        """Learn from a packet the upstream sent; say if the flow was new."""
        held = self._flows.get(packet.flow)
        self._foreign.pop(packet.flow, None)
        if held is None:
            handshake = packet.sequence if packet.accepts else None
            self._flows[packet.flow] = HeldFlow(now, handshake)
            if handshake is not None:
                self._first_requests.add(packet.flow, now)
            return True
        held.last_seen = now
        if packet.length:
            self._set_busy(held, busy=False)
        if packet.finishes or packet.resets:
            held.ending = True
            self._set_busy(held, busy=False)
        return False

    def note_returned(self, packet: Packet, now: float) -> HeldFlow | None:
        """Forget a flow whose packet the upstream returned."""
        self._foreign[packet.flow] = now
        held = self._flows.pop(packet.flow, None)
        self._first_requests.drop(packet.flow)
        if held is not None:
            self._set_busy(held, busy=False)
        return held

    def expire(self, now: float) -> None:
        """Forget flows that were silent for too long."""
        for flow, held in list(self._flows.items())[:_SWEEP_FLOWS]:
            if now - held.last_seen > self._idle:
                self._set_busy(held, busy=False)
                self._flows.pop(flow)
                continue
            # Moves the flow to the end, so that sweeps reach all in turn.
            self._flows[flow] = self._flows.pop(flow)
        for flow, returned in list(self._foreign.items()):
            if now - returned <= self._idle:
                break
            self._foreign.pop(flow)

    def _note_caller(
        self,
        held: HeldFlow,
        packet: Packet,
        now: float,
    ) -> None:
        held.last_seen = now
        if packet.length and not held.ending:
            self._set_busy(held, busy=True)
        if packet.resets:
            held.ending = True
            self._first_requests.drop(packet.flow)
            self._set_busy(held, busy=False)

    def _set_busy(self, held: HeldFlow, *, busy: bool) -> None:
        if held.busy is not busy:
            held.busy = busy
            self._busy += 1 if busy else -1
