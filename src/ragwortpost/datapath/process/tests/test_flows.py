"""Tests of entries and agents together: who gets each packet of a flow."""

from collections import Counter
from dataclasses import replace

import pytest

from ragwortpost.datapath.connection import Packet, registrars_of
from ragwortpost.datapath.connection.tests.packets import (
    accepting,
    caller_packet,
    flow_key,
    opening,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version import Record, ServiceShare, TakenOut
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    ROUTE,
    configuration_record,
    upstream,
    upstream_record,
)

FLOW = flow_key()
SECOND_ENTRY = '10.0.1.2'


def opened(network: Network) -> str:
    """Open a flow and return the address of the upstream that holds it."""
    network.call(opening(FLOW))
    holder = network.holder(FLOW)
    send_data(network, ENTRY)
    return holder


def send_data(network: Network, entry: str) -> None:
    sequence = network.upstreams[network.holder(FLOW)].flows[FLOW]
    network.call(
        caller_packet(FLOW, length=20, acknowledged=sequence + 1),
        entry,
    )


def opening_after(seconds: float) -> Packet:
    """Return the opening packet that a caller sends after some seconds."""
    return caller_packet(FLOW, opens=True, acknowledged=0, waited=seconds)


class TestEstablishedFlows:
    """Packets of an open flow reach its upstream, and no other."""

    def test_through_the_entry_that_opened_it(self) -> None:
        network = Network()
        holder = opened(network)
        assert network.reached(FLOW) == [holder]
        assert network.to_callers[-1].length == 10

    def test_through_an_entry_that_never_saw_it(self) -> None:
        network = Network()
        holder = opened(network)
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert network.reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 4
        assert not network.resets

    def test_after_a_restart_of_its_agent(self) -> None:
        network = Network()
        holder = opened(network)
        entry = next(one for one in network.entries if one.host == holder)
        network.start_agent(entry, again=True)
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert network.reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_after_a_restart_of_all_agents_others_return_its_packet(
        self,
    ) -> None:
        network = Network()
        holder = opened(network)
        for entry in network.entries:
            network.start_agent(entry, again=True)
        network.add_entry(SECOND_ENTRY)
        for _ in range(5):
            send_data(network, SECOND_ENTRY)
        others = [one for one in network.upstreams if one != holder]
        for other in others:
            assert len(network.upstreams[other].received) == 1
        assert not network.resets

    def test_an_upstream_as_new_as_its_agent_is_not_asked(self) -> None:
        network = Network()
        born = int(network.clock.now().timestamp() * 1000)
        for entry in network.entries:
            network.start_agent(entry, again=True)
            fresh = replace(entry, ident=f'{entry.ident}-2', born=born)
            network.publish(upstream_record(0, fresh))
        network.call(caller_packet(FLOW, length=20, acknowledged=77))
        assert not network.reached(FLOW)
        assert len(network.resets) == 1

    def test_after_its_route_went_to_another_service(self) -> None:
        layout = upstream(4, service='layout')
        network = Network(upstream(1), upstream(2), layout)
        holder = opened(network)
        moved = replace(ROUTE, shares=(ServiceShare('layout', 1.0),))
        changed = replace(CONFIGURATION, version=9, routes=(moved,))
        network.publish(configuration_record(0, changed))
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert network.reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_while_its_upstream_leaves(self) -> None:
        network = Network()
        holder = opened(network)
        entry = next(one for one in network.entries if one.host == holder)
        leaving = replace(entry, leaving=True)
        network.publish(upstream_record(0, leaving))
        network.add_entry(SECOND_ENTRY)
        send_data(network, SECOND_ENTRY)
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets


