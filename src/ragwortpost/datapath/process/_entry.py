"""The entry of the packet-level data path.

It assigns callers' new flows to upstreams and forwards packets to the agents of
the upstreams that hold their flows.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import replace
from typing import Final, TypeAlias

from ragwortpost._datagrams import HostPort, SendDatagram
from ragwortpost.datapath.connection import (
    AdmissionRate,
    FlowCache,
    FlowKey,
    OutgoingQuery,
    Packet,
    PacketFormat,
    PendingFlow,
    PendingFlows,
    WaitLimits,
    caller_address,
    route_key_of,
    should_refuse,
)
from ragwortpost.datapath.process._codec import batch_flows, encode
from ragwortpost.datapath.process._flow_locator import (
    FlowLocator,
    FlowLocatorPorts,
)
from ragwortpost.datapath.process._messages import (
    FlowQuery,
    FlowQueryReply,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    service_tag,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector

# A new flow without a reply in this time is sent to another agent. Far above
# the usual reply time, and below a caller's retransmission timeout.
ACCEPT_TIMEOUT_SECONDS: Final = 0.08
# A longer time between two ticks shows that the process lacks CPU time.
LATE_TICK_SECONDS: Final = 0.15
# Time after the start of an entry in which callers return after a mass restart.
RETURN_SECONDS: Final = 10.0
# Reset reason of a flow that all its possible holders have denied.
HELD_BY_NONE: Final = 'held by no upstream'

# The service of waiting flows, and whether it also has less urgent routes.
_QueueKey: TypeAlias = tuple[str | None, bool]


class Entry:
    """Assigns new flows to upstreams and forwards packets of known flows."""

    def __init__(
        self,
        context: NodeContext,
        packets: PacketFormat,
    ) -> None:
        """Initialize with the process's context and the packet format."""
        self._clock = context.clock
        self._settings = context.settings
        self._state = context.state
        self._directory = context.directory
        self._log = context.log
        self._metrics = context.metrics
        self._events = context.metrics.events
        self._packets = packets
        self._selector = UpstreamSelector(context)
        self._cache = FlowCache(context.clock.monotonic())
        self._last_packet_at = context.clock.monotonic()
        self._last_tick_at = self._last_packet_at
        self._pending = PendingFlows()
        self._started_at = context.clock.monotonic()
        self._queue_lengths: Counter[_QueueKey] = Counter()
        self._admission_rates: defaultdict[_QueueKey, AdmissionRate] = (
            defaultdict(AdmissionRate)
        )
        ports = FlowLocatorPorts(
            self._forward, self._send_query, self._reset_not_held
        )
        self._locator = FlowLocator(context, self._selector, ports)
        self._send_to_caller: SendDatagram | None = None
        self._send_to_peer: SendDatagram | None = None

    @property
    def seconds_since_packet(self) -> float:
        """Seconds since the last packet of a caller."""
        return self._clock.monotonic() - self._last_packet_at

    @property
    def has_pending(self) -> bool:
        """Whether pending flows or lookups need short ticks."""
        return len(self._pending) > 0 or len(self._locator) > 0

    def open(self, to_caller: SendDatagram, to_peer: SendDatagram) -> None:
        """Set the functions that send datagrams."""
        self._send_to_caller = to_caller
        self._send_to_peer = to_peer

    def receive_packet(self, raw: bytes, _: HostPort) -> None:
        """Handle a caller's packet."""
        packet = self._packets.from_caller(raw)
        self._last_packet_at = self._clock.monotonic()
        if packet is None:
            self._events['malformed'] += 1
        elif packet.opens:
            self._receive_new_flow(packet)
        else:
            self._forward_known_flow(packet)

    def receive_forward_reply(self, reply: ForwardReply, agent: str) -> None:
        """Handle an agent's reply to a forwarded packet."""
        now = self._clock.monotonic()
        self._directory.record_activity(agent, now)
        self._directory.record_load(agent, reply.load, now)
        match reply.outcome:
            case ForwardOutcome.OPENED:
                self._on_opened(reply.flow, agent)
            case ForwardOutcome.HELD:
                self._on_held(reply.flow, agent)
            case ForwardOutcome.NOT_HELD:
                self._on_not_held(reply, agent)
            case ForwardOutcome.REFUSED:
                self._reassign(reply.flow, agent)

    def receive_query_reply(
        self,
        reply: FlowQueryReply,
        agent: str,
    ) -> None:
        """Handle an agent's reply to a flow query."""
        now = self._clock.monotonic()
        self._directory.record_activity(agent, now)
        self._directory.record_load(agent, reply.load, now)
        self._locator.receive_query_reply(reply, agent)

    def tick(self) -> None:
        """Handle timeouts and assign waiting flows."""
        now = self._clock.monotonic()
        if now - self._last_tick_at < LATE_TICK_SECONDS:
            # Skipped after a late tick: replies may still wait in the socket.
            self._retry_unanswered(now)
        self._last_tick_at = now
        self._assign_waiting()
        self._locator.tick()
        self._cache.expire(now)

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return the state of a flow, as fields of the /flow endpoint."""
        pending = self._pending.get(flow)
        return {
            'agent': self._cache.get(flow),
            'tried': pending.tried if pending else None,
        }

    def gauges(self) -> Mapping[str, float]:
        """Return the entry's current gauge readings."""
        return {
            'flows_cached': len(self._cache),
            'openings': len(self._pending),
            'searches': len(self._locator),
        }

    def _retry_unanswered(self, now: float) -> None:
        """Reassign flows whose agents did not reply in time."""
        for pending in self._pending.overdue(now - ACCEPT_TIMEOUT_SECONDS):
            agent = pending.tried[-1]
            self._directory.record_timeout(agent, now)
            self._log.write_flow(
                'opening_timeout', pending.packet.flow, agent=agent
            )
            self._assign(pending)

    def _assign_waiting(self) -> None:
        """Assign waiting flows while upstreams have capacity."""
        waiting: Counter[_QueueKey] = Counter()
        fleet = self._state.fleet
        flows = sorted(
            self._pending.waiting(),
            key=lambda pending: not fleet.is_urgent(pending.packet.flow),
        )
        for pending in flows:
            queue = self._queue_of(pending.packet.flow)
            if waiting[queue]:
                # The flows before it have found no room.
                self._wait_for_capacity(pending, waiting[queue])
            else:
                self._assign(pending)
            if self._pending.is_waiting(pending.packet.flow):
                waiting[queue] += 1
        now = self._clock.monotonic()
        for key, rate in self._admission_rates.items():
            # Without any upstream, flows wait for one to start instead.
            congested = waiting[key] > 0 and self._selector.has_upstream(key[0])
            rate.set_congested(now, congested=congested)
        # Flows that arrive until the next tick join the queues: asking agents
        # for each of them costs too much in the crowd after a mass restart.
        self._queue_lengths = waiting

    def _queue_of(self, flow: FlowKey) -> _QueueKey:
        """Return the key of the waiting flows that a flow competes with."""
        fleet = self._state.fleet
        return fleet.service_of(flow), fleet.is_urgent(flow)

    def _on_opened(self, flow: FlowKey, agent: str) -> None:
        pending = self._pending.get(flow)
        self._pending.remove(flow)
        self._cache.put(flow, agent)
        if pending is not None:
            elapsed = self._clock.monotonic() - pending.started_at
            self._metrics.accept_seconds.observe(elapsed)
            tried = len(pending.tried)
            queue = self._queue_of(flow)
            self._admission_rates[queue].record(self._clock.monotonic())
            self._log.write_flow('opened', flow, agent=agent, tried=tried)

    def _on_held(self, flow: FlowKey, agent: str) -> None:
        lookup = self._locator.on_held(flow)
        self._cache.put(flow, agent)
        if lookup is not None:
            elapsed = self._clock.monotonic() - lookup.started_at
            self._metrics.lookup_seconds.observe(elapsed)
            self._log.write_flow('found', flow, agent=agent)

    def _receive_new_flow(self, packet: Packet) -> None:
        agent = self._cache.get(packet.flow)
        if agent is not None and not self._selector.is_unresponsive(agent):
            self._forward(packet, agent, ForwardPurpose.NEW_FLOW)
            return
        pending = self._pending.get(packet.flow)
        if pending is None:
            now = self._clock.monotonic()
            added = self._pending.add(packet, now)
            if not self._queue_lengths[self._queue_of(packet.flow)]:
                self._assign(added)
        elif not self._pending.is_waiting(packet.flow):
            self._forward(packet, pending.tried[-1], ForwardPurpose.NEW_FLOW)

    def _assign(self, pending: PendingFlow) -> None:
        packet = pending.packet
        service = self._state.fleet.service_of(packet.flow)
        if service is None:
            self._pending.remove(packet.flow)
            self._handle_unrouted(packet)
            return
        candidate = self._selector.select(packet.flow, service, pending.tried)
        if candidate is None:
            self._wait_for_capacity(pending)
            return
        now = self._clock.monotonic()
        self._pending.record_attempt(pending, candidate.agent, now)
        self._directory.count_assigned_flow(candidate.agent, now)
        self._forward(packet, candidate.agent, ForwardPurpose.NEW_FLOW)

    def _wait_for_capacity(self, pending: PendingFlow, ahead: int = 0) -> None:
        """Keep a new flow waiting, or refuse it if its turn comes too late.

        ``ahead`` is the number of flows in its queue that wait before it.
        """
        now = self._clock.monotonic()
        flow = pending.packet.flow
        route = self._state.fleet.routes[route_key_of(flow)]
        queue = self._queue_of(flow)
        congestion = replace(
            self._admission_rates[queue].congestion(now),
            returning=now - self._started_at < RETURN_SECONDS,
        )
        waited = now - pending.started_at
        limits = WaitLimits(route.timeout, route.target)
        if not should_refuse(limits, waited, ahead, congestion):
            self._pending.mark_waiting(pending)
            return
        self._pending.remove(flow)
        self._reset(flow, pending.packet.acknowledged, 'no upstream with room')

    def _reassign(self, flow: FlowKey, agent: str) -> None:
        pending = self._pending.get(flow)
        if pending is None:
            self._cache.remove(flow)
        elif pending.tried and pending.tried[-1] == agent:
            self._assign(pending)

    def _forward_known_flow(self, packet: Packet) -> None:
        agent = self._cache.get(packet.flow)
        if agent is not None:
            self._forward(packet, agent, ForwardPurpose.KNOWN_FLOW)
        elif route_key_of(packet.flow) in self._state.fleet.routes:
            self._locator.locate(packet)
        else:
            self._handle_unrouted(packet)

    def _on_not_held(self, reply: ForwardReply, agent: str) -> None:
        packet = self._packets.from_caller(reply.raw)
        if packet is not None:
            # A reply contains the packet only if it was forwarded to a cached
            # holder, so the cache was wrong.
            self._cache.remove(reply.flow)
            self._locator.locate(packet, denied_by=(agent,))
        else:
            self._locator.on_not_held(reply.flow, agent)

    def _reset_not_held(self, packet: Packet) -> None:
        self._reset(packet.flow, packet.acknowledged, HELD_BY_NONE)

    def _handle_unrouted(self, packet: Packet) -> None:
        """Reset a flow without a route, if the view is fresh."""
        if self._state.is_fresh:
            self._reset(packet.flow, packet.acknowledged, 'no route')
        else:
            self._events['unrouted_in_doubt'] += 1

    def _reset(self, flow: FlowKey, sequence: int, reason: str) -> None:
        self._log.write_flow(
            'reset',
            flow,
            reason=reason,
            era=self._state.era,
            revision=self._state.revision,
            view_age=round(self._state.age, 2),
        )
        if self._send_to_caller is not None:
            address = (caller_address(flow), self._settings.packet_port)
            self._send_to_caller(self._packets.reset(flow, sequence), address)

    def _forward(
        self, packet: Packet, agent: str, purpose: ForwardPurpose
    ) -> None:
        service = self._state.fleet.service_of(packet.flow) or ''
        if self._send_to_peer is not None:
            message = Forward(purpose, service_tag(service), packet.raw)
            address = (agent, self._settings.peer_port)
            self._send_to_peer(encode(message), address)

    def _send_query(self, query: OutgoingQuery) -> None:
        if self._send_to_peer is None:
            return
        tag = service_tag(query.service)
        address = (query.agent, self._settings.peer_port)
        for flows in batch_flows(query.flows):
            self._send_to_peer(encode(FlowQuery(tag, flows)), address)
