"""Lookups of the agents that hold flows which are not in an entry's cache.

Of few agents, all are queried at once with the packet itself. Of many, a flow's
registrars are queried with the packet, and then inventories of all agents are
requested, which answer for all lookups together.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Final

from ragwortpost.datapath.connection import (
    DIRECT_QUERY_LIMIT,
    FlowKey,
    FlowLookup,
    FlowLookups,
    OutgoingQuery,
    Packet,
    QueryBatcher,
    RouteKey,
    UnansweredQueries,
    agents_to_query,
    agents_without_view,
    route_key_of,
)
from ragwortpost.datapath.process._inventory_searches import (
    InventoryRequest,
    InventorySearches,
    SearchPorts,
)
from ragwortpost.datapath.process._messages import (
    FlowQueryReply,
    ForwardPurpose,
    Inventory,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._possible_holders import HolderDirectory
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector
from ragwortpost.datapath.version import Route

# Time for registrars to relay a packet to its flow's holder, before all agents
# are queried.
REGISTRAR_TIMEOUT_SECONDS: Final = 0.04
# A lookup without an outcome after this time is logged as stalled. Far above a
# round trip, and below the time that a caller waits.
STALLED_SECONDS: Final = 0.3
# Maximum unresponsive agents listed in the log line of a stalled lookup.
MAX_LOGGED_AGENTS: Final = 5
# Maximum stalled lookups that one tick reports; later ticks report the others.
MAX_STALLED_PER_TICK: Final = 20


@dataclass(frozen=True)
class FlowLocatorPorts:
    """Callbacks through which lookups reach agents and callers."""

    # Forwards a caller's packet to an agent.
    forward: Callable[[Packet, str, ForwardPurpose], None]
    # Queries an agent for one or more flows, or for all that it holds.
    send_query: Callable[[OutgoingQuery | InventoryRequest], None]
    # Handles a packet whose flow no upstream holds.
    on_not_found: Callable[[Packet], None]
    # Handles a packet whose route the configuration no longer has.
    on_unrouted: Callable[[Packet], None]


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
        self._directory = context.directory
        self._log = context.log
        self._events = context.metrics.events
        self._holders = HolderDirectory(context, selector)
        self._ports = ports
        self._lookups = FlowLookups()
        # The routes for which lookups were last checked.
        self._routes: Mapping[RouteKey, Route] = {}
        self._query_batcher = QueryBatcher()
        self._unanswered = UnansweredQueries()
        self._searches = InventorySearches(
            context,
            self._holders,
            SearchPorts(ports.send_query, self._name_flow),
        )

    def __len__(self) -> int:
        """Return the number of lookups in progress."""
        return len(self._lookups)

    def locate(self, packet: Packet, *, denied_by: Iterable[str] = ()) -> None:
        """Look up the holder of a packet's flow; forward the packet to it."""
        self._events['searched'] += 1
        previous = self._lookups.get(packet.flow)
        if previous is not None:
            # All agents that have not denied the flow are queried again.
            self._discard_queries(previous)
            self._searches.remove(previous)
        lookup = self._lookups.start(packet, self._clock.monotonic())
        lookup.denied.update(denied_by)
        self._query(lookup)
        self._send_queries()

    def on_held(self, flow: FlowKey) -> FlowLookup | None:
        """End the lookup of a flow whose holder has replied."""
        return self._end(flow)

    def on_not_held(self, flow: FlowKey, agent: str) -> None:
        """Record that an agent does not hold a flow."""
        self._record_denial(flow, agent)
        self._send_queries()

    def receive_query_reply(
        self, reply: FlowQueryReply | Inventory, agent: str
    ) -> None:
        """Forward packets of flows that the agent may hold; record denials."""
        if isinstance(reply, Inventory):
            for listed in self._searches.receive(reply, agent):
                self._forward_listed(listed, agent)
            return
        for flow in reply.possibly_held:
            self._unanswered.remove(agent, flow)
            lookup = self._lookups.get(flow)
            if lookup is not None:
                self._ports.forward(lookup.packet, agent, ForwardPurpose.LOOKUP)
        for denied in reply.denied:
            self._record_denial(denied, agent)
        self._send_queries()

    def tick(self) -> None:
        """Repeat lost queries, widen overdue lookups, remove expired ones."""
        now = self._clock.monotonic()
        self._holders.refresh()
        self._end_unrouted()
        self._repeat_lost_queries()
        for lookup in self._lookups.overdue(now - REGISTRAR_TIMEOUT_SECONDS):
            lookup.queries_all = True
            self._query(lookup)
        self._searches.run_rounds()
        self._send_queries()
        for denied in self._searches.pop_denied():
            self._end(denied.packet.flow)
            self._ports.on_not_found(denied.packet)
        stalled = self._lookups.stalled(now - STALLED_SECONDS)
        for reported in islice(stalled, MAX_STALLED_PER_TICK):
            self._log_stalled(reported)
        for expired in self._lookups.expire(now):
            self._discard_queries(expired)
            self._searches.remove(expired)

    def _end_unrouted(self) -> None:
        """End the lookups whose routes a new configuration dropped."""
        fleet = self._state.fleet
        if fleet.configuration is None or fleet.routes is self._routes:
            return
        self._routes = fleet.routes
        for lookup in self._lookups:
            if route_key_of(lookup.packet.flow) not in fleet.routes:
                self._end(lookup.packet.flow)
                self._ports.on_unrouted(lookup.packet)

    def _end(self, flow: FlowKey) -> FlowLookup | None:
        lookup = self._lookups.remove(flow)
        if lookup is not None:
            self._discard_queries(lookup)
            self._searches.remove(lookup)
        return lookup

    def _discard_queries(self, lookup: FlowLookup) -> None:
        for agent in lookup.queried - lookup.denied:
            self._unanswered.remove(agent, lookup.packet.flow)

    def _repeat_lost_queries(self) -> None:
        """Query agents again that sent a message but not the awaited reply."""
        for agent in self._unanswered.agents:
            peer = self._directory.peers.get(agent)
            if peer is None:
                continue
            received_at = peer.last_received_at
            for flow in self._unanswered.pop_lost(agent, received_at):
                lookup = self._lookups.get(flow)
                if lookup is not None:
                    # Not a third time before the caller's next packet: after a
                    # mass restart, replies are late and not lost.
                    self._repeat_query(lookup, agent)

    def _repeat_query(self, lookup: FlowLookup, agent: str) -> None:
        if not lookup.service:
            lookup.queried.discard(agent)
            self._query(lookup, repeatable=False)
        elif self._searches.names_flows(lookup, agent):
            flow = lookup.packet.flow
            self._query_batcher.add(agent, lookup.service, flow)
        else:
            self._ports.forward(lookup.packet, agent, ForwardPurpose.LOOKUP)

    def _log_stalled(self, lookup: FlowLookup) -> None:
        if lookup.service:
            unresponsive = sorted(self._searches.missing(lookup))
        else:
            unresponsive = sorted(lookup.queried - lookup.denied)
        self._log.write_flow(
            'search_stalled',
            lookup.packet.flow,
            agents=unresponsive[:MAX_LOGGED_AGENTS],
            silent=len(unresponsive),
            denied=len(lookup.denied),
            era=self._state.era,
            revision=self._state.revision,
        )

    def _record_denial(self, flow: FlowKey, agent: str) -> None:
        self._unanswered.remove(agent, flow)
        lookup = self._lookups.get(flow)
        if lookup is None:
            return
        if lookup.service:
            # The next tick decides whether all agents have denied the flow.
            self._searches.record_denial(lookup, agent)
            return
        lookup.denied.add(agent)
        if lookup.queried <= lookup.denied:
            self._query(lookup)

    def _query(self, lookup: FlowLookup, *, repeatable: bool = True) -> None:
        """Query the agents that may hold a flow and were not queried yet.

        Reports the flow as not found once all agents that may hold it have
        denied it.
        """
        service = self._state.fleet.service_of(lookup.packet.flow)
        if service is not None:
            self._query_service(lookup, service, repeatable=repeatable)
        elif self._state.fleet.configuration is None:
            self._query_without_view(lookup)

    def _query_service(
        self, lookup: FlowLookup, service: str, *, repeatable: bool
    ) -> None:
        flow = lookup.packet.flow
        holders = self._holders.possible_holders(service)
        registrars = self._holders.registrars(service, flow)
        if len(holders.own) > DIRECT_QUERY_LIMIT:
            lookup.queries_all |= lookup.denied.issuperset(registrars)
            if lookup.queries_all:
                self._request_inventories(lookup, service)
                return
        remaining = agents_to_query(
            lookup, registrars, holders.own, holders.others
        )
        if lookup.queries_all and len(remaining) > DIRECT_QUERY_LIMIT:
            self._request_inventories(lookup, service)
            return
        if holders.own and not remaining:
            self._end(flow)
            self._ports.on_not_found(lookup.packet)
        for agent in remaining:
            if agent not in lookup.queried:
                self._query_directly(lookup, agent, repeatable=repeatable)

    def _query_without_view(self, lookup: FlowLookup) -> None:
        """Query agents whose services are known to serve the flow's route.

        The flow is never reported as not found: agents may be unknown.
        """
        now = self._clock.monotonic()
        local, remote = self._holders.holders_without_view(lookup.packet.flow)
        for agent in agents_without_view(lookup, local, remote, now):
            if agent not in lookup.queried:
                # The caller's next packet repeats what was lost. Earlier
                # repetitions would only add to the load after a mass restart.
                self._query_directly(lookup, agent, repeatable=False)

    def _query_directly(
        self, lookup: FlowLookup, agent: str, *, repeatable: bool
    ) -> None:
        """Query an agent with the packet itself."""
        lookup.queried.add(agent)
        if repeatable:
            now = self._clock.monotonic()
            self._unanswered.add(agent, lookup.packet.flow, now)
        purpose = ForwardPurpose.LOOKUP
        if not lookup.queries_all:
            purpose = ForwardPurpose.RELAYABLE_LOOKUP
        self._ports.forward(lookup.packet, agent, purpose)

    def _request_inventories(self, lookup: FlowLookup, service: str) -> None:
        """Let the inventories of all agents answer a lookup."""
        # An agent that registrars relay the packet to gets it again if its
        # inventory lists the flow: their relayed packet may be lost.
        self._discard_queries(lookup)
        lookup.queried.clear()
        previous_listers = lookup.listed_by - lookup.denied
        self._searches.add(lookup, service)
        for agent in previous_listers:
            if lookup.service:
                self._forward_listed(lookup, agent)

    def _forward_listed(self, lookup: FlowLookup, agent: str) -> None:
        """Forward a packet to an agent that listed the hash of its flow."""
        lookup.listed_by.add(agent)
        if agent not in lookup.queried:
            self._searches.withdraw_denial(lookup, agent)
            self._query_directly(lookup, agent, repeatable=True)

    def _name_flow(self, agent: str, lookup: FlowLookup) -> None:
        """Query an agent whose inventory denies nothing for a flow."""
        flow = lookup.packet.flow
        lookup.queried.add(agent)
        self._unanswered.add(agent, flow, self._clock.monotonic())
        self._query_batcher.add(agent, lookup.service, flow)

    def _send_queries(self) -> None:
        for query in self._query_batcher.pop_due(self._clock.monotonic()):
            self._ports.send_query(query)
