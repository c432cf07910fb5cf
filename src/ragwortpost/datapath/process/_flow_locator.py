"""Lookups of the agents that hold flows which are not in an entry's cache."""

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

# Time for registrars to relay a packet to its flow's holder, before all agents
# are queried.
REGISTRAR_TIMEOUT_SECONDS: Final = 0.04
# A lookup without an outcome after this time is logged as stalled. Far above a
# round trip, and below the time that a caller waits.
STALLED_SECONDS: Final = 0.3
# Maximum unresponsive agents listed in the log line of a stalled lookup.
MAX_LOGGED_AGENTS: Final = 5


@dataclass(frozen=True)
class FlowLocatorPorts:
    """Callbacks through which lookups reach agents and callers."""

    # Forwards a caller's packet to an agent.
    forward: Callable[[Packet, str, ForwardPurpose], None]
    # Sends an agent a query about one or more flows.
    send_query: Callable[[OutgoingQuery], None]
    # Handles a packet whose flow no upstream holds.
    on_not_found: Callable[[Packet], None]


class FlowLocator:
    """Runs the flow lookups of one entry."""

    def __init__(
        self,
        context: NodeContext,
        selector: UpstreamSelector,
        ports: FlowLocatorPorts,
    ) -> None:
        """Initialize with the context, the selector and the callbacks."""
        self._clock = context.clock
        self._state = context.state
        self._log = context.log
        self._events = context.metrics.events
        self._selector = selector
        self._ports = ports
        self._lookups = FlowLookups()
        self._query_batcher = QueryBatcher()

    def __len__(self) -> int:
        """Return the number of lookups in progress."""
        return len(self._lookups)

    def locate(self, packet: Packet, *, denied_by: Iterable[str] = ()) -> None:
        """Look up the holder of a packet's flow; forward the packet to it."""
        self._events['searched'] += 1
        lookup = self._lookups.start(packet, self._clock.monotonic())
        lookup.denied.update(denied_by)
        self._query(lookup)
        self._send_queries()

    def on_held(self, flow: FlowKey) -> FlowLookup | None:
        """End the lookup of a flow whose holder has replied."""
        return self._lookups.remove(flow)

    def on_not_held(self, flow: FlowKey, agent: str) -> None:
        """Record that an agent does not hold a flow."""
        self._record_denial(flow, agent)
        self._send_queries()

    def receive_query_reply(self, reply: FlowQueryReply, agent: str) -> None:
        """Forward packets of flows that the agent may hold; record denials."""
        for flow in reply.possibly_held:
            lookup = self._lookups.get(flow)
            if lookup is not None:
                self._ports.forward(lookup.packet, agent, ForwardPurpose.LOOKUP)
        for denied in reply.denied:
            self._record_denial(denied, agent)
        self._send_queries()

    def tick(self) -> None:
        """Widen overdue lookups to all agents and remove expired ones."""
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
        """Query the agents that may hold a flow and were not queried yet.

        Reports the flow as not found once all agents that may hold it have
        denied it.
        """
        flow = lookup.packet.flow
        service = self._state.fleet.service_of(flow)
        if service is None:
            return
        holders = self._selector.possible_holders(service)
        remaining = agents_to_query(
            lookup,
            self._selector.registrars(service, flow),
            holders,
            self._selector.other_service_holders(service),
        )
        if holders and not remaining:
            self._lookups.remove(flow)
            self._ports.on_not_found(lookup.packet)
        targets = [agent for agent in remaining if agent not in lookup.queried]
        lookup.queried.update(targets)
        for agent in targets:
            if not lookup.queries_all:
                self._ports.forward(
                    lookup.packet, agent, ForwardPurpose.RELAYABLE_LOOKUP
                )
            elif len(targets) <= DIRECT_QUERY_LIMIT:
                self._ports.forward(lookup.packet, agent, ForwardPurpose.LOOKUP)
            else:
                self._query_batcher.add(agent, service, flow)

    def _send_queries(self) -> None:
        for query in self._query_batcher.pop_due(self._clock.monotonic()):
            self._ports.send_query(query)