class TestLargeFleet:
    """A flow is found without asking every agent."""

    def network(self) -> Network:
        return Network(*(upstream(number) for number in range(1, 41)))

    def test_through_its_registrars(self) -> None:
        network = self.network()
        holder = opened(network)
        network.pass_time(0.5)
        network.add_entry(SECOND_ENTRY)
        network.sent.clear()
        send_data(network, SECOND_ENTRY)
        assert network.reached(FLOW) == [holder]
        assert len(network.upstreams[holder].received) == 3
        assert len(network.sent) <= 8

    def test_when_all_its_registrars_have_restarted(self) -> None:
        network = self.network()
        holder = opened(network)
        network.pass_time(0.5)
        network.add_entry(SECOND_ENTRY)
        for entry in network.entries:
            if entry.host != holder:
                network.start_agent(entry)
        send_data(network, SECOND_ENTRY)
        assert len(network.upstreams[holder].received) == 3
        assert not network.resets

    def test_when_its_registrars_are_silent(self) -> None:
        network = self.network()
        holder = opened(network)
        network.pass_time(0.5)
        network.add_entry(SECOND_ENTRY)
        hosts = [entry.host for entry in network.entries]
        network.dark.update(registrars_of(FLOW, hosts))
        network.dark.discard(holder)
        send_data(network, SECOND_ENTRY)
        network.pass_time(0.05)
        assert len(network.upstreams[holder].received) >= 3
        assert not network.resets

    def test_a_rush_of_lost_flows_leaves_a_narrow_link_free(self) -> None:
        # After a mass restart callers go on with flows that nobody holds. A
        # link of 5 Mbit/s carries 625 bytes a millisecond. Besides one packet
        # to each registrar, questions may take it for a tenth of a second.
        network = self.network()
        network.bytes_from.clear()
        for number in range(100):
            stray = caller_packet(
                flow_key(number),
                length=900,
                acknowledged=number,
            )
            network.call(replace(stray, raw=stray.raw + bytes(900)))
            if number % 25 == 24:
                network.pass_time(0.025)
        assert len(network.resets) == 100
        assert network.bytes_from[ENTRY] < 200 * 950 + 100 * 625

    def test_one_that_nobody_holds_is_reset(self) -> None:
        network = self.network()
        network.call(caller_packet(FLOW, length=20, acknowledged=77))
        assert [packet.sequence for packet in network.resets] == [77]


