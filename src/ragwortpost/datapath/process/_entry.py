"""The entry of the packet-level data path.

It assigns callers' new flows to upstreams and forwards packets to the agents of
the upstreams that hold their flows.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from ragwortpost._datagrams import HostPort, SendDatagram
from ragwortpost.datapath.connection import (
    Demand,
    FlowCache,
    FlowKey,
    OutgoingQuery,
    Packet,
    PacketFormat,
    RouteKey,
    caller_address,
    route_key_of,
)
from ragwortpost.datapath.process._codec import batch_flows, encode
from ragwortpost.datapath.process._flow_locator import (
    FlowLocator,
    FlowLocatorPorts,
)
from ragwortpost.datapath.process._inventory_searches import InventoryRequest
from ragwortpost.datapath.process._messages import (
    NO_ROUTE,
    FlowQuery,
    FlowQueryReply,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    Inventory,
    InventoryQuery,
    RoomDemand,
    RoomGrant,
    ServiceTag,
    service_tag,
)
from ragwortpost.datapath.process._new_flows import NewFlowPorts, NewFlows
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector

# A longer time between two ticks shows that the process lacks CPU time.
LATE_TICK_SECONDS: Final = 0.15
# Reset reason of a flow that all its possible holders have denied.
HELD_BY_NONE: Final = 'held by no upstream'
_MS: Final = 1000


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
        self._new_flows = NewFlows(
            context,
            self._selector,
            NewFlowPorts(
                self._offer,
                self._send_demand,
                self._refuse,
                self._handle_unrouted,
            ),
        )
        ports = FlowLocatorPorts(
            self._forward,
            self._send_query,
            self._reset_not_held,
            self._handle_unrouted,
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
        return len(self._new_flows) > 0 or len(self._locator) > 0

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
        self._directory.record_load(
            agent, reply.load, now, pace_ms=reply.pace_ms
        )
        match reply.outcome:
            case ForwardOutcome.OPENED:
                self._on_opened(reply.flow, agent)
            case ForwardOutcome.HELD:
                self._on_held(reply.flow, agent)
            case ForwardOutcome.NOT_HELD:
                self._on_not_held(reply, agent)
            case ForwardOutcome.REFUSED:
                if not self._new_flows.on_refused(reply.flow, agent):
                    self._cache.remove(reply.flow)
                return
        self._new_flows.on_load(agent)

    def receive_grant(self, grant: RoomGrant, agent: str) -> None:
        """Handle room that an agent grants to waiting flows."""
        now = self._clock.monotonic()
        self._directory.record_activity(agent, now)
        self._directory.record_load(
            agent, grant.load, now, pace_ms=grant.pace_ms
        )
        self._new_flows.on_grant(grant, agent)

    def receive_query_reply(
        self,
        reply: FlowQueryReply | Inventory,
        agent: str,
    ) -> None:
        """Handle an agent's reply to a query about flows."""
        now = self._clock.monotonic()
        self._directory.record_activity(agent, now)
        self._directory.record_load(
            agent, reply.load, now, pace_ms=reply.pace_ms
        )
        self._locator.receive_query_reply(reply, agent)

    def tick(self) -> None:
        """Handle timeouts and assign waiting flows."""
        now = self._clock.monotonic()
        late = now - self._last_tick_at >= LATE_TICK_SECONDS
        self._last_tick_at = now
        self._new_flows.tick(late=late)
        self._locator.tick()
        self._cache.expire(now)

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return the state of a flow, as fields of the /flow endpoint."""
        pending = self._new_flows.get(flow)
        return {
            'agent': self._cache.get(flow),
            'tried': pending.tried if pending else None,
        }

    def gauges(self) -> Mapping[str, float]:
        """Return the entry's current gauge readings."""
        return {
            'flows_cached': len(self._cache),
            'openings': len(self._new_flows),
            'searches': len(self._locator),
            **self._new_flows.gauges(),
        }

    def _on_opened(self, flow: FlowKey, agent: str) -> None:
        pending = self._new_flows.on_opened(flow, agent)
        self._cache.put(flow, agent)
        if pending is not None:
            elapsed = self._clock.monotonic() - pending.started_at
            self._metrics.accept_seconds.observe(elapsed)
            tried = len(pending.tried)
            self._log.write_flow('opened', flow, agent=agent, tried=tried)

    def _on_held(self, flow: FlowKey, agent: str) -> None:
        self._new_flows.discard(flow)
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
        self._new_flows.receive(packet)

    def _forward_known_flow(self, packet: Packet) -> None:
        # Its caller got an upstream's answer, or has ended the flow.
        self._new_flows.discard(packet.flow)
        agent = self._cache.get(packet.flow)
        if agent is not None:
            self._forward(packet, agent, ForwardPurpose.KNOWN_FLOW)
        else:
            self._locate(packet)

    def _locate(self, packet: Packet, *, denied_by: Iterable[str] = ()) -> None:
        if self._is_routed(route_key_of(packet.flow)):
            self._locator.locate(packet, denied_by=denied_by)
        else:
            self._handle_unrouted(packet)

    def _is_routed(self, route: RouteKey) -> bool:
        """Return whether flows of a route can be looked up."""
        fleet = self._state.fleet
        if fleet.configuration is None:
            return bool(self._directory.services_of(route))
        return route in fleet.routes

    def _on_not_held(self, reply: ForwardReply, agent: str) -> None:
        packet = self._packets.from_caller(reply.raw)
        if packet is not None:
            # A reply contains the packet only if it was forwarded to a cached
            # holder, so the cache was wrong.
            self._cache.remove(reply.flow)
            self._locate(packet, denied_by=(agent,))
        else:
            self._locator.on_not_held(reply.flow, agent)

    def _reset_not_held(self, packet: Packet) -> None:
        self._reset(packet.flow, packet.acknowledged, HELD_BY_NONE)

    def _refuse(self, packet: Packet) -> None:
        self._reset(packet.flow, packet.acknowledged, 'no upstream with room')

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

    def _offer(self, packet: Packet, agent: str) -> None:
        self._forward(packet, agent, ForwardPurpose.NEW_FLOW)

    def _send_demand(self, agent: str, service: str, demand: Demand) -> None:
        if self._send_to_peer is None:
            return
        left = max(0, demand.deadline - self._clock.monotonic())
        message = RoomDemand(
            service_tag(service),
            demand.waiting,
            demand.priority,
            int(left * _MS),
        )
        address = (agent, self._settings.peer_port)
        self._send_to_peer(encode(message), address)

    def _forward(
        self, packet: Packet, agent: str, purpose: ForwardPurpose
    ) -> None:
        if self._send_to_peer is not None:
            tag = self._tag_of(packet.flow, agent, purpose)
            message = Forward(purpose, tag, packet.raw)
            address = (agent, self._settings.peer_port)
            self._send_to_peer(encode(message), address)

    def _tag_of(
        self, flow: FlowKey, agent: str, purpose: ForwardPurpose
    ) -> ServiceTag:
        """Return the service tag of a packet that is forwarded to an agent.

        Only for a new flow it is that of the service its route leads to now.
        """
        fleet = self._state.fleet
        routed = fleet.service_of(flow)
        if fleet.configuration is not None and routed is None:
            return NO_ROUTE
        if purpose is ForwardPurpose.NEW_FLOW:
            return service_tag(routed or '')
        return self._query_tag(agent, routed or '')

    def _query_tag(self, agent: str, service: str) -> ServiceTag:
        """Return the service tag of a lookup at an agent.

        It is that of the agent's own service, or of the given one if that is
        not known: agents of earlier builds deny unknown flows of others.
        """
        peer = self._directory.peers.get(agent)
        upstream = self._state.fleet.upstreams_by_host.get(agent)
        if peer is not None and peer.digest.service:
            service = peer.digest.service
        elif upstream is not None:
            service = upstream.service
        return service_tag(service)

    def _send_query(self, query: OutgoingQuery | InventoryRequest) -> None:
        if self._send_to_peer is None:
            return
        tag = self._query_tag(query.agent, query.service)
        address = (query.agent, self._settings.peer_port)
        if isinstance(query, InventoryRequest):
            request = InventoryQuery(tag, query.number)
            self._send_to_peer(encode(request), address)
            return
        for flows in batch_flows(query.flows):
            self._send_to_peer(encode(FlowQuery(tag, flows)), address)
