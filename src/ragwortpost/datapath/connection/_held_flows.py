"""The flows that one upstream holds, as tracked by its agent.

A packet from the upstream proves that the upstream holds the packet's flow. An
agent that started after its upstream has no record of the flows opened before;
it delivers packets of unknown flows to the upstream, which returns those of
flows that it does not hold. A returned packet marks its flow as not held, and
the agent denies its later packets. Flows reach an upstream only through its
agent, so an upstream that started after the previous agent ended holds no
unknown flows.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from ragwortpost.datapath.connection._expected_requests import ExpectedRequests
from ragwortpost.datapath.connection._inventories import flow_hash
from ragwortpost.datapath.connection._packet import (
    SEQUENCE_MODULUS,
    FlowKey,
    Packet,
)
from ragwortpost.datapath.connection._response_outliers import (
    ResponseOutliers,
)
from ragwortpost.datapath.connection._service_pace import ServicePace

# A caller's packet completes this upstream's handshake if it acknowledges more
# than zero and fewer than this number of bytes after the handshake's sequence
# number; the windows of a flow are far smaller. Otherwise it answers the
# handshake of another upstream.
_HANDSHAKE_WINDOW_BYTES: Final = 262144
# Requests for each slot that are added to the load of an upstream that seems to
# fail its requests. It gets new flows only while others have as many.
SUSPECT_LOAD_PER_SLOT: Final = 3
# Flows checked for expiry in one sweep; bounds how long a sweep blocks.
_MAX_FLOWS_PER_SWEEP: Final = 2000


class Ownership(Enum):
    """Whether an agent's upstream holds a flow."""

    # The upstream holds the flow.
    HELD = 'held'
    # The upstream does not hold the flow.
    NOT_HELD = 'not held'
    # The flow may have been opened before the agent started.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class HeldFlow:
    """The state of one held flow."""

    # Monotonic seconds of the last packet in either direction.
    last_packet_at: float
    # The upstream's first sequence number; none once the caller has
    # acknowledged it.
    handshake_sequence: int | None
    # The hash that stands for the flow in inventories.
    flow_hash: int
    # Upstreams whose agents it is registered with, by address and identity;
    # none before its registration.
    registrars: frozenset[tuple[str, str]] | None = None
    # Whether a request was sent and its response has not started.
    awaits_response: bool = False
    # Monotonic seconds of the last packet of that request.
    requested_at: float = 0
    # Whether either side has reset the flow or the upstream has finished it.
    closing: bool = False
    # The upstream's first sequence number; none if its handshake was not seen.
    accepted_sequence: int | None = None

    @property
    def is_answered(self) -> bool:
        """Whether no answer to the upstream's handshake is awaited."""
        return self.handshake_sequence is None

    @property
    def is_established(self) -> bool:
        """Whether the flow is open here for certain.

        Before the caller has completed the handshake of this upstream, or if
        the agent has not seen it, or after either side has ended the flow, the
        caller may have opened a flow with the same key at another upstream.
        """
        return (
            self.is_answered
            and self.accepted_sequence is not None
            and not self.closing
        )


