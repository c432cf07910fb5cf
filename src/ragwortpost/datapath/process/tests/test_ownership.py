"""Stateful property test of flow ownership.

Random sequences of agent restarts, agent outages, rerouted packets and changes
of the services that the route leads to check that a held flow is never reset
and that its packets reach no other upstream (except once after each restart of
that upstream's agent, which then has lost the state of its flows). While all
agents respond, the next packet of a flow reaches its holder, and a new flow
reaches only upstreams of a service that the route leads to. Flows whose route
was dropped reach no upstream whose agent has lost its state.
"""

from dataclasses import replace
from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ragwortpost.datapath.connection import FlowKey
from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version import ServiceShare
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    ROUTE,
    configuration_record,
    upstream,
)

MANY_AGENTS: Final = 11
FLOW_COUNT: Final = 5
TICK_SECONDS: Final = 0.05
# The agents of another service are asked once all of the route's service have
# denied the flow.
MOVED_LOOKUP_TICKS: Final = 4
SERVICES: Final = ('desk', 'layout', 'archive')


def has_open_flows(machine: 'OwnershipMachine') -> bool:
    return bool(machine.holders)


def has_several_open_flows(machine: 'OwnershipMachine') -> bool:
    return len(machine.holders) > 1


class OwnershipMachine(RuleBasedStateMachine):
    """Random sequence of events in a fleet."""

    def __init__(self) -> None:
        """Initialize without flows; :meth:`begin` builds the fleet."""
        super().__init__()
        self.network = Network(upstream(1))
        self.holders: dict[FlowKey, str] = {}
        self.restarts: dict[str, int] = {}
        self.entries = 1
        # Changes of the route; flows of a dropped route are not used again.
        self.routings = 0
        self.first_flow = 0

    @initialize(
        sizes=st.lists(
            st.sampled_from([1, 3, MANY_AGENTS]), min_size=2, max_size=3
        )
    )
    def begin(self, sizes: list[int]) -> None:
        """Build a fleet; services of many agents have registrars."""
        numbers = iter(range(1, sum(sizes) + 1))
        self.services = SERVICES[: len(sizes)]
        self.network = Network(
            *(
                upstream(next(numbers), service=service)
                for service, size in zip(self.services, sizes, strict=True)
                for _ in range(size)
            )
        )
        self.hosts = [document.host for document in self.network.documents]

    @rule(number=st.integers(0, FLOW_COUNT - 1))
    def open_flow(self, number: int) -> None:
        """Open a flow that is not open yet, if all agents are reachable."""
        flow = flow_key(self.first_flow + number)
        if flow in self.holders or self.network.unreachable:
            return
        self.network.send_packet(opening_packet(flow))
        holder = self.network.holder(flow)
        assert self.network.upstreams_reached(flow) == [holder]
        fleet = self.network.contexts[ENTRY].state.fleet
        assert fleet.upstreams_by_host[holder].service == fleet.service_of(flow)
        self.holders[flow] = holder
        self.send(flow, ENTRY)

    @precondition(has_open_flows)
    @rule(data=st.data())
    def send_on_flow(self, data: st.DataObject) -> None:
        """Send a packet of an open flow through any entry."""
        flow = self.draw_open_flow(data)
        entry = data.draw(st.sampled_from(sorted(self.network.entry_nodes)))
        holder = self.network.upstreams[self.holders[flow]]
        received_before = len(holder.received)
        self.send(flow, entry)
        if not self.network.unreachable:
            for _ in range(self.lookup_ticks(flow)):
                self.network.advance(TICK_SECONDS)
            assert len(holder.received) > received_before

    @rule(data=st.data())
    def route_to_services(self, data: st.DataObject) -> None:
        """Let the route lead to one or more services."""
        self.publish_shares(
            data.draw(
                st.lists(
                    st.sampled_from(self.services), min_size=1, unique=True
                )
            )
        )

    @precondition(has_several_open_flows)
    @rule(data=st.data())
    def drop_route(self, data: st.DataObject) -> None:
        """Drop the route, restart agents, use the flows; add it again."""
        self.publish_shares([])
        self.network.advance(0.1)
        self.network.to_callers.clear()
        hosts = st.lists(st.sampled_from(self.hosts), unique=True)
        restarted = set(data.draw(hosts))
        for host in restarted:
            self.restart(host)
        received = {
            host: len(self.network.upstreams[host].received)
            for host in restarted
        }
        for flow in self.holders:
            for entry in self.network.entry_nodes:
                self.send(flow, entry)
        self.network.advance(0.1)
        for host in restarted:
            fake = self.network.upstreams[host]
            assert len(fake.received) == received[host]
        self.first_flow += FLOW_COUNT
        self.holders.clear()
        self.publish_shares([self.services[0]])

    @rule()
    def route_through_new_entry(self) -> None:
        """Add an entry with an empty cache."""
        if self.entries < 4:
            self.entries += 1
            self.network.add_entry(f'10.0.1.{self.entries}')

    @rule(data=st.data())
    def restart_agent(self, data: st.DataObject) -> None:
        """Restart an agent, which loses its state."""
        self.restart(data.draw(st.sampled_from(self.hosts)))

    @precondition(has_open_flows)
    @rule(data=st.data())
    def restart_agent_of_holder(self, data: st.DataObject) -> None:
        """Restart the agent of a flow's holder."""
        self.restart(self.holders[self.draw_open_flow(data)])

    @rule(data=st.data())
    def disconnect_agent(self, data: st.DataObject) -> None:
        """Make one agent unreachable."""
        self.network.unreachable.add(data.draw(st.sampled_from(self.hosts)))

    @rule()
    def reconnect_agents(self) -> None:
        """Make all agents reachable and deliver their digests."""
        self.network.unreachable.clear()
        self.network.advance(1.0)

    @rule(seconds=st.sampled_from([0.05, 0.4, 2.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.network.advance(seconds)

    @invariant()
    def no_held_flow_is_reset(self) -> None:
        """Check that no held flow is reset: its holder never denies it."""
        reset = {packet.flow for packet in self.network.resets}
        assert not reset & set(self.holders)

    @invariant()
    def other_upstreams_get_a_packet_at_most_once(self) -> None:
        """Check that others get at most one packet for each agent restart."""
        for flow, holder in self.holders.items():
            for host, other in self.network.upstreams.items():
                if host == holder:
                    continue
                received = sum(packet.flow == flow for packet in other.received)
                assert received <= self.restarts.get(host, 0)

    def lookup_ticks(self, flow: FlowKey) -> int:
        """Return the number of ticks in which a flow's holder is found."""
        fleet = self.network.contexts[ENTRY].state.fleet
        service = fleet.upstreams_by_host[self.holders[flow]].service
        return 1 if service == fleet.service_of(flow) else MOVED_LOOKUP_TICKS

    def draw_open_flow(self, data: st.DataObject) -> FlowKey:
        """Return one of the open flows."""
        return data.draw(st.sampled_from(sorted(self.holders)))

    def restart(self, host: str) -> None:
        """Restart an agent beside its running upstream."""
        document = self.network.documents[self.hosts.index(host)]
        self.restarts[host] = self.restarts.get(host, 0) + 1
        self.network.start_agent(document, restarted=True)

    def publish_shares(self, services: list[str]) -> None:
        """Let the route lead to services, or drop it if there are none."""
        self.routings += 1
        shares = tuple(ServiceShare(service, 1.0) for service in services)
        routes = (replace(ROUTE, shares=shares),) if shares else ()
        version = CONFIGURATION.version + self.routings
        changed = replace(CONFIGURATION, version=version, routes=routes)
        self.network.publish(configuration_record(0, changed))

    def send(self, flow: FlowKey, entry: str) -> None:
        """Send a caller's packet of an open flow through an entry."""
        first = self.network.upstreams[self.holders[flow]].flows[flow]
        packet = make_packet(flow, length=20, acknowledged=first + 1)
        self.network.send_packet(packet, entry)


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(max_examples=60, stateful_step_count=30)
