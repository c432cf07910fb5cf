"""Tests of room that agents grant to the waiting flows of entries.

Guards against opening packets sent to one full agent after another, flows that
wait although room was granted or an upstream is idle, room that stays reserved
after a loss or a restart, and refused callers that lose their place.
"""

from dataclasses import replace

import pytest

from ragwortpost.datapath.connection import FlowKey, route_key_of
from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process._messages import RoomDemand, service_tag
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version import ServicePolicy
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    ROUTE,
    configuration_record,
    upstream,
)

AGENT = '10.0.0.1'
SECOND_ENTRY = '10.0.1.2'
# Port of a route with a less urgent priority.
LATER_PORT = 8080
# Flows that an upstream with two slots has room for, and how many of them have
# to end before it grants room.
ROOM = 8
MARGIN = 2


def full_network(upstreams: int = 1) -> Network:
    """Return a network without room, and with a flow that waits."""
    network = Network(*(upstream(number + 1) for number in range(upstreams)))
    for number in range(ROOM * upstreams):
        network.send_packet(opening_packet(flow_key(number)))
        # Its request has no response yet.
        fake = network.upstreams[network.holder(flow_key(number))]
        sequence = fake.flows[flow_key(number)]
        fake.responds = False
        network.send_packet(
            make_packet(flow_key(number), length=9, acknowledged=sequence + 1)
        )
        fake.responds = True
    network.send_packet(opening_packet(flow_key(ROOM * upstreams)))
    return network


def make_room(network: Network) -> None:
    """Let an upstream end flows until it has room for a single one."""
    fake = network.upstreams[AGENT]
    for flow in list(fake.flows)[: MARGIN + 1]:
        fake.send(make_packet(flow, finishes=True))


def is_open(network: Network, flow: FlowKey) -> bool:
    return any(flow in fake.flows for fake in network.upstreams.values())


class TestGrants:
    """Room that becomes free is granted to an entry, whose flow uses it."""

    def test_a_waiting_flow_gets_the_room_of_one_that_ends(self) -> None:
        network = full_network()
        assert not is_open(network, flow_key(ROOM))
        network.sent.clear()
        make_room(network)
        assert is_open(network, flow_key(ROOM))
        # The grant, the opening packet and the reply to it.
        assert len(network.sent) == 3

    def test_an_arrival_beside_waiting_flows_sends_nothing(self) -> None:
        network = full_network(3)
        network.sent.clear()
        for number in range(100, 200):
            network.send_packet(opening_packet(flow_key(number)))
        assert not network.sent

    def test_ticks_send_a_bounded_number_of_demands(self) -> None:
        network = full_network(40)
        network.sent.clear()
        for _ in range(5):
            network.clock.time += 0.02
            network.entry.tick()
        assert len(network.sent) <= 16

    def test_a_full_fleet_gets_three_offers_of_a_flow(self) -> None:
        network = Network(*(upstream(number) for number in range(1, 21)))
        for fake in network.upstreams.values():
            fake.accepts = False
        network.sent.clear()
        network.send_packet(opening_packet(flow_key()))
        offers = sum(len(fake.received) for fake in network.upstreams.values())
        # Three by load, and those that the agents have granted meanwhile.
        assert offers <= 3 + 16

    def test_an_upstream_that_returns_flows_gets_few_offers(self) -> None:
        network = Network(upstream(1))
        fake = network.upstreams[AGENT]
        fake.accepts = False
        for number in range(30):
            network.send_packet(opening_packet(flow_key(number)))
        for _ in range(10):
            network.advance(0.02)
        # Four on each grant of 0.1 s, and some while it seems idle.
        assert len(fake.received) <= 20
        fake.accepts = True
        network.advance(0.3)
        assert is_open(network, flow_key(0))

    def test_a_demand_for_another_service_is_ignored(self) -> None:
        network = Network(upstream(1))
        demand = RoomDemand(service_tag('other'), 1, 0, 100)
        network.agents[AGENT].room.receive_demand(demand, ENTRY)
        assert not network.agents[AGENT].room.has_demands


class TestReservedRoom:
    """Room that is granted is kept from the flows of other entries."""

    @pytest.mark.parametrize('warm_up_rate', [None, 2.0])
    def test_others_do_not_take_granted_room(
        self, warm_up_rate: float | None
    ) -> None:
        network = Network(upstream(1, warm_up_left=30))
        limit = 2000 if warm_up_rate else 2
        policy = ServicePolicy('desk', limit, 30, warm_up_rate)
        network.publish(
            configuration_record(
                0, replace(CONFIGURATION, version=4, services=(policy,))
            )
        )
        network.add_entry(SECOND_ENTRY)
        network.unreachable.add(SECOND_ENTRY)
        room = network.agents[AGENT].room
        demand = RoomDemand(service_tag('desk'), 2, 0, 100)
        room.receive_demand(demand, SECOND_ENTRY)
        network.unreachable.clear()
        network.send_packet(opening_packet(flow_key(0)))
        assert not is_open(network, flow_key(0))
        for number in (1, 2):
            network.send_packet(opening_packet(flow_key(number)), SECOND_ENTRY)
            assert is_open(network, flow_key(number))

    def test_a_less_urgent_flow_uses_the_grant_of_its_entry(self) -> None:
        network = Network(upstream(1))
        flow = flow_key(9, LATER_PORT)
        later = replace(ROUTE, key=route_key_of(flow), name='later', priority=1)
        network.publish(
            configuration_record(
                0, replace(CONFIGURATION, version=4, routes=(ROUTE, later))
            )
        )
        for number in range(5):
            network.send_packet(opening_packet(flow_key(number)))
        room = network.agents[AGENT].room
        network.add_entry(SECOND_ENTRY)
        network.unreachable.add(SECOND_ENTRY)
        demand = RoomDemand(service_tag('desk'), 4, 0, 100)
        room.receive_demand(demand, SECOND_ENTRY)
        assert room.gauges()['room_granted'] == 4
        network.unreachable.clear()
        network.send_packet(opening_packet(flow), SECOND_ENTRY)
        assert is_open(network, flow)
        assert room.gauges()['room_granted'] == 3

    def test_an_upstream_that_has_not_answered_gets_no_more_than_its_limit(
        self,
    ) -> None:
        network = Network(upstream(1))
        policy = ServicePolicy('desk', 2, 30, None)
        network.publish(
            configuration_record(
                0, replace(CONFIGURATION, version=4, services=(policy,))
            )
        )
        network.upstreams[AGENT].responds = False
        for number in range(5):
            network.send_packet(opening_packet(flow_key(number)))
        assert len(network.upstreams[AGENT].received) == 2


