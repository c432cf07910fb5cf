"""The agent: decides over the flows of the upstream beside it."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Final

from ragwortpost._datagrams import HostPort, SendDatagram
from ragwortpost.datapath.connection import (
    Admission,
    AdmissionInputs,
    FlowCache,
    FlowKey,
    HeldFlows,
    Ownership,
    Packet,
    PacketFormat,
    Refusal,
    RegistrationQueue,
    UpstreamLiveness,
    backlog_limit,
    caller_address,
    registrars_of,
)
from ragwortpost.datapath.process._codec import batch_flows, encode
from ragwortpost.datapath.process._messages import (
    FlowQuery,
    FlowQueryReply,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    Registration,
    ServiceTag,
    service_tag,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import UpstreamSide

# Seconds for which a held flow is remembered without packets: above the
# configuration's idle limit, so that no flow is forgotten that may live.
FLOW_IDLE_SECONDS: Final = 30.0
# Flows that an upstream holds at most, until the configuration says so.
DEFAULT_CONNECTION_LIMIT: Final = 2000
# Seconds between two looks for flows that were silent for too long.
SWEEP_INTERVAL_SECONDS: Final = 1.0
# Seconds for which a registered flow is remembered at least: the age after
# which a flow may be discarded.
REGISTRATION_SECONDS: Final = 60.0
# The shortest time between the end of one agent and the start of the next; an
# upstream that started within it has had no agent before.
MIN_RESTART_GAP: Final = timedelta(seconds=0.3)
_MS: Final = 1000
# Seconds for which an upstream's silence to an offered packet is waited for.
UNCONFIRMED_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class _UnconfirmedPacket:
    """A packet that the upstream was offered, and who waits for the result."""

    # The entries that asked.
    entries: tuple[str, ...]
    # Monotonic seconds of the delivery.
    delivered_at: float


class Agent:
    """Delivers packets of held flows and admits new ones."""

    def __init__(
        self,
        context: NodeContext,
        side: UpstreamSide,
        packets: PacketFormat,
    ) -> None:
        """Prepare; :meth:`open` gives the sockets."""
        self._clock = context.clock
        self._settings = context.settings
        self._state = context.state
        self._log = context.log
        self._events = context.metrics.events
        self._side = side
        self._packets = packets
        self._tag = service_tag(side.service)
        self._flows = HeldFlows(context.settings.first_start, FLOW_IDLE_SECONDS)
        self._admission = Admission()
        self._upstream_liveness = UpstreamLiveness()
        self._unconfirmed: dict[FlowKey, _UnconfirmedPacket] = {}
        self._registration_queue = RegistrationQueue()
        now = context.clock.monotonic()
        self._registered = FlowCache(now, REGISTRATION_SECONDS)
        self._last_sweep = now
        self._outbound: SendDatagram | None = None
        self._to_peer: SendDatagram | None = None
        self._started = context.clock.now()
        context.state.subscribe(self._check_upstream_start)
        self._is_stopping: Callable[[], bool] = bool

    @property
    def load(self) -> int:
        """Requests at hand and flows about to send their first one."""
        return self._flows.load(self._clock.monotonic())

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return what this agent knows of a flow."""
        held = self._flows.get(flow)
        return {'held': held is not None, 'offered': flow in self._unconfirmed}

    def gauges(self) -> Mapping[str, float]:
        """Return the agent's numbers of this moment."""
        return {'flows_held': self.held, 'load': self.load}

    @property
    def held(self) -> int:
        """Flows that the upstream holds."""
        return len(self._flows)

    def open(
        self,
        outbound: SendDatagram,
        to_peer: SendDatagram,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Send to upstream and callers, and to peers, through these."""
        self._outbound = outbound
        self._to_peer = to_peer
        self._is_stopping = is_stopping

    def receive_forward(self, forward: Forward, entry: str) -> None:
        """Handle a caller's packet that an entry passes on."""
        packet = self._packets.from_caller(forward.raw)
        if packet is None:
            self._events['malformed'] += 1
            return
        entry = forward.entry or entry
        now = self._clock.monotonic()
        if forward.purpose is ForwardPurpose.NEW_FLOW:
            self._admit_flow(forward, packet, entry)
            return
        match self._flows.on_caller_packet(packet, now):
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
        """Remember the flows that another agent's upstream holds."""
        for flow in registration.flows:
            self._registered.put(flow, holder)

    def receive_query(self, query: FlowQuery, entry: str) -> None:
        """Say which of some flows the upstream can't hold."""
        may_hold = self._may_hold(query.service)
        denied, possible = [], []
        for flow in query.flows:
            match self._flows.ownership_of(flow):
                case Ownership.NOT_HELD:
                    denied.append(flow)
                case Ownership.UNKNOWN if not may_hold:
                    denied.append(flow)
                case _:
                    possible.append(flow)
        self._events['not_held'] += len(denied)
        answer = FlowQueryReply(self.load, tuple(denied), tuple(possible))
        if self._to_peer is not None:
            address = (entry, self._settings.peer_port)
            self._to_peer(encode(answer), address)

    def receive_outbound(self, raw: bytes, _: HostPort) -> None:
        """Handle a packet that the upstream sends or returns."""
        packet = self._packets.from_upstream(raw)
        self._upstream_liveness.record_response()
        if packet is None:
            self._events['malformed'] += 1
        elif packet.returned:
            self._receive_returned(packet)
        else:
            self._receive_response(packet)

    def tick(self) -> None:
        """Forget what is too old."""
        now = self._clock.monotonic()
        if now - self._last_sweep >= SWEEP_INTERVAL_SECONDS:
            self._last_sweep = now
            self._flows.expire(now)
        self._registered.expire(now)
        self._register_flows(now)
        self._expire_unconfirmed(now)

    def _expire_unconfirmed(self, now: float) -> None:
        """Forget old deliveries; deny all if the upstream is gone."""
        if self._is_upstream_gone():
            self._deny_unconfirmed()
        for flow, unconfirmed in list(self._unconfirmed.items()):
            if now - unconfirmed.delivered_at < UNCONFIRMED_SECONDS:
                break
            self._unconfirmed.pop(flow)

    def _deny_unconfirmed(self) -> None:
        denied = dict(self._unconfirmed)
        self._unconfirmed.clear()
        for flow, unconfirmed in denied.items():
            for entry in unconfirmed.entries:
                self._reply(ForwardOutcome.NOT_HELD, flow, entry)

    def _may_hold(self, service: ServiceTag) -> bool:
        """Return whether the upstream may hold unknown flows of a service."""
        return service == self._tag and not self._is_upstream_gone()

    def _is_upstream_gone(self) -> bool:
        """Return whether the upstream is neither in the store nor answers."""
        if not self._upstream_liveness.is_dead(self._clock.monotonic()):
            return False
        fleet = self._state.fleet
        if fleet.configuration is None or not self._state.is_fresh:
            return False
        return self._settings.host not in fleet.upstreams_by_host

    def _check_upstream_start(self) -> None:
        """Learn from the upstream's start whether it can hold older flows."""
        entry = self._state.fleet.upstreams_by_host.get(self._settings.host)
        if entry is None:
            return
        born = datetime.fromtimestamp(entry.born / _MS, UTC)
        if born > self._started - MIN_RESTART_GAP:
            self._flows.mark_complete()

    def _relay_or_deny(
        self,
        forward: Forward,
        packet: Packet,
        entry: str,
    ) -> None:
        """Pass a packet to its flow's registered holder, or deny the flow."""
        holder = None
        if forward.purpose is ForwardPurpose.RELAYABLE_LOOKUP:
            holder = self._registered.get(packet.flow)
        if holder is None or self._to_peer is None:
            self._deny(forward.purpose, packet, entry)
            return
        self._events['passed_to_holder'] += 1
        relayed = Forward(
            ForwardPurpose.LOOKUP, forward.service, packet.raw, entry
        )
        self._to_peer(encode(relayed), (holder, self._settings.peer_port))

    def _register_flows(self, now: float) -> None:
        """Register the flows that have lived for a while."""
        upstreams = self._state.fleet.upstreams.get(self._side.service, ())
        hosts = [entry.host for entry in upstreams]
        flows = defaultdict(list)
        for flow in self._registration_queue.pop_due(now):
            if self._flows.get(flow) is not None:
                for host in registrars_of(flow, hosts):
                    flows[host].append(flow)
        flows.pop(self._settings.host, None)
        for host, registered in flows.items():
            for batch in batch_flows(registered):
                if self._to_peer is not None:
                    message = encode(Registration(batch))
                    self._to_peer(message, (host, self._settings.peer_port))

    def _admit_flow(
        self,
        forward: Forward,
        packet: Packet,
        entry: str,
    ) -> None:
        now = self._clock.monotonic()
        held = self._flows.get(packet.flow)
        if held is not None or packet.flow in self._unconfirmed:
            # A copy of a packet that was admitted before.
            self._deliver_unconfirmed(packet, entry)
            return
        if forward.service == self._tag:
            inputs = self._admission_inputs()
            refusal = self._admission.decide(
                inputs,
                len(self._flows),
                self.load,
                now,
            )
        else:
            refusal = Refusal.WRONG_SERVICE
        if refusal is None:
            self._deliver_unconfirmed(packet, entry)
        else:
            self._refuse(refusal, packet, entry)

    def _admission_inputs(self) -> AdmissionInputs:
        fleet = self._state.fleet
        entry = fleet.upstreams_by_host.get(self._settings.host)
        policy = fleet.services.get(self._side.service)
        limit = policy.connection_limit if policy else DEFAULT_CONNECTION_LIMIT
        warm_up_rate = None
        if entry is not None and self._state.warm_up_left(entry.ident) > 0:
            warm_up_rate = policy.warm_up_rate if policy else None
        gone = entry is None and fleet.configuration is not None
        return AdmissionInputs(
            leaving=self._is_stopping()
            or gone
            or (entry is not None and entry.leaving),
            data_centre_drained=self._settings.data_centre
            in fleet.drained_data_centres,
            unresponsive=self._upstream_liveness.withholds_new_flow(
                self._clock.monotonic()
            ),
            warm_up_rate=warm_up_rate,
            connection_limit=limit,
            backlog_limit=backlog_limit(entry.slots if entry else 1),
        )

    def _deliver_unconfirmed(self, packet: Packet, entry: str) -> None:
        """Deliver a packet whose flow the upstream may not take."""
        earlier = self._unconfirmed.pop(packet.flow, None)
        entries = earlier.entries if earlier else ()
        if entry not in entries:
            entries = (*entries, entry)
        now = self._clock.monotonic()
        self._unconfirmed[packet.flow] = _UnconfirmedPacket(entries, now)
        self._upstream_liveness.record_delivery(now, opens=packet.opens)
        self._deliver(packet)

    def _receive_response(self, packet: Packet) -> None:
        now = self._clock.monotonic()
        if self._flows.on_upstream_packet(packet, now):
            self._registration_queue.add(packet.flow, now)
        if self._outbound is not None:
            caller = (caller_address(packet.flow), self._settings.packet_port)
            self._outbound(packet.raw, caller)
        unconfirmed = self._unconfirmed.pop(packet.flow, None)
        if unconfirmed is None:
            return
        outcome = (
            ForwardOutcome.OPENED if packet.accepts else ForwardOutcome.HELD
        )
        for entry in unconfirmed.entries:
            self._reply(outcome, packet.flow, entry)

    def _receive_returned(self, packet: Packet) -> None:
        now = self._clock.monotonic()
        self._events['returned'] += 1
        unconfirmed = self._unconfirmed.pop(packet.flow, None)
        held = self._flows.on_returned_packet(packet, now)
        entries = unconfirmed.entries if unconfirmed else ()
        if packet.opens:
            for entry in entries:
                self._refuse(Refusal.FULL, packet, entry)
            return
        for entry in entries:
            self._deny(ForwardPurpose.LOOKUP, packet, entry)
        if held is not None and held.is_established and packet.length:
            self._log.write_flow('flow_lost', packet.flow, held=self.held)
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
            held=self.held,
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
        if self._to_peer is None:
            return
        load, revision = self.load, self._state.revision
        reply = ForwardReply(outcome, load, revision, flow, raw)
        self._to_peer(encode(reply), (entry, self._settings.peer_port))

    def _deliver(self, packet: Packet) -> None:
        if self._outbound is not None:
            self._outbound(packet.raw, self._side.upstream)

    def _reset(self, packet: Packet) -> None:
        if self._outbound is not None:
            reset = self._packets.reset(packet.flow, packet.acknowledged)
            caller = (caller_address(packet.flow), self._settings.packet_port)
            self._outbound(reset, caller)
