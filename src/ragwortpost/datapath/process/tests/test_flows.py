"""Tests of entries and agents together: where each packet of a flow goes.

Guards against packets delivered to an upstream that does not hold their flow,
resets of held flows, missing resets of lost flows, and new flows at upstreams
that can't take them. Causes are restarted or unresponsive agents and upstreams,
entries with an empty cache, and old views.
"""

import random
from collections import Counter
from dataclasses import replace

import pytest

from ragwortpost.datapath.connection import Packet, registrars_of
from ragwortpost.datapath.connection.tests.packets import (
    accepting_packet,
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version import Record, ServiceShare, TakenOut
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    ROUTE,
    at,
    configuration_record,
    upstream,
    upstream_record,
)

FLOW = flow_key()
SECOND_ENTRY = '10.0.1.2'


def open_flow(network: Network) -> str:
    """Open a flow and return the address of the upstream that holds it."""
    network.send_packet(opening_packet(FLOW))
    holder = network.holder(FLOW)
    send_data(network, ENTRY)
    return holder


LATER_PORT = 8080


def send_data(network: Network, entry: str) -> None:
    network.send_request(FLOW, network.holder(FLOW), entry)


def opening_packet_of_age(seconds: float) -> Packet:
    """Return the opening packet that a caller retransmits after a time."""
    return make_packet(FLOW, opens=True, acknowledged=0, flow_age=seconds)


class TestEstablishedFlows:
    """Packets of an established flow reach its upstream, and no other."""

    def test_through_the_entry_that_opened_it(self) -> None:
        network = Network()
        holder = open_flow(network)
        assert network.upstreams_reached(FLOW) == [holder]
        assert network.to_callers[-1].length == 10

    def test_through_an_entry_without_cached_holder(self) -> None:
        network = Network()
        holder = open_flow(network)
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert network.upstreams_reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 4
        assert not network.resets

    def test_after_its_agent_restarts(self) -> None:
        network = Network()
        holder = open_flow(network)
        document = next(
            other for other in network.documents if other.host == holder
        )
        network.start_agent(document, restarted=True)
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert network.upstreams_reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_after_all_agents_restart_other_upstreams_return_one_packet(
        self,
    ) -> None:
        network = Network()
        holder = open_flow(network)
        for document in network.documents:
            network.start_agent(document, restarted=True)
        network.add_entry(SECOND_ENTRY)
        for _ in range(5):
            send_data(network, SECOND_ENTRY)
        other_hosts = [host for host in network.upstreams if host != holder]
        for other in other_hosts:
            assert len(network.upstreams[other].received) == 1
        assert not network.resets

    def test_upstream_started_with_its_agent_gets_no_unknown_flow(self) -> None:
        network = Network()
        started_ms = int(network.clock.now().timestamp() * 1000)
        for document in network.documents:
            network.start_agent(document, restarted=True)
            new_document = replace(
                document, ident=f'{document.ident}-2', born=started_ms
            )
            network.publish(upstream_record(0, new_document))
        network.send_packet(make_packet(FLOW, length=20, acknowledged=77))
        assert not network.upstreams_reached(FLOW)
        assert len(network.resets) == 1

    def test_after_its_route_moves_to_another_service(self) -> None:
        layout = upstream(4, service='layout')
        network = Network(upstream(1), upstream(2), layout)
        holder = open_flow(network)
        moved_route = replace(ROUTE, shares=(ServiceShare('layout', 1.0),))
        changed = replace(CONFIGURATION, version=9, routes=(moved_route,))
        network.publish(configuration_record(0, changed))
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert network.upstreams_reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_after_a_pause_that_a_later_configuration_allows(self) -> None:
        network = Network()
        holder = open_flow(network)
        longer = replace(CONFIGURATION, version=9, idle_seconds=45.0)
        network.publish(configuration_record(0, longer))
        network.advance(44.0)
        send_data(network, ENTRY)
        network.advance(0.1)
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_record_is_removed_after_the_longest_pause(self) -> None:
        network = Network()
        holder = open_flow(network)
        held_flows = network.agents[holder].held_flows
        longer = replace(CONFIGURATION, version=9, idle_seconds=45.0)
        network.publish(configuration_record(0, longer))
        network.advance(44.0)
        assert len(held_flows) == 1
        shorter = replace(CONFIGURATION, version=10)
        network.publish(configuration_record(0, shorter))
        network.advance(2.0)
        assert not held_flows

    def test_while_its_upstream_is_leaving(self) -> None:
        network = Network()
        holder = open_flow(network)
        document = next(
            other for other in network.documents if other.host == holder
        )
        leaving = replace(document, leaving=True)
        network.publish(upstream_record(0, leaving))
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets


