"""Tests of callers that use the address and port of an ended flow again.

Guards against packets of the new flow that are delivered to the upstream of the
old one, against its reset by an agent that still remembers the old flow, and
against an upstream that gets a new flow although it is leaving.
"""

from dataclasses import replace

import pytest

from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version.tests.documents import (
    upstream,
    upstream_record,
)

FLOW = flow_key()
SECOND_ENTRY = '10.0.1.2'
THIRD_ENTRY = '10.0.1.3'


def open_flow(network: Network, entry: str, *, but_not_at: str = '') -> str:
    """Open the flow, send a request, and return the upstream's host."""
    known = {
        host for host, fake in network.upstreams.items() if FLOW in fake.flows
    }
    network.send_packet(opening_packet(FLOW), entry)
    holder = next(
        host
        for host, fake in network.upstreams.items()
        if FLOW in fake.flows and host not in known
    )
    assert holder != but_not_at
    network.send_request(FLOW, holder, entry)
    return holder


def end_flow(network: Network, holder: str, by: str) -> None:
    fake = network.upstreams[holder]
    if by == 'caller':
        network.send_packet(make_packet(FLOW, resets=True))
    else:
        fake.send(make_packet(FLOW, finishes=True))
    fake.flows.pop(FLOW)


def reopen_elsewhere(network: Network, by: str) -> tuple[str, str]:
    """Let a flow end, and open one with the same key at another upstream.

    The first upstream is leaving. Returns the hosts of both.
    """
    network.add_entry(SECOND_ENTRY)
    network.add_entry(THIRD_ENTRY)
    first = open_flow(network, ENTRY)
    end_flow(network, first, by)
    document = next(one for one in network.documents if one.host == first)
    network.publish(upstream_record(0, replace(document, leaving=True)))
    second = open_flow(network, SECOND_ENTRY, but_not_at=first)
    network.to_callers.clear()
    return first, second


@pytest.mark.parametrize('by', ['caller', 'upstream'])
@pytest.mark.parametrize('entry', [ENTRY, SECOND_ENTRY, THIRD_ENTRY])
class TestNewFlowAtAnotherUpstream:
    """Its packets reach its own upstream through every entry."""

    def test_of_few(self, by: str, entry: str) -> None:
        self.check(Network(), by, entry)

    def test_of_many(self, by: str, entry: str) -> None:
        self.check(Network(*(upstream(one) for one in range(1, 21))), by, entry)

    def test_after_a_late_copy_of_the_old_response(
        self, by: str, entry: str
    ) -> None:
        network = Network()
        first, second = reopen_elsewhere(network, by)
        late = make_packet(FLOW, length=10)
        network.upstreams[first].send(late)
        assert network.to_callers.pop().raw == late.raw
        self.check_requests(network, second, entry)

    def check(self, network: Network, by: str, entry: str) -> None:
        _, second = reopen_elsewhere(network, by)
        self.check_requests(network, second, entry)

    def check_requests(self, network: Network, holder: str, entry: str) -> None:
        """Check that the caller's first retransmission is answered."""
        for _ in range(2):
            network.send_request(FLOW, holder, entry)
            network.advance(0.2)
        assert not network.resets
        assert network.to_callers
        reached = len(network.upstreams[holder].received)
        network.send_request(FLOW, holder, entry)
        assert len(network.upstreams[holder].received) == reached + 1


def test_new_flow_is_not_opened_at_an_upstream_that_leaves() -> None:
    network = Network()
    first = open_flow(network, ENTRY)
    end_flow(network, first, 'caller')
    document = next(one for one in network.documents if one.host == first)
    network.publish(upstream_record(0, replace(document, leaving=True)))
    for _ in range(2):
        # Its retransmission, where the cache of the entry is outdated.
        network.send_packet(opening_packet(FLOW))
        network.advance(0.2)
    assert network.holder(FLOW) != first


def test_new_flow_at_the_same_upstream_is_one_with_its_own_handshake() -> None:
    network = Network(upstream(1))
    holder = open_flow(network, ENTRY)
    end_flow(network, holder, 'caller')
    fake = network.upstreams[holder]
    network.send_packet(opening_packet(FLOW))
    fake.flows[FLOW] = 7000
    network.send_packet(opening_packet(FLOW))
    network.to_callers.clear()
    for acknowledged, is_answered in ((90000000, False), (7001, True)):
        network.send_packet(
            make_packet(FLOW, length=20, acknowledged=acknowledged)
        )
        answers = [one for one in network.to_callers if one.length]
        assert bool(answers) is is_answered
