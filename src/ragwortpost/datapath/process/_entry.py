"""The entry: takes callers' packets and hands them to agents."""

from collections.abc import Mapping
from typing import Final

from ragwortpost._datagrams import HostPort, Send
from ragwortpost.datapath.connection import (
    FlowCache,
    FlowKey,
    Packet,
    PacketFormat,
    PendingFlow,
    PendingFlows,
    Question,
    caller_of,
    route_of,
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

# Seconds for an agent to answer a new flow before another one is tried; far
# above an answer's usual time and below a caller's own repeat.
OPENING_SECONDS: Final = 0.08
# Seconds between ticks that show that the process is short of processor time.
LAGGING_SECONDS: Final = 0.15
# Why a flow is reset that all agents have denied.
UNHELD: Final = 'held by no upstream'
# Part of a route's timeout for which a new flow may wait for an upstream; the
# rest is for its request.
WAIT_SHARE: Final = 0.6
# Seconds for which a new flow waits at most: callers give it up after 1.4 s,
# and the answer has to reach them before.
MAX_WAIT_SECONDS: Final = 1.3


class Entry:
    """Places new flows and forwards the packets of known ones."""

    def __init__(
        self,
        context: NodeContext,
        packets: PacketFormat,
    ) -> None:
        """Prepare; :meth:`open` gives the sockets."""
        self._clock = context.clock
        self._settings = context.settings
        self._state = context.state
        self._directory = context.directory
        self._log = context.log
        self._metrics = context.metrics
        self._events = context.metrics.events
        self._packets = packets
        self._choice = UpstreamSelector(context)
        self._cache = FlowCache(context.clock.monotonic())
        self._last_packet = context.clock.monotonic()
        self._last_tick = self._last_packet
        self._openings = PendingFlows()
        ports = FlowLocatorPorts(
            self._forward, self._inquire, self._reset_unheld
        )
        self._lookup = FlowLocator(context, self._choice, ports)
        self._to_caller: Send | None = None
        self._to_peer: Send | None = None

    @property
    def quiet_seconds(self) -> float:
        """Seconds since the last packet of a caller."""
        return self._clock.monotonic() - self._last_packet

    @property
    def is_waiting(self) -> bool:
        """Whether flows wait for agents' answers, so that ticks matter."""
        return len(self._openings) > 0 or len(self._lookup) > 0

    def open(self, to_caller: Send, to_peer: Send) -> None:
        """Send to callers and to peers through these from now on."""
        self._to_caller = to_caller
        self._to_peer = to_peer

    def receive_packet(self, raw: bytes, _: HostPort) -> None:
        """Handle a caller's packet."""
        packet = self._packets.from_caller(raw)
        self._last_packet = self._clock.monotonic()
        if packet is None:
            self._events['malformed'] += 1
        elif packet.opens:
            self._open_flow(packet)
        else:
            self._carry(packet)

    def receive_forward_reply(self, reply: ForwardReply, agent: str) -> None:
        """Handle an agent's answer."""
        now = self._clock.monotonic()
        self._directory.note_sign(agent, now)
        self._directory.note_load(agent, reply.load, now)
        match reply.outcome:
            case ForwardOutcome.OPENED:
                self._note_opened(reply.flow, agent)
            case ForwardOutcome.HELD:
                self._note_held(reply.flow, agent)
            case ForwardOutcome.NOT_HELD:
                self._note_not_held(reply, agent)
            case ForwardOutcome.REFUSED:
                self._place_again(reply.flow, agent)

    def receive_query_reply(
        self,
        answer: FlowQueryReply,
        agent: str,
    ) -> None:
        """Handle an agent's answer to a question about flows."""
        now = self._clock.monotonic()
        self._directory.note_sign(agent, now)
        self._directory.note_load(agent, answer.load, now)
        self._lookup.receive_query_reply(answer, agent)

    def tick(self) -> None:
        """Try other agents for flows that were not answered in time."""
        now = self._clock.monotonic()
        if now - self._last_tick < LAGGING_SECONDS:
            # Otherwise the answers may wait in the socket.
            self._try_others(now)
        self._last_tick = now
        self._place_waiting()
        self._lookup.tick()
        self._cache.expire(now)

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return what this entry knows of a flow."""
        opening = self._openings.get(flow)
        return {
            'agent': self._cache.get(flow),
            'tried': opening.tried if opening else None,
        }

    def gauges(self) -> Mapping[str, float]:
        """Return the entry's numbers of this moment."""
        return {
            'flows_cached': len(self._cache),
            'openings': len(self._openings),
            'searches': len(self._lookup),
        }

    def _try_others(self, now: float) -> None:
        """Place the flows again whose agents did not answer in time."""
        for opening in self._openings.overdue(now - OPENING_SECONDS):
            silent = opening.tried[-1]
            self._directory.note_unanswered(silent, now)
            self._log.flow('opening_timeout', opening.packet.flow, agent=silent)
            self._place(opening)

    def _place_waiting(self) -> None:
        """Place the flows that wait, while upstreams have room."""
        full = set()
        for opening in self._openings.waiting():
            service = self._state.fleet.service_of(opening.packet.flow)
            if service in full and not self._is_overdue(opening):
                continue
            self._place(opening)
            if self._openings.is_waiting(opening.packet.flow):
                full.add(service)

    def _note_opened(self, flow: FlowKey, agent: str) -> None:
        opening = self._openings.get(flow)
        self._openings.remove(flow)
        self._cache.put(flow, agent)
        if opening is not None:
            waited = self._clock.monotonic() - opening.started_at
            self._metrics.opening.note(waited)
            tried = len(opening.tried)
            self._log.flow('opened', flow, agent=agent, tried=tried)

    def _note_held(self, flow: FlowKey, agent: str) -> None:
        search = self._lookup.note_held(flow)
        self._cache.put(flow, agent)
        if search is not None:
            waited = self._clock.monotonic() - search.began
            self._metrics.search.note(waited)
            self._log.flow('found', flow, agent=agent)

    def _open_flow(self, packet: Packet) -> None:
        agent = self._cache.get(packet.flow)
        if agent is not None and not self._choice.is_silent(agent):
            self._forward(packet, agent, ForwardPurpose.NEW_FLOW)
            return
        opening = self._openings.get(packet.flow)
        if opening is None:
            now = self._clock.monotonic()
            self._place(self._openings.add(packet, now))
        elif not self._openings.is_waiting(packet.flow):
            self._forward(packet, opening.tried[-1], ForwardPurpose.NEW_FLOW)

    def _place(self, opening: PendingFlow) -> None:
        packet = opening.packet
        service = self._state.fleet.service_of(packet.flow)
        if service is None:
            self._openings.remove(packet.flow)
            self._refuse_unrouted(packet)
            return
        found = self._choice.choose(service, opening.tried)
        if found is None:
            self._wait(opening)
            return
        now = self._clock.monotonic()
        self._openings.record_attempt(opening, found.agent, now)
        self._directory.add_load(found.agent, now)
        self._forward(packet, found.agent, ForwardPurpose.NEW_FLOW)

    def _wait(self, opening: PendingFlow) -> None:
        """Let a new flow wait for room, unless it has waited too long."""
        if not self._is_overdue(opening):
            self._openings.mark_waiting(opening)
            return
        flow = opening.packet.flow
        self._openings.remove(flow)
        self._reset(flow, opening.packet.acknowledged, 'no upstream with room')

    def _is_overdue(self, opening: PendingFlow) -> bool:
        """Return whether a flow has waited for too long to be served."""
        route = self._state.fleet.routes.get(route_of(opening.packet.flow))
        patience = route.timeout * WAIT_SHARE if route else 0
        patience = min(patience, MAX_WAIT_SECONDS)
        return self._clock.monotonic() - opening.started_at >= patience

    def _place_again(self, flow: FlowKey, agent: str) -> None:
        opening = self._openings.get(flow)
        if opening is None:
            self._cache.forget(flow)
        elif opening.tried and opening.tried[-1] == agent:
            self._place(opening)

    def _carry(self, packet: Packet) -> None:
        agent = self._cache.get(packet.flow)
        if agent is not None:
            self._forward(packet, agent, ForwardPurpose.KNOWN_FLOW)
        elif route_of(packet.flow) in self._state.fleet.routes:
            self._lookup.find(packet)
        else:
            self._refuse_unrouted(packet)

    def _note_not_held(self, reply: ForwardReply, agent: str) -> None:
        packet = self._packets.from_caller(reply.raw)
        if packet is not None:
            # The agent was to carry the packet: the cache was wrong.
            self._cache.forget(reply.flow)
            self._lookup.find(packet, denied_by=(agent,))
        else:
            self._lookup.note_not_held(reply.flow, agent)

    def _reset_unheld(self, packet: Packet) -> None:
        self._reset(packet.flow, packet.acknowledged, UNHELD)

    def _refuse_unrouted(self, packet: Packet) -> None:
        if self._state.is_fresh:
            self._reset(packet.flow, packet.acknowledged, 'no route')
        else:
            self._events['unrouted_in_doubt'] += 1

    def _reset(self, flow: FlowKey, sequence: int, reason: str) -> None:
        self._log.flow(
            'reset',
            flow,
            reason=reason,
            revision=self._state.revision,
            view_age=round(self._state.age, 2),
        )
        if self._to_caller is not None:
            address = (caller_of(flow), self._settings.packet_port)
            self._to_caller(self._packets.reset(flow, sequence), address)

    def _forward(
        self, packet: Packet, agent: str, purpose: ForwardPurpose
    ) -> None:
        service = self._state.fleet.service_of(packet.flow) or ''
        if self._to_peer is not None:
            message = Forward(purpose, service_tag(service), packet.raw)
            address = (agent, self._settings.peer_port)
            self._to_peer(encode(message), address)

    def _inquire(self, question: Question) -> None:
        if self._to_peer is None:
            return
        tag = service_tag(question.service)
        address = (question.agent, self._settings.peer_port)
        for flows in batch_flows(question.flows):
            self._to_peer(encode(FlowQuery(tag, flows)), address)