class TestLargeFleet:
    """A flow's holder is found without querying every agent."""

    def network(self) -> Network:
        return Network(*(upstream(number) for number in range(1, 41)))

    def test_through_its_registrars(self) -> None:
        network = self.network()
        holder = open_flow(network)
        network.advance(0.5)
        network.add_entry(SECOND_ENTRY)
        network.sent.clear()
        send_data(network, SECOND_ENTRY)
        assert network.upstreams_reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 3
        assert len(network.sent) <= 8

    def test_after_all_its_registrars_restart(self) -> None:
        network = self.network()
        holder = open_flow(network)
        network.advance(0.5)
        network.add_entry(SECOND_ENTRY)
        for document in network.documents:
            if document.host != holder:
                network.start_agent(document)
        send_data(network, SECOND_ENTRY)
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_while_its_registrars_are_unresponsive(self) -> None:
        network = self.network()
        holder = open_flow(network)
        network.advance(0.5)
        network.add_entry(SECOND_ENTRY)
        hosts = [document.host for document in network.documents]
        network.unreachable.update(registrars_of(FLOW, hosts))
        network.unreachable.discard(holder)
        send_data(network, SECOND_ENTRY)
        network.advance(0.05)
        assert len(network.upstreams[holder].received) >= 3
        assert not network.resets

    def test_lookups_of_many_lost_flows_leave_bandwidth_on_a_slow_link(
        self,
    ) -> None:
        # After a mass restart, callers continue flows that no upstream holds. A
        # link of 5 Mbit/s carries 625 bytes a millisecond. Besides one packet
        # to each registrar, queries may use it for a tenth of a second.
        network = self.network()
        network.bytes_sent_by.clear()
        for number in range(100):
            packet = make_packet(
                flow_key(number),
                length=900,
                acknowledged=number,
            )
            network.send_packet(replace(packet, raw=packet.raw + bytes(900)))
            if number % 25 == 24:
                network.advance(0.025)
        assert len(network.resets) == 100
        assert network.bytes_sent_by[ENTRY] < 200 * 950 + 100 * 625

    def test_flow_held_by_no_upstream_is_reset(self) -> None:
        network = self.network()
        network.send_packet(make_packet(FLOW, length=20, acknowledged=77))
        network.advance(0.02)
        assert [packet.sequence for packet in network.resets] == [77]
        assert not network.upstreams_reached(FLOW)