class TestFailures:
    """Lost grants and stopped processes cost a bounded time."""

    def demand(self, network: Network, entry: str) -> None:
        demand = RoomDemand(service_tag('desk'), 9, 0, 100)
        network.agents[AGENT].room.receive_demand(demand, entry)

    def test_room_granted_to_a_frozen_entry_is_free_again(self) -> None:
        network = Network(upstream(1, slots=1))
        network.add_entry(SECOND_ENTRY)
        network.unreachable.add(SECOND_ENTRY)
        self.demand(network, SECOND_ENTRY)
        for number in range(4):
            network.send_packet(opening_packet(flow_key(number)))
        # One fits beside the three that the frozen entry may open.
        assert is_open(network, flow_key(0))
        assert not is_open(network, flow_key(1))
        for _ in range(10):
            network.advance(0.02)
        assert is_open(network, flow_key(1))

    def test_room_is_granted_again_after_lost_grants(self) -> None:
        network = Network(upstream(1))
        network.add_entry(SECOND_ENTRY)
        network.unreachable.add(SECOND_ENTRY)
        self.demand(network, SECOND_ENTRY)
        network.sent.clear()
        for _ in range(8):
            assert not network.sent
            assert network.agents[AGENT].room.has_demands
            network.advance(0.02)
        assert network.sent == [(AGENT, SECOND_ENTRY)]

    def test_a_restarted_agent_decides_on_its_room(self) -> None:
        network = Network(upstream(1, slots=1))
        network.add_entry(SECOND_ENTRY)
        network.unreachable.add(SECOND_ENTRY)
        self.demand(network, SECOND_ENTRY)
        network.start_agent(network.documents[0], restarted=True)
        network.send_packet(opening_packet(flow_key()))
        assert is_open(network, flow_key())

    def test_flows_wait_for_others_than_an_agent_that_is_cut_off(self) -> None:
        network = full_network(2)
        network.unreachable.add('10.0.0.2')
        make_room(network)
        assert flow_key(2 * ROOM) in network.upstreams[AGENT].flows


class TestEndOfWait:
    """How the wait of a flow ends without an upstream."""

    def test_a_caller_that_ends_its_flow_does_not_wait(self) -> None:
        network = full_network()
        network.send_packet(make_packet(flow_key(ROOM), resets=True))
        make_room(network)
        assert not is_open(network, flow_key(ROOM))

    def test_a_refused_caller_keeps_its_place(self) -> None:
        network = full_network()
        network.advance(0.55)
        network.send_packet(opening_packet(flow_key(50)))
        network.advance(0.1)
        assert [packet.flow for packet in network.resets] == [flow_key(ROOM)]
        # All callers of these tests have the same address.
        network.send_packet(opening_packet(flow_key(51)))
        make_room(network)
        assert is_open(network, flow_key(51))
        assert not is_open(network, flow_key(50))

    @pytest.mark.parametrize('lost', [True, False])
    def test_a_refusal_is_true(self, lost: bool) -> None:
        network = Network(upstream(1))
        if lost:
            # The upstream accepts the flow, but the entry gets no reply.
            network.losing_replies.add(AGENT)
        else:
            network.unreachable.add(AGENT)
        network.send_packet(opening_packet(flow_key()))
        for _ in range(50):
            network.advance(0.02)
        assert not network.resets


class TestObservation:
    """Operators see which flows wait, for how long, and the use of room."""

    def test_gauges_of_entries_and_agents(self) -> None:
        network = full_network()
        network.advance(0.1)
        waiting = network.entry.gauges()
        assert waiting['waiting'] == waiting['waiting_priority_0'] == 1
        assert waiting['oldest_wait_seconds'] == pytest.approx(0.1)
        assert network.agents[AGENT].gauges()['room'] == 0
        make_room(network)
        assert network.entry.gauges()['waiting'] == 0
        events = network.contexts[AGENT].metrics.events
        assert events['room_granted'] == events['room_used'] == 1

    def test_the_log_tells_when_flows_begin_and_cease_to_wait(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with caplog.at_level('INFO', 'ragwortpost'):
            network = full_network()
            make_room(network)
            network.advance(0.02)
        events = [record.msg['event'] for record in caplog.records]  # type: ignore[index]
        began, ended = map(events.index, ('waiting_began', 'waiting_ended'))
        assert began < ended