class TestStalledSearches:
    """An operator sees which agents leave a search open."""

    def test_silent_agents_are_named_once(
        self,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        network = Network()
        silent = network.entries[0].host
        network.dark.add(silent)
        with caplog.at_level('INFO', 'ragwortpost'):
            network.call(caller_packet(FLOW, length=20))
            for _ in range(5):
                network.pass_time(0.2)
        lines = [one.msg for one in caplog.records]
        stalled = [one for one in lines if one['event'] == 'search_stalled']  # type: ignore[index]
        assert [one['agents'] for one in stalled] == [[silent]]  # type: ignore[index]


class TestResets:
    """A flow is reset only if nobody can hold it."""

    def test_not_by_an_upstream_that_lost_the_race_for_it(self) -> None:
        network = Network(upstream(1), upstream(2))
        network.start_agent(network.entries[0], again=True)
        network.dark.add('10.0.0.2')
        slow = network.upstreams['10.0.0.1']
        slow.answers = False
        for number in range(2):
            # One of the two entries places it at the slow upstream.
            network.call(opening(flow_key(number)))
        network.pass_time(0.1)
        # Another upstream was faster: the caller sends to that one.
        network.add_entry(SECOND_ENTRY)
        stray = caller_packet(FLOW, length=20, acknowledged=9000)
        network.call(stray, SECOND_ENTRY)
        slow.send(accepting(FLOW))
        slow.send(replace(stray, bounced=True))
        assert slow.received[-1] == stray
        assert not network.resets

    def test_one_that_nobody_holds_is_reset_at_once(self) -> None:
        network = Network()
        network.call(caller_packet(FLOW, length=20, acknowledged=77))
        assert [packet.sequence for packet in network.resets] == [77]
        assert not network.reached(FLOW)

    def test_soon_after_the_last_agent_is_back(self) -> None:
        # The caller's next copy may be 0.4 s and more away.
        network = Network()
        network.dark.add(network.entries[0].host)
        network.call(caller_packet(FLOW, length=20))
        network.dark.clear()
        for _ in range(10):
            network.pass_time(0.02)
        assert len(network.resets) == 1

    def test_not_while_an_agent_is_silent(self) -> None:
        network = Network()
        network.dark.add(network.entries[0].host)
        for _ in range(10):
            network.call(caller_packet(FLOW, length=20))
            network.pass_time(0.2)
        assert not network.resets

    def test_once_the_silent_agent_has_left_the_store(self) -> None:
        network = Network()
        gone = network.entries[0]
        network.dark.add(gone.host)
        network.call(caller_packet(FLOW, length=20))
        network.publish(Record(f'upstream/{gone.ident}', 0, None))
        for _ in range(6):
            network.pass_time(1.0)
        network.contexts[ENTRY].state.expire()
        network.call(caller_packet(FLOW, length=20))
        assert len(network.resets) == 1

    def test_soon_if_an_agent_went_dark_that_the_store_does_not_name(
        self,
    ) -> None:
        network = Network()
        gone = network.entries[0]
        network.publish(upstream_record(0, replace(gone, leaving=True)))
        network.publish(Record(f'upstream/{gone.ident}', 0, None))
        network.hear_all()
        network.dark.add(gone.host)
        network.call(caller_packet(FLOW, length=20))
        assert not network.resets
        network.pass_time(0.6)
        network.call(caller_packet(FLOW, length=20))
        assert len(network.resets) == 1

    def test_at_once_if_its_entry_lapsed_while_its_agent_is_silent(
        self,
    ) -> None:
        network = Network()
        gone = network.entries[0]
        network.dark.add(gone.host)
        network.pass_time(1.5)
        network.call(caller_packet(FLOW, length=20))
        assert not network.resets
        network.publish(Record(f'upstream/{gone.ident}', 0, None))
        network.call(caller_packet(FLOW, length=20))
        assert not network.resets
        network.pass_time(0.6)
        network.call(caller_packet(FLOW, length=20))
        assert len(network.resets) == 1

    def test_though_the_agent_of_an_upstream_that_is_gone_cannot_know(
        self,
    ) -> None:
        network = Network()
        gone = network.entries[0]
        network.start_agent(gone, again=True)
        network.upstreams[gone.host].answers = False
        network.publish(Record(f'upstream/{gone.ident}', 0, None))
        network.pass_time(3)
        network.contexts[gone.host].state.expire()
        network.contexts[gone.host].state.confirm(network.revision, 0)
        for number in range(3):
            network.call(caller_packet(flow_key(number), length=20))
        assert not network.resets
        network.pass_time(0.25)
        assert len(network.resets) == 3
        network.call(caller_packet(flow_key(9), length=20))
        assert len(network.resets) == 4

    def test_not_while_a_silent_upstream_is_in_the_store(self) -> None:
        network = Network()
        slow = network.entries[0]
        network.start_agent(slow, again=True)
        network.upstreams[slow.host].answers = False
        for number in range(5):
            network.call(caller_packet(flow_key(number), length=20))
        network.pass_time(0.5)
        assert not network.resets

    def test_not_without_a_route_while_the_view_is_old(self) -> None:
        network = Network()
        packet = caller_packet(flow_key(port=999), length=20)
        network.call(packet)
        assert len(network.resets) == 1
        network.pass_time(10)
        network.call(packet)
        assert len(network.resets) == 1

    def test_one_that_its_upstream_lost_is_reset(self) -> None:
        network = Network()
        holder = opened(network)
        network.upstreams[holder].flows.clear()
        network.call(caller_packet(FLOW, length=20, acknowledged=502))
        assert len(network.resets) == 1


class TestNewFlows:
    """Where a new flow is opened."""

    def test_one_upstream_is_asked(self) -> None:
        network = Network()
        network.call(opening(FLOW))
        assert len(network.reached(FLOW)) == 1

    def test_copies_go_where_the_first_went(self) -> None:
        network = Network()
        for _ in range(3):
            network.call(opening(FLOW))
        assert len(network.reached(FLOW)) == 1

    def test_another_one_if_an_agent_is_silent(self) -> None:
        network = Network()
        silent = network.entries[0].host
        network.dark.add(silent)
        for number in range(12):
            network.call(opening(flow_key(number)))
        network.pass_time(0.1)
        network.pass_time(0.1)
        for number in range(12):
            assert network.holder(flow_key(number)) != silent

    def test_another_one_if_an_upstream_returns_it(self) -> None:
        network = Network()
        for full in network.entries[:2]:
            network.upstreams[full.host].accepts = False
        for number in range(6):
            network.call(opening(flow_key(number)))
            assert network.holder(flow_key(number)) == network.entries[2].host

    def test_few_at_an_upstream_that_crashed_beside_its_agent(self) -> None:
        network = Network()
        crashed = network.upstreams[network.entries[0].host]
        crashed.answers = False
        for number in range(60):
            network.call(opening(flow_key(number)))
            network.pass_time(0.02)
            for other in network.upstreams.values():
                if other is not crashed:
                    # Their requests are done at once.
                    for flow in tuple(other.flows):
                        other.send(caller_packet(flow, finishes=True))
        assert len({one.flow for one in crashed.received}) <= 12

    def test_none_that_leaves_even_if_the_entry_does_not_know(self) -> None:
        network = Network()
        leaving = replace(network.entries[0], leaving=True)
        behind = network.contexts.pop(ENTRY)
        network.publish(upstream_record(0, leaving))
        network.contexts[ENTRY] = behind
        for number in range(8):
            network.call(opening(flow_key(number)))
        assert not network.upstreams[leaving.host].received

    def test_none_in_a_data_centre_taken_out(self) -> None:
        network = Network(upstream(1), upstream(2, data_centre='south'))
        network.publish(Record('out/north', 0, TakenOut('north')))
        for number in range(4):
            network.call(opening(flow_key(number)))
            assert network.holder(flow_key(number)) == '10.0.0.2'

    def test_none_of_another_service_at_a_reused_address(self) -> None:
        network = Network(upstream(1), upstream(2))
        reused = upstream(1, service='layout')
        network.upstreams.pop(reused.host)
        network.start_agent(reused)
        for number in range(6):
            network.call(opening(flow_key(number)))
        assert not network.upstreams[reused.host].received

    def test_it_waits_for_room_and_is_refused_in_time(self) -> None:
        network = Network(upstream(1))
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.call(opening(FLOW))
        assert not network.resets
        network.publish(upstream_record(0, upstream(1)))
        network.pass_time(0.02)
        assert network.holder(FLOW) == '10.0.0.1'
        late = flow_key(1)
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.call(opening(late))
        network.pass_time(0.5)
        assert not network.resets
        network.pass_time(0.2)
        assert [packet.flow for packet in network.resets] == [late]


class TestPatience:
    """How long a new flow waits, counted from its caller's first packet."""

    @pytest.mark.parametrize(('waited', 'left'), [(0, 0.6), (0.2, 0.4)])
    def test_a_copy_has_waited_before(self, waited: float, left: float) -> None:
        network = Network(upstream(1))
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.call(opening_after(waited))
        network.pass_time(left - 0.05)
        assert not network.resets
        network.pass_time(0.1)
        assert len(network.resets) == 1

    def test_not_beyond_what_callers_wait(self) -> None:
        network = Network(upstream(1))
        slow = replace(ROUTE, timeout=5.0)
        changed = replace(CONFIGURATION, version=9, routes=(slow,))
        network.publish(configuration_record(0, changed))
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.call(opening(FLOW))
        network.pass_time(1.2)
        assert not network.resets
        network.pass_time(0.2)
        assert len(network.resets) == 1


class TestSilentAgents:
    """After a mass restart, agents that are not heard of yet."""

    def test_each_gets_one_new_flow_until_it_answers(self) -> None:
        network = Network(*(upstream(number) for number in range(1, 6)))
        network.dark.update(one.host for one in network.entries[1:])
        network.pass_time(1.5)
        network.sent.clear()
        for number in range(30):
            network.call(opening(flow_key(number)))
        placed = Counter(receiver for _, receiver in network.sent)
        for silent in network.entries[1:]:
            assert placed[silent.host] <= 1


class TestBacklog:
    """No upstream gets more than a short queue."""

    @pytest.mark.parametrize('flows', [10, 100])
    def test_a_rush_is_held_back(self, flows: int) -> None:
        network = Network()
        for number in range(flows):
            network.call(opening(flow_key(number)))
        taken = [len(one.flows) for one in network.upstreams.values()]
        assert max(taken) <= 8
        assert sum(taken) == min(flows, 24)
        assert not network.resets
