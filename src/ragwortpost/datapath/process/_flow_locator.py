"""An entry's lookups: which agent holds a flow that the entry does not know."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection import (
    DIRECT_QUERY_LIMIT,
    FlowKey,
    FlowLookup,
    FlowLookups,
    OutgoingQuery,
    Packet,
    QueryBatcher,
    agents_to_query,
)
from ragwortpost.datapath.process._messages import (
    FlowQueryReply,
    ForwardPurpose,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector

# Seconds for registrars to name a flow's holder before all agents are asked.
REGISTRAR_TIMEOUT_SECONDS: Final = 0.04
# Seconds after which a lookup is reported whose agents leave it open: far above
# a round trip, and below what a caller waits.
STALLED_SECONDS: Final = 0.3
# Silent agents named in such a report.
MAX_LOGGED_AGENTS: Final = 5


@dataclass(frozen=True)
class FlowLocatorPorts:
    """What lookups reach agents and callers through."""

    # Sends a caller's packet to an agent.
    forward: Callable[[Packet, str, ForwardPurpose], None]
    # Asks an agent about flows.
    send_query: Callable[[OutgoingQuery], None]
    # Tells the caller of a packet that nobody holds its flow.
    on_not_found: Callable[[Packet], None]


class FlowLocator:
    """The searches of one entry."""

    def __init__(
        self,
        context: NodeContext,
        selector: UpstreamSelector,
        ports: FlowLocatorPorts,
    ) -> None:
        """Prepare; nothing is asked before the first packet."""
        self._clock = context.clock
        self._state = context.state
        self._log = context.log
        self._events = context.metrics.events
        self._selector = selector
        self._ports = ports
        self._lookups = FlowLookups()
        self._query_batcher = QueryBatcher()

    def __len__(self) -> int:
        """Return the number of flows looked for."""
        return len(self._lookups)

    def locate(self, packet: Packet, *, denied_by: Iterable[str] = ()) -> None:
        """Look for the holder of a packet's flow; it gets the packet."""
        self._events['searched'] += 1
        lookup = self._lookups.start(packet, self._clock.monotonic())
        lookup.denied.update(denied_by)
        self._query(lookup)
        self._send_queries()

    def on_held(self, flow: FlowKey) -> FlowLookup | None:
        """End the lookup for a flow whose holder has answered."""
        return self._lookups.remove(flow)

    def on_not_held(self, flow: FlowKey, agent: str) -> None:
        """Take in that an agent does not hold a flow."""
        self._record_denial(flow, agent)
        self._send_queries()

    def receive_query_reply(self, answer: FlowQueryReply, agent: str) -> None:
        """Take in what an agent says of the flows it was asked about."""
        for flow in answer.possibly_held:
            lookup = self._lookups.get(flow)
            if lookup is not None:
                self._ports.forward(lookup.packet, agent, ForwardPurpose.LOOKUP)
        for denied in answer.denied:
            self._record_denial(denied, agent)
        self._send_queries()

    def tick(self) -> None:
        """Ask all agents where registrars were silent; forget old lookups."""
        now = self._clock.monotonic()
        for lookup in self._lookups.overdue(now - REGISTRAR_TIMEOUT_SECONDS):
            lookup.queries_all = True
            self._query(lookup)
        self._send_queries()
        for stalled in self._lookups.stalled(now - STALLED_SECONDS):
            self._log_stalled(stalled)
        self._lookups.expire(now)

    def _log_stalled(self, lookup: FlowLookup) -> None:
        unresponsive = sorted(lookup.queried - lookup.denied)
        self._log.write_flow(
            'search_stalled',
            lookup.packet.flow,
            agents=unresponsive[:MAX_LOGGED_AGENTS],
            silent=len(unresponsive),
            denied=len(lookup.denied),
            revision=self._state.revision,
        )

    def _record_denial(self, flow: FlowKey, agent: str) -> None:
        lookup = self._lookups.get(flow)
        if lookup is None:
            return
        lookup.denied.add(agent)
        if lookup.queried <= lookup.denied:
            self._query(lookup)

    def _query(self, lookup: FlowLookup) -> None:
        """Ask the agents that may hold a flow and were not asked yet."""
        flow = lookup.packet.flow
        service = self._state.fleet.service_of(flow)
        if service is None:
            return
        holders = self._selector.possible_holders(service)
        left = agents_to_query(
            lookup,
            self._selector.registrars(service, flow),
            holders,
            self._selector.other_service_holders(service),
        )
        if holders and not left:
            self._lookups.remove(flow)
            self._ports.on_not_found(lookup.packet)
        asked = [agent for agent in left if agent not in lookup.queried]
        lookup.queried.update(asked)
        for agent in asked:
            if not lookup.queries_all:
                self._ports.forward(
                    lookup.packet, agent, ForwardPurpose.RELAYABLE_LOOKUP
                )
            elif len(asked) <= DIRECT_QUERY_LIMIT:
                self._ports.forward(lookup.packet, agent, ForwardPurpose.LOOKUP)
            else:
                self._query_batcher.add(agent, service, flow)

    def _send_queries(self) -> None:
        for query in self._query_batcher.pop_due(self._clock.monotonic()):
            self._ports.send_query(query)
