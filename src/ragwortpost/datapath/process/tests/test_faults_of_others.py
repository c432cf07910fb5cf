"""Tests of faults that operators of other systems have seen.

Guards against a response that broke off and looks complete, work that runs
twice after a lost packet, flows that are cut off by a planned stop, and flows of
a silent process that are opened again elsewhere or reset.
"""

from dataclasses import replace

import pytest

from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version import Record
from ragwortpost.datapath.version.tests.documents import (
    at,
    upstream,
    upstream_record,
)

FLOW = flow_key()
SECOND_ENTRY = '10.0.1.2'


def open_flow(network: Network) -> str:
    """Open the flow, send a request, and return the upstream's host."""
    network.send_packet(opening_packet(FLOW))
    holder = network.holder(FLOW)
    network.send_request(FLOW, holder)
    return holder


def requests_at(network: Network, host: str) -> int:
    received = network.upstreams[host].received
    return sum(packet.length > 0 for packet in received)


class TestBrokenResponses:
    """A flow whose upstream is lost does not end as if it were complete."""

    @pytest.mark.parametrize('responds', [True, False])
    def test_it_is_reset_or_silent(self, responds: bool) -> None:
        network = Network()
        holder = open_flow(network)
        network.upstreams[holder].flows.clear()
        network.upstreams[holder].responds = responds
        document = next(one for one in network.documents if one.host == holder)
        network.publish(Record(f'upstream/{document.ident}', at(0), None))
        network.to_callers.clear()
        for _ in range(20):
            network.send_request(FLOW, holder)
            network.advance(0.2)
        assert not any(packet.finishes for packet in network.to_callers)
        assert not any(packet.length for packet in network.to_callers)


class TestLostReplies:
    """After a lost reply, a request reaches no second upstream."""

    def test_lost_acceptance_opens_a_flow_that_one_upstream_serves(
        self,
    ) -> None:
        # The first upstream's acceptance reaches the caller, and the agent's
        # reply to the entry is lost, so that the entry asks a second upstream.
        network = Network(upstream(1), upstream(2))
        for number, fake in enumerate(network.upstreams.values()):
            # The sequence numbers of their handshakes.
            fake.flows[FLOW] = 1000000 * (number + 1)
        network.losing_replies.update(network.upstreams)
        network.send_packet(opening_packet(FLOW))
        first = network.upstreams_reached(FLOW)[0]
        network.advance(0.2)
        assert len(network.upstreams_reached(FLOW)) == 2
        second = next(one for one in network.upstreams if one != first)
        network.losing_replies.clear()
        for _ in range(3):
            network.send_request(FLOW, first)
            network.advance(0.2)
        assert requests_at(network, first) >= 1
        assert not requests_at(network, second)
        assert not network.resets

    def test_opening_packet_repeated_through_another_entry(self) -> None:
        # The first entry opened the flow; the second finds no room for it.
        network = Network(upstream(1), upstream(2))
        holder = open_flow(network)
        for document in network.documents:
            if document.host == holder:
                leaving = replace(document, leaving=True)
                network.publish(upstream_record(0, leaving))
            else:
                network.upstreams[document.host].accepts = False
        network.add_entry(SECOND_ENTRY)
        repeated = make_packet(FLOW, opens=True, acknowledged=0, flow_age=0.2)
        network.send_packet(repeated, SECOND_ENTRY)
        for _ in range(10):
            network.send_request(FLOW, holder, SECOND_ENTRY)
            network.advance(0.2)
        assert not network.resets


class TestPlannedStops:
    """A stop cuts no flow that was just opened."""

    def test_of_an_agent_while_a_flow_is_opened(self) -> None:
        network = Network()
        for fake in network.upstreams.values():
            fake.responds = False
        network.send_packet(opening_packet(FLOW))
        asked = network.upstreams_reached(FLOW)[0]
        document = next(one for one in network.documents if one.host == asked)
        network.publish(upstream_record(0, replace(document, leaving=True)))
        for fake in network.upstreams.values():
            fake.responds = True
        # The caller's retransmission, and its request.
        network.send_packet(opening_packet(FLOW))
        holder = network.holder(FLOW)
        for _ in range(3):
            network.send_request(FLOW, holder)
            network.advance(0.2)
        assert requests_at(network, holder) == 3
        assert not network.resets

    def test_of_an_entry_while_a_flow_is_opened(self) -> None:
        network = Network()
        network.add_entry(SECOND_ENTRY)
        network.send_packet(opening_packet(FLOW), SECOND_ENTRY)
        holder = network.holder(FLOW)
        # The routers send all further packets to another entry.
        network.entry_nodes.pop(SECOND_ENTRY)
        for _ in range(3):
            network.send_request(FLOW, holder)
            network.advance(0.2)
        assert requests_at(network, holder) == 3
        assert not network.resets


class TestSilentProcesses:
    """Silence ends no flow and moves none."""

    @pytest.mark.parametrize('seconds', [1.0, 4.0, 12.0])
    def test_agent_is_unreachable_for_a_while(self, seconds: float) -> None:
        network = Network()
        holder = open_flow(network)
        network.unreachable.add(holder)
        network.add_entry(SECOND_ENTRY)
        for _ in range(int(seconds / 0.4)):
            network.send_request(FLOW, holder)
            network.send_request(FLOW, holder, SECOND_ENTRY)
            network.advance(0.4)
        network.unreachable.clear()
        network.advance(0.2)
        network.to_callers.clear()
        for entry in (ENTRY, SECOND_ENTRY):
            network.send_request(FLOW, holder, entry)
        assert network.upstreams_reached(FLOW) == [holder]
        assert any(packet.length for packet in network.to_callers)
        assert not network.resets

    def test_upstream_is_silent_for_a_while(self) -> None:
        network = Network()
        holder = open_flow(network)
        network.upstreams[holder].responds = False
        network.add_entry(SECOND_ENTRY)
        for _ in range(20):
            network.send_request(FLOW, holder)
            network.send_request(FLOW, holder, SECOND_ENTRY)
            network.advance(0.2)
        network.upstreams[holder].responds = True
        network.to_callers.clear()
        network.send_request(FLOW, holder, SECOND_ENTRY)
        assert network.upstreams_reached(FLOW) == [holder]
        assert any(packet.length for packet in network.to_callers)

    def test_agent_is_suspended(self) -> None:
        network = Network()
        holder = open_flow(network)
        network.stall(20.0)
        for _ in range(3):
            network.send_request(FLOW, holder)
            network.advance(0.2)
        assert network.upstreams_reached(FLOW) == [holder]
        assert not network.resets