class TestStalledLookups:
    """The log names the agents that a lookup still waits for."""

    def test_unresponsive_agents_are_logged_once(
        self,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        network = Network()
        unresponsive = network.documents[0].host
        network.unreachable.add(unresponsive)
        with caplog.at_level('INFO', 'ragwortpost'):
            network.send_packet(make_packet(FLOW, length=20))
            for _ in range(5):
                network.advance(0.2)
        lines = [record.msg for record in caplog.records]
        stalled = [line for line in lines if line['event'] == 'search_stalled']  # type: ignore[index]
        assert [line['agents'] for line in stalled] == [[unresponsive]]  # type: ignore[index]


class TestResets:
    """A flow is reset only if no upstream can hold it."""

    def test_not_by_an_upstream_that_accepted_the_flow_too_late(self) -> None:
        network = Network(upstream(1), upstream(2))
        network.start_agent(network.documents[0], restarted=True)
        network.unreachable.add('10.0.0.2')
        slow = network.upstreams['10.0.0.1']
        slow.responds = False
        for number in range(2):
            # One of the two flows is assigned to the slow upstream.
            network.send_packet(opening_packet(flow_key(number)))
        network.advance(0.1)
        # Another upstream accepted the flow first; the caller uses that one.
        network.add_entry(SECOND_ENTRY)
        packet = make_packet(FLOW, length=20, acknowledged=9000)
        network.send_packet(packet, SECOND_ENTRY)
        slow.send(accepting_packet(FLOW))
        slow.send(replace(packet, returned=True))
        assert slow.received[-1] == packet
        assert not network.resets

    def test_not_by_a_starting_upstream_that_does_not_hold_the_flow(
        self,
    ) -> None:
        network = Network()
        holder = open_flow(network)
        for document in network.documents:
            if document.host != holder:
                network.start_agent(document, restarted=True)
                network.upstreams[document.host].resets_unknown_flows = True
        network.add_entry(SECOND_ENTRY)
        for _ in range(3):
            send_data(network, SECOND_ENTRY)
        assert not network.resets
        assert len(network.upstreams[holder].received) == 5

    def test_lost_flow_that_all_upstreams_reset_is_reset(self) -> None:
        network = Network()
        for document in network.documents:
            network.start_agent(document, restarted=True)
            network.upstreams[document.host].resets_unknown_flows = True
        network.send_packet(make_packet(FLOW, length=20, acknowledged=77))
        assert [packet.sequence for packet in network.resets] == [77]

    def test_flow_held_by_no_upstream_is_reset_at_once(self) -> None:
        network = Network()
        network.send_packet(make_packet(FLOW, length=20, acknowledged=77))
        assert [packet.sequence for packet in network.resets] == [77]
        assert not network.upstreams_reached(FLOW)

    def test_soon_after_the_last_agent_reconnects(self) -> None:
        # The caller's next retransmission may be 0.4 s or more away.
        network = Network()
        network.unreachable.add(network.documents[0].host)
        network.send_packet(make_packet(FLOW, length=20))
        network.unreachable.clear()
        for _ in range(10):
            network.advance(0.02)
        assert len(network.resets) == 1

    def test_a_query_is_repeated_once_for_each_packet_of_the_caller(
        self,
    ) -> None:
        # After a mass restart replies are late; more copies would delay them.
        network = Network()
        agent = network.documents[0].host
        network.losing_replies.add(agent)
        network.sent.clear()
        for packets in (1, 2):
            network.send_packet(make_packet(FLOW, length=20))
            for _ in range(50):
                network.advance(0.02)
            assert network.sent.count((ENTRY, agent)) == 2 * packets
        network.losing_replies.clear()
        network.send_packet(make_packet(FLOW, length=20))
        assert [packet.flow for packet in network.resets] == [FLOW]
        assert not network.entry.has_pending

    def test_not_while_an_agent_is_unresponsive(self) -> None:
        network = Network()
        network.unreachable.add(network.documents[0].host)
        for _ in range(10):
            network.send_packet(make_packet(FLOW, length=20))
            network.advance(0.2)
        assert not network.resets

    def test_once_the_upstream_of_the_unresponsive_agent_is_deregistered(
        self,
    ) -> None:
        network = Network()
        stopped = network.documents[0]
        network.unreachable.add(stopped.host)
        network.send_packet(make_packet(FLOW, length=20))
        network.publish(Record(f'upstream/{stopped.ident}', at(0), None))
        for _ in range(6):
            network.advance(1.0)
        network.contexts[ENTRY].state.expire()
        network.send_packet(make_packet(FLOW, length=20))
        assert len(network.resets) == 1

    def test_soon_after_agent_of_deregistered_upstream_stops_responding(
        self,
    ) -> None:
        network = Network()
        stopped = network.documents[0]
        network.publish(upstream_record(0, replace(stopped, leaving=True)))
        network.publish(Record(f'upstream/{stopped.ident}', at(0), None))
        network.deliver_digests()
        network.unreachable.add(stopped.host)
        network.send_packet(make_packet(FLOW, length=20))
        assert not network.resets
        network.advance(0.6)
        network.send_packet(make_packet(FLOW, length=20))
        assert len(network.resets) == 1

    def test_after_the_upstream_of_an_unresponsive_agent_lapses(
        self,
    ) -> None:
        network = Network()
        stopped = network.documents[0]
        network.unreachable.add(stopped.host)
        network.advance(1.5)
        network.send_packet(make_packet(FLOW, length=20))
        assert not network.resets
        network.publish(Record(f'upstream/{stopped.ident}', at(0), None))
        network.send_packet(make_packet(FLOW, length=20))
        assert not network.resets
        network.advance(0.6)
        network.send_packet(make_packet(FLOW, length=20))
        assert len(network.resets) == 1

    def test_with_a_restarted_agent_beside_a_deregistered_upstream(
        self,
    ) -> None:
        network = Network()
        stopped = network.documents[0]
        network.start_agent(stopped, restarted=True)
        network.upstreams[stopped.host].responds = False
        network.publish(Record(f'upstream/{stopped.ident}', at(0), None))
        network.advance(3)
        network.contexts[stopped.host].state.expire()
        network.contexts[stopped.host].state.confirm(at(network.revision), 0)
        for number in range(3):
            network.send_packet(make_packet(flow_key(number), length=20))
        assert not network.resets
        network.advance(0.25)
        assert len(network.resets) == 3
        network.send_packet(make_packet(flow_key(9), length=20))
        assert len(network.resets) == 4

    def test_not_while_an_unresponsive_upstream_is_registered(self) -> None:
        network = Network()
        slow = network.documents[0]
        network.start_agent(slow, restarted=True)
        network.upstreams[slow.host].responds = False
        for number in range(5):
            network.send_packet(make_packet(flow_key(number), length=20))
        network.advance(0.5)
        assert not network.resets

    def test_missing_route_resets_only_with_a_fresh_view(self) -> None:
        network = Network()
        packet = make_packet(flow_key(port=999), length=20)
        network.send_packet(packet)
        assert len(network.resets) == 1
        network.advance(10)
        network.send_packet(packet)
        assert len(network.resets) == 1

    def test_flow_lost_by_its_upstream_is_reset(self) -> None:
        network = Network()
        holder = open_flow(network)
        network.upstreams[holder].flows.clear()
        network.send_packet(make_packet(FLOW, length=20, acknowledged=502))
        assert len(network.resets) == 1


class TestNewFlows:
    """A new flow goes to one upstream that can take it."""

    def test_one_upstream_gets_the_flow(self) -> None:
        network = Network()
        network.send_packet(opening_packet(FLOW))
        assert len(network.upstreams_reached(FLOW)) == 1

    def test_retransmissions_go_to_the_same_upstream(self) -> None:
        network = Network()
        for _ in range(3):
            network.send_packet(opening_packet(FLOW))
        assert len(network.upstreams_reached(FLOW)) == 1

    def test_reassigned_when_an_agent_is_unresponsive(self) -> None:
        network = Network()
        unresponsive = network.documents[0].host
        network.unreachable.add(unresponsive)
        for number in range(12):
            network.send_packet(opening_packet(flow_key(number)))
        network.advance(0.1)
        network.advance(0.1)
        for number in range(12):
            assert network.holder(flow_key(number)) != unresponsive

    def test_reassigned_when_an_upstream_returns_it(self) -> None:
        network = Network()
        for full in network.documents[:2]:
            network.upstreams[full.host].accepts = False
        for number in range(6):
            network.send_packet(opening_packet(flow_key(number)))
            assert network.holder(flow_key(number)) == network.documents[2].host

    def test_crashed_upstream_with_a_live_agent_gets_few_flows(self) -> None:
        network = Network()
        crashed = network.upstreams[network.documents[0].host]
        crashed.responds = False
        for number in range(60):
            network.send_packet(opening_packet(flow_key(number)))
            network.advance(0.02)
            for other in network.upstreams.values():
                if other is not crashed:
                    # The other upstreams finish their requests at once.
                    for flow in tuple(other.flows):
                        other.send(make_packet(flow, finishes=True))
        assert len({packet.flow for packet in crashed.received}) <= 12

    def test_leaving_upstream_gets_none_from_an_entry_with_an_old_view(
        self,
    ) -> None:
        network = Network()
        leaving = replace(network.documents[0], leaving=True)
        outdated_context = network.contexts.pop(ENTRY)
        network.publish(upstream_record(0, leaving))
        network.contexts[ENTRY] = outdated_context
        for number in range(8):
            network.send_packet(opening_packet(flow_key(number)))
        assert not network.upstreams[leaving.host].received

    def test_drained_data_centre_gets_none(self) -> None:
        network = Network(upstream(1), upstream(2, data_centre='south'))
        network.publish(Record('out/north', at(0), TakenOut('north')))
        for number in range(4):
            network.send_packet(opening_packet(flow_key(number)))
            assert network.holder(flow_key(number)) == '10.0.0.2'

    def test_upstream_of_another_service_at_a_reused_address_gets_none(
        self,
    ) -> None:
        network = Network(upstream(1), upstream(2))
        reused = upstream(1, service='layout')
        network.upstreams.pop(reused.host)
        network.start_agent(reused)
        for number in range(6):
            network.send_packet(opening_packet(flow_key(number)))
        assert not network.upstreams[reused.host].received

    def test_waits_for_capacity_and_is_reset_in_time(self) -> None:
        network = Network(upstream(1))
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.send_packet(opening_packet(FLOW))
        assert not network.resets
        network.publish(upstream_record(0, upstream(1)))
        network.advance(0.02)
        assert network.holder(FLOW) == '10.0.0.1'
        late_flow = flow_key(1)
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.send_packet(opening_packet(late_flow))
        network.advance(0.5)
        assert not network.resets
        network.advance(0.2)
        assert [packet.flow for packet in network.resets] == [late_flow]


class TestMaxWait:
    """A new flow's wait is limited from its caller's first packet on."""

    @pytest.mark.parametrize(('waited', 'left'), [(0, 0.6), (0.2, 0.4)])
    def test_retransmission_counts_the_time_already_waited(
        self, waited: float, left: float
    ) -> None:
        network = Network(upstream(1))
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.send_packet(opening_packet_of_age(waited))
        network.advance(left - 0.05)
        assert not network.resets
        network.advance(0.1)
        assert len(network.resets) == 1

    def test_wait_is_shorter_than_the_callers_timeout(self) -> None:
        network = Network(upstream(1))
        slow = replace(ROUTE, timeout=5.0)
        changed = replace(CONFIGURATION, version=9, routes=(slow,))
        network.publish(configuration_record(0, changed))
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.send_packet(opening_packet(FLOW))
        network.advance(1.2)
        assert not network.resets
        network.advance(0.2)
        assert len(network.resets) == 1


class TestStarvedProcesses:
    """A process that does not run for seconds draws no conclusions from it."""

    @pytest.mark.parametrize('seed', range(20))
    def test_an_entry_resets_no_held_flow(self, seed: int) -> None:
        rng = random.Random(seed)
        network = Network(*(upstream(number) for number in range(1, 6)))
        holder = open_flow(network)
        network.add_entry(SECOND_ENTRY)
        network.advance(rng.uniform(0.1, 1))
        # The store loses the record of an upstream that is starved as well.
        document = next(
            other for other in network.documents if other.host == holder
        )
        network.publish(Record(f'upstream/{document.ident}', at(0), None))
        network.stall(rng.uniform(1, 2.4))
        if rng.random() < 0.5:
            network.start_agent(document, restarted=True)
        # Packets of callers are read before the digests that wait beside them.
        network.unreachable.add(holder)
        send_data(network, SECOND_ENTRY)
        network.unreachable.clear()
        assert not network.resets
        network.advance(0.3)
        send_data(network, SECOND_ENTRY)
        assert not network.resets

    @pytest.mark.parametrize('seed', range(20))
    def test_an_agent_denies_no_held_flow(self, seed: int) -> None:
        rng = random.Random(seed)
        network = Network()
        holder = open_flow(network)
        document = next(
            other for other in network.documents if other.host == holder
        )
        network.start_agent(document, restarted=True)
        fake = network.upstreams[holder]
        fake.responds = False
        network.publish(Record(f'upstream/{document.ident}', at(0), None))
        network.add_entry(SECOND_ENTRY)
        for _ in range(3):
            send_data(network, SECOND_ENTRY)
        # What the upstream sent waits in the socket of the starved agent.
        network.stall(rng.uniform(0.5, 2))
        network.contexts[holder].state.confirm(at(network.revision), 0)
        network.agents[holder].tick()
        assert not network.resets
        fake.responds = True
        send_data(network, SECOND_ENTRY)
        assert not network.resets


class TestUnresponsiveAgents:
    """Agents without a recent message, as after a mass restart."""

    def test_each_gets_one_new_flow_until_it_replies(self) -> None:
        network = Network(*(upstream(number) for number in range(1, 6)))
        network.unreachable.update(
            document.host for document in network.documents[1:]
        )
        network.advance(1.5)
        network.sent.clear()
        for number in range(30):
            network.send_packet(opening_packet(flow_key(number)))
        assigned = Counter(receiver for _, receiver in network.sent)
        for unresponsive in network.documents[1:]:
            assert assigned[unresponsive.host] <= 1


class TestUrgentRoutes:
    """Flows of more urgent routes are placed before others."""

    def network(self) -> Network:
        """Return a network with one upstream and two routes to it."""
        network = Network(upstream(1, slots=1))
        later = replace(
            ROUTE,
            key=ROUTE.key[:4] + LATER_PORT.to_bytes(2),
            name='queue',
            priority=2,
        )
        urgent = replace(ROUTE, priority=1)
        changed = replace(CONFIGURATION, version=9, routes=(urgent, later))
        network.publish(configuration_record(0, changed))
        return network

    def test_they_have_a_reserve_behind_others(self) -> None:
        network = self.network()
        for number in range(10):
            network.send_packet(opening_packet(flow_key(number, LATER_PORT)))
        assert len(network.upstreams['10.0.0.1'].flows) == 4
        for number in range(10):
            network.send_packet(opening_packet(flow_key(number)))
        opened = network.upstreams['10.0.0.1'].flows
        assert sum(flow_key(number) in opened for number in range(10)) == 2

    def test_of_waiting_flows_they_are_placed_first(self) -> None:
        network = self.network()
        network.upstreams['10.0.0.1'].accepts = False
        network.send_packet(opening_packet(flow_key(1, LATER_PORT)))
        network.send_packet(opening_packet(flow_key(1)))
        network.upstreams['10.0.0.1'].accepts = True
        network.advance(0.02)
        assert next(iter(network.upstreams['10.0.0.1'].flows)) == flow_key(1)

    def test_later_ones_join_the_queue_of_waiting_ones(self) -> None:
        network = self.network()
        fake = network.upstreams['10.0.0.1']
        fake.accepts = False
        network.send_packet(opening_packet(flow_key(1)))
        fake.accepts = True
        # The agent may be offered flows again, but no tick has come yet.
        network.stall(0.019)
        network.send_packet(opening_packet(flow_key(1, LATER_PORT)))
        assert not fake.flows
        # The agent is told of the second one after 0.1 s at the latest.
        for _ in range(6):
            network.advance(0.02)
        assert list(fake.flows) == [flow_key(1), flow_key(1, LATER_PORT)]


class TestBacklog:
    """No upstream is assigned more than a short queue."""

    @pytest.mark.parametrize('flows', [10, 100])
    def test_flows_beyond_the_backlog_limit_wait(self, flows: int) -> None:
        network = Network()
        for number in range(flows):
            network.send_packet(opening_packet(flow_key(number)))
        accepted = [len(fake.flows) for fake in network.upstreams.values()]
        assert max(accepted) <= 8
        assert sum(accepted) == min(flows, 24)
        assert not network.resets
