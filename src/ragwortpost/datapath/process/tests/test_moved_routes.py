"""Tests of open flows after their routes lead to other services.

Guards against resets of open flows that upstreams hold when agents have
restarted and configurations have moved the flows' routes, in any order, and
against new flows at upstreams of services that their routes don't lead to.
"""

from collections.abc import Callable
from dataclasses import replace
from itertools import permutations

import pytest

from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process._messages import (
    NO_ROUTE,
    FlowQuery,
    Forward,
    ForwardPurpose,
    InventoryQuery,
    service_tag,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version import ServiceShare, UpstreamEntry
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    ROUTE,
    configuration_record,
    upstream,
)

FLOW = flow_key()
SECOND_ENTRY = '10.0.1.2'
# Numbers of upstreams of the services "desk" and "layout". Above eight, agents
# are queried by inventories; without any, the new service has no agent to ask.
FLEETS = ((3, 2), (11, 2), (3, 11), (11, 11), (3, 0), (11, 0))
# Longer than a lookup that has to ask all agents by name.
LOOKUP_TICKS = 20


def make_network(desks: int, layouts: int) -> Network:
    first_layout = desks + 1
    return Network(
        *(upstream(number) for number in range(1, first_layout)),
        *(
            upstream(number, service='layout')
            for number in range(first_layout, first_layout + layouts)
        ),
        upstream(90, service='archive'),
    )


def move_route(network: Network, *services: str) -> None:
    """Let the route of the flows lead to services, in equal shares."""
    shares = tuple(ServiceShare(service, 1.0) for service in services)
    routes = (replace(ROUTE, shares=shares),) if shares else ()
    changed = replace(
        CONFIGURATION, version=10 + network.revision, routes=routes
    )
    network.publish(configuration_record(0, changed))


def restart_agents(network: Network, *services: str) -> None:
    """Restart agents beside their running upstreams."""
    for document in network.documents:
        if document.service in services:
            network.start_agent(document, restarted=True)
    network.deliver_digests()


def run_ticks(network: Network) -> None:
    for _ in range(LOOKUP_TICKS):
        network.advance(0.02)


def open_flow(network: Network) -> str:
    """Open the flow, use it, and return the upstream's host."""
    network.send_packet(opening_packet(FLOW))
    holder = network.holder(FLOW)
    network.send_request(FLOW, holder)
    network.advance(0.5)
    return holder


def requests_at(network: Network, host: str) -> int:
    received = network.upstreams[host].received
    return sum(packet.length > 0 for packet in received)


def document_of(network: Network, host: str) -> UpstreamEntry:
    return next(one for one in network.documents if one.host == host)


@pytest.mark.parametrize('fleet', FLEETS)
class TestOpenFlows:
    """An upstream decides whether it holds a flow, not the configuration."""

    @pytest.mark.parametrize('entry', [ENTRY, SECOND_ENTRY])
    @pytest.mark.parametrize(
        'steps', tuple(permutations(('restart', 'move', 'move back', 'split')))
    )
    def test_flow_is_not_reset_after_restarts_between_moves_of_its_route(
        self, fleet: tuple[int, int], entry: str, steps: tuple[str, ...]
    ) -> None:
        network = make_network(*fleet)
        holder = open_flow(network)
        for step in steps:
            match step:
                case 'restart':
                    restart_agents(network, 'desk')
                case 'move':
                    move_route(network, 'layout')
                case 'move back':
                    move_route(network, 'desk')
                case 'split':
                    move_route(network, 'layout', 'archive')
            if entry == SECOND_ENTRY:
                network.add_entry(entry)
            before = requests_at(network, holder)
            network.send_request(FLOW, holder, entry)
            run_ticks(network)
            assert not network.resets, step
            assert requests_at(network, holder) > before, step

    def test_flow_is_not_reset_after_all_agents_have_restarted(
        self, fleet: tuple[int, int]
    ) -> None:
        network = make_network(*fleet)
        holder = open_flow(network)
        move_route(network, 'layout')
        restart_agents(network, 'desk', 'layout', 'archive')
        move_route(network, 'archive')
        network.add_entry(SECOND_ENTRY)
        before = requests_at(network, holder)
        network.send_request(FLOW, holder, SECOND_ENTRY)
        run_ticks(network)
        assert not network.resets
        assert requests_at(network, holder) > before

    def test_flow_that_nobody_holds_is_reset_after_all_have_denied_it(
        self, fleet: tuple[int, int]
    ) -> None:
        network = make_network(*fleet)
        holder = open_flow(network)
        network.upstreams[holder].flows.clear()
        move_route(network, 'archive')
        restart_agents(network, 'desk', 'layout', 'archive')
        for fake in network.upstreams.values():
            fake.received.clear()
        # The agent that the entry has cached learns from the first packet that
        # its upstream does not hold the flow.
        for _ in range(2):
            network.send_request(FLOW, holder)
            run_ticks(network)
        assert len(network.resets) == 1
        for fake in network.upstreams.values():
            assert len(fake.received) == 1


