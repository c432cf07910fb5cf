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

from ragwortpost.datapath.connection._expected_requests import ExpectedRequests
from ragwortpost.datapath.connection._packet import (
    SEQUENCE_MODULUS,
    FlowKey,
    Packet,
)

# Acknowledged bytes within which a caller's packet belongs to the handshake
# that this upstream answered; both windows of a flow stay far below it.
_HANDSHAKE_WINDOW_BYTES: Final = 262144
# Flows looked at in one sweep for expired ones; bounds the pause.
_MAX_FLOWS_PER_SWEEP: Final = 2000


class Ownership(Enum):
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
    handshake_sequence: int | None
    # Whether a request was sent and its response has not begun.
    busy: bool = False
    # Whether an end of the flow was seen.
    closing: bool = False

    @property
    def is_established(self) -> bool:
        """Whether the caller has answered this upstream's handshake.

        Until then the caller may have opened the flow at another upstream.
        """
        return self.handshake_sequence is None


class HeldFlows:
    """The flows of one upstream."""

    def __init__(self, complete: bool, idle_seconds: float) -> None:
        """Start empty.

        ``complete`` says that the upstream can't hold flows from before;
        flows silent for ``idle`` seconds are forgotten.
        """
        self._complete = complete
        self._idle_seconds = idle_seconds
        self._flows: dict[FlowKey, HeldFlow] = {}
        self._not_held: dict[FlowKey, float] = {}
        self._expected_requests = ExpectedRequests()
        self._busy = 0

    @property
    def busy(self) -> int:
        """Flows whose request waits for its response."""
        return self._busy

    def load(self, now: float) -> int:
        """Return the requests at hand, with those that are about to come."""
        return self._busy + self._expected_requests.count(now)

    def __len__(self) -> int:
        """Return the number of flows held."""
        return len(self._flows)

    def mark_complete(self) -> None:
        """Note that the upstream holds no flows from before."""
        self._complete = True

    def get(self, flow: FlowKey) -> HeldFlow | None:
        """Return what is known of a flow."""
        return self._flows.get(flow)

    def ownership_of(self, flow: FlowKey) -> Ownership:
        """Say whether the upstream may hold a flow, without its packet."""
        if flow in self._flows:
            return Ownership.HELD
        if self._complete or flow in self._not_held:
            return Ownership.NOT_HELD
        return Ownership.UNKNOWN

    def on_caller_packet(self, packet: Packet, now: float) -> Ownership:
        """Say whether the upstream holds the flow of a caller's packet."""
        held = self._flows.get(packet.flow)
        if held is None:
            return self.ownership_of(packet.flow)
        if held.handshake_sequence is not None and not packet.opens:
            ahead = (
                packet.acknowledged - held.handshake_sequence
            ) % SEQUENCE_MODULUS
            if not 0 < ahead < _HANDSHAKE_WINDOW_BYTES:
                return Ownership.NOT_HELD
            held.handshake_sequence = None
            self._expected_requests.on_established(
                packet.flow, now - held.last_seen
            )
        self._update_from_caller(held, packet, now)
        return Ownership.HELD

    def on_upstream_packet(self, packet: Packet, now: float) -> bool:
        """Learn from a packet the upstream sent; say if the flow was new."""
        held = self._flows.get(packet.flow)
        self._not_held.pop(packet.flow, None)
        if held is None:
            handshake_sequence = packet.sequence if packet.accepts else None
            self._flows[packet.flow] = HeldFlow(now, handshake_sequence)
            if handshake_sequence is not None:
                self._expected_requests.add(packet.flow, now)
            return True
        held.last_seen = now
        if packet.length:
            self._set_busy(held, busy=False)
        if packet.finishes or packet.resets:
            held.closing = True
            self._set_busy(held, busy=False)
        return False

    def on_returned_packet(self, packet: Packet, now: float) -> HeldFlow | None:
        """Forget a flow whose packet the upstream returned."""
        self._not_held[packet.flow] = now
        held = self._flows.pop(packet.flow, None)
        self._expected_requests.remove(packet.flow)
        if held is not None:
            self._set_busy(held, busy=False)
        return held

    def expire(self, now: float) -> None:
        """Forget flows that were silent for too long."""
        for flow, held in list(self._flows.items())[:_MAX_FLOWS_PER_SWEEP]:
            if now - held.last_seen > self._idle_seconds:
                self._set_busy(held, busy=False)
                self._flows.pop(flow)
                continue
            # Moves the flow to the end, so that sweeps reach all in turn.
            self._flows[flow] = self._flows.pop(flow)
        for flow, returned in list(self._not_held.items()):
            if now - returned <= self._idle_seconds:
                break
            self._not_held.pop(flow)

    def _update_from_caller(
        self,
        held: HeldFlow,
        packet: Packet,
        now: float,
    ) -> None:
        held.last_seen = now
        if packet.length and not held.closing:
            self._set_busy(held, busy=True)
        if packet.resets:
            held.closing = True
            self._expected_requests.remove(packet.flow)
            self._set_busy(held, busy=False)

    def _set_busy(self, held: HeldFlow, *, busy: bool) -> None:
        if held.busy is not busy:
            held.busy = busy
            self._busy += 1 if busy else -1
