"""The agent of the packet-level data path.

It admits new flows to the upstream beside it and is authoritative for the flows
that the upstream holds.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Final

from ragwortpost._datagrams import HostPort, SendDatagram
from ragwortpost.datapath.connection import (
    FlowCache,
    FlowKey,
    HeldFlows,
    Ownership,
    Packet,
    PacketFormat,
    Refusal,
    ServedRoutes,
    UnconfirmedPackets,
    UpstreamLiveness,
    caller_address,
    route_key_of,
)
from ragwortpost.datapath.process._agent_room import AgentRoom
from ragwortpost.datapath.process._codec import encode
from ragwortpost.datapath.process._flow_registrations import (
    FlowRegistrations,
)
from ragwortpost.datapath.process._messages import (
    NO_ROUTE,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    Message,
    Registration,
    ServiceTag,
    service_tag,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import UpstreamSide
from ragwortpost.datapath.process._query_responder import (
    AgentFlows,
    LookupQuery,
    QueryResponder,
)
from ragwortpost.datapath.process._upstream_presence import UpstreamPresence
from ragwortpost.datapath.version import Configuration

# A held flow without packets for this time is removed, unless the configuration
# allows longer pauses.
FLOW_IDLE_SECONDS: Final = 30.0
# Time for which a flow is kept beyond the pauses that the configuration allows:
# its caller's next packet may be on its way.
IDLE_MARGIN_SECONDS: Final = 2.0
# Interval between sweeps for idle flows.
SWEEP_INTERVAL_SECONDS: Final = 1.0
# Registrations are kept for at least this time, the age after which a flow may
# be discarded.
REGISTRATION_SECONDS: Final = 60.0
# Minimum time between the end of one agent and the start of the next. An
# upstream that started within this time before its agent, or later, has had no
# other agent.
MIN_RESTART_GAP: Final = timedelta(seconds=0.3)
_MS: Final = 1000


class Agent:
    """Delivers packets of held flows and admits new flows."""

    def __init__(
        self,
        context: NodeContext,
        side: UpstreamSide,
        packets: PacketFormat,
    ) -> None:
        """Initialize with the process's context and the upstream to serve."""
        self._clock = context.clock
        self._settings = context.settings
        self._state = context.state
        self._log = context.log
        self._events = context.metrics.events
        self._upstream_side = side
        self._packets = packets
        self._service_tag = service_tag(side.service)
        self.held_flows: Final = HeldFlows(
            context.settings.first_start, FLOW_IDLE_SECONDS
        )
        self._upstream_liveness = UpstreamLiveness()
        self._presence = UpstreamPresence(context, self._upstream_liveness)
        # Admits new flows and grants room for them.
        self.room: Final = AgentRoom(
            context, side.service, self.held_flows, self._upstream_liveness
        )
        # Reported to entries while there is no view.
        self.served_routes: Final = ServedRoutes()
        self._unconfirmed = UnconfirmedPackets()
        self._query_responder = QueryResponder(
            context,
            AgentFlows(self.held_flows, self._unconfirmed, self._presence),
            self._send_message,
        )
        self._registrations = FlowRegistrations(
            context, side.service, self.held_flows, self._send_message
        )
        now = context.clock.monotonic()
        self._registered = FlowCache(now, REGISTRATION_SECONDS)
        self._last_sweep = now
        # Whether the upstream seemed to fail its requests at the last tick.
        self._is_suspected = False
        self._send_outbound: SendDatagram | None = None
        self._send_to_peer: SendDatagram | None = None
        self._started_at = context.clock.now()
        context.state.subscribe(self._check_upstream_start)

    @property
    def may_hold_unknown(self) -> bool:
        """Whether the upstream may hold flows from before this agent."""
        return not self.held_flows.is_complete

    @property
    def load(self) -> int:
        """Load of the upstream, as new flows are placed and admitted by it."""
        return self.held_flows.load(self._clock.monotonic())

    @property
    def pace_ms(self) -> int:
        """Milliseconds that the upstream takes for each request."""
        return int(self.held_flows.pace(self._clock.monotonic()) * _MS)

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return the state of a flow, as fields of the /flow endpoint."""
        held = self.held_flows.get(flow)
        return {'held': held is not None, 'offered': flow in self._unconfirmed}

    def gauges(self) -> Mapping[str, float]:
        """Return the agent's current gauge readings."""
        now = self._clock.monotonic()
        return {
            'flows_held': len(self.held_flows),
            'load': self.load,
            'pace_seconds': self.pace_ms / _MS,
            'suspected': float(self.held_flows.is_suspected(now)),
            **self.room.gauges(),
        }

    def open(
        self,
        outbound: SendDatagram,
        to_peer: SendDatagram,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Set the functions that send datagrams and that report a shutdown.

        ``outbound`` sends to the upstream and to callers.
        """
        self._send_outbound = outbound
        self._send_to_peer = to_peer
        self.room.open(to_peer, is_stopping)

    def record_absent_upstream(self) -> None:
        """Record that no upstream runs: there are no flows from before."""
        self.held_flows.mark_complete()
        self._query_responder.decide()

    def receive_forward(self, forward: Forward, entry: str) -> None:
        """Handle a packet that an entry forwards or another agent relays."""
        packet = self._packets.from_caller(forward.raw)
        if packet is None:
            self._events['malformed'] += 1
            return
        entry = forward.entry or entry
        now = self._clock.monotonic()
        if forward.purpose is ForwardPurpose.NEW_FLOW:
            self._admit_flow(forward, packet, entry)
            return
        match self.held_flows.on_caller_packet(packet, now):
            case Ownership.HELD:
                self._deliver(packet)
                if forward.purpose is not ForwardPurpose.KNOWN_FLOW:
                    self._reply(ForwardOutcome.HELD, packet.flow, entry)
            case Ownership.NOT_HELD:
                self._relay_or_deny(forward, packet, entry)
            case Ownership.UNKNOWN if self._may_hold(forward.service):
                self._deliver_unconfirmed(packet, entry)
            case Ownership.UNKNOWN:
                self._deny(forward.purpose, packet, entry)

    def receive_registration(
        self,
        registration: Registration,
        holder: str,
    ) -> None:
        """Store the holder of flows that another agent's upstream holds."""
        for flow in registration.flows:
            self._registered.put(flow, holder)

    def receive_query(self, query: LookupQuery, entry: str) -> None:
        """Reply which flows the upstream holds or may hold."""
        self._query_responder.receive(query, entry)

    def receive_outbound(self, raw: bytes, _: HostPort) -> None:
        """Handle a packet that the upstream sends or returns."""
        packet = self._packets.from_upstream(raw)
        self._upstream_liveness.record_response()
        if packet is None:
            self._events['malformed'] += 1
        elif packet.returned:
            self._handle_returned(packet)
        else:
            self._handle_response(packet)
        self.room.on_outbound()

    def tick(self) -> None:
        """Register flows that are due and remove expired state.

        If the upstream is deregistered and unresponsive, deny the flows of all
        unconfirmed deliveries.
        """
        now = self._clock.monotonic()
        if now - self._last_sweep >= SWEEP_INTERVAL_SECONDS:
            self._last_sweep = now
            configuration = self._state.fleet.configuration
            self.held_flows.idle_seconds = _idle_seconds(configuration)
            self.held_flows.expire(now)
        suspected = self.held_flows.is_suspected(now)
        if suspected is not self._is_suspected:
            self._is_suspected = suspected
            self._log.write(
                'upstream_suspected' if suspected else 'upstream_trusted'
            )
        self._registered.expire(now)
        self._query_responder.answer_due()
        self._registrations.tick(now)
        if self._presence.is_gone:
            for flow, entries in self._unconfirmed.pop_all().items():
                for entry in entries:
                    self._reply(ForwardOutcome.NOT_HELD, flow, entry)
        self._unconfirmed.expire(now)
        self.room.grant()

    def _may_hold(self, service: ServiceTag) -> bool:
        """Return whether the upstream may hold an unknown flow.

        Its route may have led to this upstream's service when it was opened,
        so the service that its route leads to now does not matter. Only flows
        without a route are not looked up.
        """
        return service != NO_ROUTE and not self._presence.is_gone

    def _check_upstream_start(self) -> None:
        """Mark the held flows complete if the upstream had no earlier agent."""
        upstream = self._state.fleet.upstreams_by_host.get(self._settings.host)
        if upstream is None:
            return
        self.held_flows.slots = max(1, upstream.slots)
        earliest_end = self._started_at - MIN_RESTART_GAP
        # The time of the upstream's start may be beyond the range of a date.
        if upstream.born > earliest_end.timestamp() * _MS:
            self.held_flows.mark_complete()
        self._query_responder.decide()

    def _send_message(self, message: Message, host: str) -> None:
        if self._send_to_peer is not None:
            self._send_to_peer(
                encode(message), (host, self._settings.peer_port)
            )

    def _relay_or_deny(
        self,
        forward: Forward,
        packet: Packet,
        entry: str,
    ) -> None:
        """Relay a packet to the flow's registered holder, or deny the flow."""
        holder = None
        if forward.purpose is ForwardPurpose.RELAYABLE_LOOKUP:
            holder = self._registered.get(packet.flow)
        if holder is None:
            self._deny(forward.purpose, packet, entry)
            return
        self._events['passed_to_holder'] += 1
        relayed = Forward(
            ForwardPurpose.LOOKUP, forward.service, packet.raw, entry
        )
        self._send_message(relayed, holder)

    def _admit_flow(
        self,
        forward: Forward,
        packet: Packet,
        entry: str,
    ) -> None:
        if self._repeats_opening(packet.flow, forward.service):
            self._deliver_unconfirmed(packet, entry)
            return
        if forward.service == self._service_tag:
            refusal = self.room.admit(packet.flow, entry)
        else:
            refusal = Refusal.WRONG_SERVICE
        if refusal is None:
            self._deliver_unconfirmed(packet, entry)
        else:
            self._refuse(refusal, packet, entry)

    def _repeats_opening(self, flow: FlowKey, service: ServiceTag) -> bool:
        """Return whether an opening packet repeats an admitted one.

        Its route may lead to another service by now. Then a packet that comes
        after the handshake may open a new flow with the same key, which this
        upstream must not get.
        """
        if self._unconfirmed.awaits_acceptance(flow):
            return True
        held = self.held_flows.get(flow)
        if held is None:
            return False
        return service == self._service_tag or not held.is_answered

    def _deliver_unconfirmed(self, packet: Packet, entry: str) -> None:
        """Deliver a packet and record the entry that waits for the outcome."""
        now = self._clock.monotonic()
        self._unconfirmed.add(packet.flow, entry, now, opens=packet.opens)
        self._upstream_liveness.record_delivery(now, opens=packet.opens)
        self._deliver(packet)

    def _handle_response(self, packet: Packet) -> None:
        now = self._clock.monotonic()
        self.room.settle(packet.flow)
        if packet.resets and self._is_denial(packet.flow):
            self.held_flows.on_returned_packet(packet, now)
            for waiting_entry in self._unconfirmed.pop(packet.flow):
                self._deny(ForwardPurpose.LOOKUP, packet, waiting_entry)
            return
        if self._state.fleet.configuration is not None:
            self.served_routes.clear()
        elif not packet.resets:
            self.served_routes.record(route_key_of(packet.flow))
        if self.held_flows.on_upstream_packet(packet, now):
            self._registrations.add(packet.flow, now)
        if self._send_outbound is not None:
            caller = (caller_address(packet.flow), self._settings.packet_port)
            self._send_outbound(packet.raw, caller)
        outcome = (
            ForwardOutcome.OPENED if packet.accepts else ForwardOutcome.HELD
        )
        for entry in self._unconfirmed.pop(packet.flow):
            self._reply(outcome, packet.flow, entry)

    def _is_denial(self, flow: FlowKey) -> bool:
        """Return whether a reset of a flow shows that it is not held.

        An upstream that has just started may reset the flow of a packet that
        was delivered to find out whether it holds the flow, instead of
        returning the packet. The caller must not get that reset: another
        upstream may hold the flow.
        """
        return flow in self._unconfirmed and not self.held_flows.get(flow)

    def _handle_returned(self, packet: Packet) -> None:
        now = self._clock.monotonic()
        self._events['returned'] += 1
        self.room.settle(packet.flow)
        held = self.held_flows.on_returned_packet(packet, now)
        entries = self._unconfirmed.pop(packet.flow)
        if packet.opens:
            self.room.record_return()
            for entry in entries:
                self._refuse(Refusal.FULL, packet, entry)
            return
        for entry in entries:
            self._deny(ForwardPurpose.LOOKUP, packet, entry)
        if held is not None and held.is_established and packet.length:
            self._log.write_flow(
                'flow_lost', packet.flow, held=len(self.held_flows)
            )
            self._reset(packet)

    def _deny(
        self, purpose: ForwardPurpose, packet: Packet, entry: str
    ) -> None:
        self._events['not_held'] += 1
        raw = packet.raw if purpose is ForwardPurpose.KNOWN_FLOW else b''
        self._reply(ForwardOutcome.NOT_HELD, packet.flow, entry, raw)

    def _refuse(self, refusal: Refusal, packet: Packet, entry: str) -> None:
        self._log.write_flow(
            'refused',
            packet.flow,
            reason=refusal.value,
            held=len(self.held_flows),
            era=self._state.era,
            revision=self._state.revision,
        )
        self._reply(ForwardOutcome.REFUSED, packet.flow, entry)

    def _reply(
        self,
        outcome: ForwardOutcome,
        flow: FlowKey,
        entry: str,
        raw: bytes = b'',
    ) -> None:
        load, version = self.load, self._state.version
        reply = ForwardReply(outcome, load, version, flow, raw, self.pace_ms)
        self._send_message(reply, entry)

    def _deliver(self, packet: Packet) -> None:
        if self._send_outbound is not None:
            self._send_outbound(packet.raw, self._upstream_side.upstream)

    def _reset(self, packet: Packet) -> None:
        if self._send_outbound is not None:
            reset = self._packets.reset(packet.flow, packet.acknowledged)
            caller = (caller_address(packet.flow), self._settings.packet_port)
            self._send_outbound(reset, caller)


def _idle_seconds(configuration: Configuration | None) -> float:
    """Return the time without packets after which a held flow is removed."""
    if configuration is None:
        return FLOW_IDLE_SECONDS
    allowed = configuration.idle_seconds + IDLE_MARGIN_SECONDS
    return max(FLOW_IDLE_SECONDS, allowed)