class TestQueries:
    """Agents answer all kinds of queries by what their upstreams hold."""

    @pytest.mark.parametrize('service', ['desk', 'layout'])
    def test_no_query_is_denied_by_its_service(self, service: str) -> None:
        network = Network()
        holder = open_flow(network)
        restart_agents(network, 'desk')
        agent = network.agents[holder]
        network.sent.clear()
        tag = service_tag(service)
        denials = network.contexts[holder].metrics.events
        agent.receive_query(FlowQuery(tag, (FLOW,)), ENTRY)
        agent.receive_query(InventoryQuery(tag, 1), ENTRY)
        agent.receive_query(FlowQuery(tag, (FLOW,)), ENTRY)
        assert not denials['not_held']
        for purpose in (
            ForwardPurpose.KNOWN_FLOW,
            ForwardPurpose.LOOKUP,
            ForwardPurpose.RELAYABLE_LOOKUP,
        ):
            restart_agents(network, 'desk')
            before = requests_at(network, holder)
            packet = make_packet(FLOW, length=20)
            forward = Forward(purpose, tag, packet.raw)
            network.agents[holder].receive_forward(forward, ENTRY)
            assert requests_at(network, holder) == before + 1
        assert not denials['not_held']


class TestEarlierBuilds:
    """Agents of earlier builds deny unknown flows with another tag."""

    @pytest.mark.parametrize('fleet', FLEETS)
    def test_lookups_are_tagged_with_the_service_of_the_agent(
        self, fleet: tuple[int, int], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        network = make_network(*fleet)
        holder = open_flow(network)
        move_route(network, 'archive')
        restart_agents(network, 'desk', 'layout', 'archive')
        for document in network.documents:
            self.check_tags(monkeypatch, network, document)
        network.add_entry(SECOND_ENTRY)
        before = requests_at(network, holder)
        for entry in (ENTRY, SECOND_ENTRY):
            network.send_request(FLOW, holder, entry)
            run_ticks(network)
        assert requests_at(network, holder) == before + 2

    def check_tags(
        self,
        monkeypatch: pytest.MonkeyPatch,
        network: Network,
        document: UpstreamEntry,
    ) -> None:
        agent = network.agents[document.host]
        for name in ('receive_forward', 'receive_query'):
            receive = getattr(agent, name)

            def check(
                message: Forward | FlowQuery | InventoryQuery,
                entry: str,
                receive: Callable[..., None] = receive,
            ) -> None:
                assert message.service == service_tag(document.service)
                receive(message, entry)

            monkeypatch.setattr(agent, name, check)


class TestDroppedRoutes:
    """The configuration decides whether a flow is looked up at all."""

    @pytest.mark.parametrize('entry', [ENTRY, SECOND_ENTRY])
    def test_flow_of_a_dropped_route_is_not_found_after_a_restart(
        self, entry: str
    ) -> None:
        network = Network()
        holder = open_flow(network)
        before = requests_at(network, holder)
        move_route(network)
        restart_agents(network, 'desk')
        if entry == SECOND_ENTRY:
            network.add_entry(entry)
        network.send_request(FLOW, holder, entry)
        run_ticks(network)
        assert requests_at(network, holder) == before
        assert len(network.resets) == 1

    def test_lookup_ends_when_its_route_is_dropped(self) -> None:
        network = Network()
        holder = open_flow(network)
        network.add_entry(SECOND_ENTRY)
        network.unreachable.add(holder)
        network.send_request(FLOW, holder, SECOND_ENTRY)
        run_ticks(network)
        assert not network.resets
        move_route(network)
        run_ticks(network)
        assert len(network.resets) == 1
        assert not network.entry_nodes[SECOND_ENTRY].has_pending

    def test_a_route_is_never_tagged_as_dropped(self) -> None:
        assert NO_ROUTE != service_tag('desk')


class TestNewFlows:
    """A new flow reaches only upstreams of a service that its route has."""

    def test_opening_packet_after_a_lookup_of_the_same_key(self) -> None:
        # An upstream that does not answer leaves the lookup undecided.
        network = Network(upstream(1), upstream(2, service='layout'))
        desk, layout = network.documents
        restart_agents(network, 'layout')
        network.upstreams[layout.host].responds = False
        network.send_packet(make_packet(FLOW, length=20))
        assert network.upstreams_reached(FLOW) == [layout.host]
        network.upstreams[layout.host].responds = True
        opening = Forward(
            ForwardPurpose.NEW_FLOW,
            service_tag('desk'),
            opening_packet(FLOW).raw,
        )
        network.agents[layout.host].receive_forward(opening, ENTRY)
        assert not network.upstreams[layout.host].flows

    def test_opening_packet_with_the_key_of_a_flow_of_another_service(
        self,
    ) -> None:
        network = Network(upstream(1), upstream(2, service='layout'))
        desk, layout = network.documents
        open_flow(network)
        move_route(network, 'layout')
        # The upstream has discarded the flow, and the entry has cached it.
        network.upstreams[desk.host].flows.clear()
        for _ in range(2):
            network.send_packet(opening_packet(FLOW))
        assert network.holder(FLOW) == layout.host

    def test_repeated_opening_packet_before_the_handshake_is_complete(
        self,
    ) -> None:
        network = Network(upstream(1), upstream(2, service='layout'))
        desk, _ = network.documents
        network.send_packet(opening_packet(FLOW))
        move_route(network, 'layout')
        network.send_packet(opening_packet(FLOW))
        assert network.upstreams_reached(FLOW) == [desk.host]