class HeldFlows:
    """The flows held by one upstream."""

    def __init__(self, complete: bool, idle_seconds: float) -> None:
        """Start empty.

        If ``complete``, the upstream holds no flows opened before the agent
        started. Flows without packets for ``idle_seconds``, which may change
        later, are removed.
        """
        self._complete = complete
        self.idle_seconds = idle_seconds
        self._flows: dict[FlowKey, HeldFlow] = {}
        # Times at which the upstream last returned a packet of a flow.
        self._returned_at: dict[FlowKey, float] = {}
        self._expected_requests = ExpectedRequests()
        self._awaiting_response = 0
        self._pace = ServicePace()
        self._outliers = ResponseOutliers()
        # Requests that the upstream processes concurrently.
        self.slots = 1

    @property
    def is_complete(self) -> bool:
        """Whether the upstream holds no flows that are not recorded."""
        return self._complete

    @property
    def flow_hashes(self) -> list[int]:
        """Hashes of all held flows."""
        return [held.flow_hash for held in self._flows.values()]

    @property
    def registered_flows(self) -> list[FlowKey]:
        """Held flows that were registered."""
        return [
            flow
            for flow, held in self._flows.items()
            if held.registrars is not None
        ]

    def requests(self, now: float) -> int:
        """Return the number of requests in progress and of expected ones."""
        return self._awaiting_response + self._expected_requests.count(now)

    def load(self, now: float) -> int:
        """Return the load that new flows are placed and admitted by."""
        requests = self.requests(now)
        if self.is_suspected(now):
            return requests + SUSPECT_LOAD_PER_SLOT * self.slots
        return requests

    def is_suspected(self, now: float) -> bool:
        """Return whether the upstream seems to fail its requests."""
        return self._outliers.is_suspected(now)

    def pace(self, now: float) -> float:
        """Return the seconds that the upstream takes for each request."""
        return self._pace.seconds(now)

    def __len__(self) -> int:
        """Return the number of held flows."""
        return len(self._flows)

    def mark_complete(self) -> None:
        """Mark that the upstream holds no flows opened before the agent."""
        self._complete = True

    def get(self, flow: FlowKey) -> HeldFlow | None:
        """Return the state of an open flow, or none if it is not recorded.

        A caller may use the key of a flow that is closing for a new one.
        """
        held = self._flows.get(flow)
        return None if held is None or held.closing else held

    def ownership_of(self, flow: FlowKey) -> Ownership:
        """Return whether the upstream holds a flow, without a packet of it."""
        held = self._flows.get(flow)
        if held is not None:
            return Ownership.UNKNOWN if held.closing else Ownership.HELD
        if self._complete or flow in self._returned_at:
            return Ownership.NOT_HELD
        return Ownership.UNKNOWN

    def on_caller_packet(self, packet: Packet, now: float) -> Ownership:
        """Record a caller's packet and return whether its flow is held."""
        held = self._flows.get(packet.flow)
        if held is None or (held.closing and packet.length):
            # Data after the end of a flow may belong to a new one with the same
            # key, which another upstream may hold.
            return self.ownership_of(packet.flow)
        if held.handshake_sequence is not None and not packet.opens:
            ahead = (
                packet.acknowledged - held.handshake_sequence
            ) % SEQUENCE_MODULUS
            if not 0 < ahead < _HANDSHAKE_WINDOW_BYTES:
                return Ownership.NOT_HELD
            held.handshake_sequence = None
            self._expected_requests.on_established(
                packet.flow, now - held.last_packet_at
            )
        self._update_from_caller(held, packet, now)
        return Ownership.HELD

    def on_upstream_packet(self, packet: Packet, now: float) -> bool:
        """Record an upstream's packet; return whether its flow is new."""
        held = self._flows.get(packet.flow)
        self._returned_at.pop(packet.flow, None)
        if held is not None and _opens_again(held, packet):
            self._abandon_request(held, now)
            held = None
        if held is None:
            sequence = packet.sequence if packet.accepts else None
            self._flows[packet.flow] = HeldFlow(
                now,
                sequence,
                flow_hash(packet.flow),
                accepted_sequence=sequence,
            )
            if sequence is not None:
                self._expected_requests.add(packet.flow, now)
            return True
        held.last_packet_at = now
        if packet.length and held.awaits_response:
            seconds = now - held.requested_at
            self._outliers.on_response(seconds, packet.length, now)
            self._pace.on_response(held.requested_at, now)
            self._end_request(held)
        if packet.finishes or packet.resets:
            held.closing = True
            self._abandon_request(held, now)
        return False

    def on_returned_packet(self, packet: Packet, now: float) -> HeldFlow | None:
        """Remove and return a flow whose packet the upstream returned."""
        self._returned_at[packet.flow] = now
        held = self._flows.pop(packet.flow, None)
        self._expected_requests.remove(packet.flow)
        if held is not None:
            self._abandon_request(held, now)
        return held

    def expire(self, now: float) -> None:
        """Remove flows without packets for the idle time.

        Checks a bounded number of held flows, and all marks of flows that are
        not held.
        """
        for flow, held in list(self._flows.items())[:_MAX_FLOWS_PER_SWEEP]:
            if now - held.last_packet_at > self.idle_seconds:
                self._abandon_request(held, now)
                self._flows.pop(flow)
                continue
            # Reinsert at the end, so that the next sweep checks other flows.
            self._flows[flow] = self._flows.pop(flow)
        for flow, returned_at in list(self._returned_at.items()):
            if now - returned_at <= self.idle_seconds:
                break
            self._returned_at.pop(flow)

    def _update_from_caller(
        self,
        held: HeldFlow,
        packet: Packet,
        now: float,
    ) -> None:
        held.last_packet_at = now
        if packet.length and not held.closing:
            self._pace.on_request(now, continues=held.awaits_response)
            held.requested_at = now
            if not held.awaits_response:
                held.awaits_response = True
                self._awaiting_response += 1
        if packet.resets:
            held.closing = True
            self._expected_requests.remove(packet.flow)
            self._abandon_request(held, now)

    def _abandon_request(self, held: HeldFlow, now: float) -> None:
        if held.awaits_response:
            self._pace.on_abandoned(now)
            self._end_request(held)

    def _end_request(self, held: HeldFlow) -> None:
        held.awaits_response = False
        self._awaiting_response -= 1


def _opens_again(held: HeldFlow, packet: Packet) -> bool:
    """Return whether an upstream accepts a new flow with the key of another.

    A repeated handshake has the sequence number of the first.
    """
    if not packet.accepts or held.accepted_sequence == packet.sequence:
        return False
    return held.closing or held.accepted_sequence is not None
