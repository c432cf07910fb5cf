"""Tests of an agent's tracking of its upstream's flows.

Guards against an agent that denies a flow its upstream holds, or claims one
that the caller opened at another upstream, and against requests that stay in
the load after they ended.
"""

import pytest

from ragwortpost.datapath.connection import HeldFlows, Ownership
from ragwortpost.datapath.connection.tests.packets import (
    accepting_packet,
    flow_key,
    make_packet,
)

FLOW = flow_key()
IDLE_SECONDS = 30.0


def held_flows(*, complete: bool = True) -> HeldFlows:
    return HeldFlows(complete, IDLE_SECONDS)


class TestOwnership:
    """Whether the upstream holds the flow of a caller's packet."""

    def test_an_unknown_flow_is_not_held(self) -> None:
        assert (
            held_flows().on_caller_packet(make_packet(FLOW), 0)
            is Ownership.NOT_HELD
        )

    def test_an_unknown_flow_may_predate_a_restarted_agent(self) -> None:
        flows = held_flows(complete=False)
        assert flows.on_caller_packet(make_packet(FLOW), 0) is Ownership.UNKNOWN

    def test_a_returned_packet_marks_the_flow_as_not_held(self) -> None:
        flows = held_flows(complete=False)
        flows.on_returned_packet(make_packet(FLOW), 0)
        assert (
            flows.on_caller_packet(make_packet(FLOW), 1) is Ownership.NOT_HELD
        )

    def test_a_packet_of_the_upstream_marks_the_flow_as_held(self) -> None:
        flows = held_flows(complete=False)
        assert flows.on_upstream_packet(make_packet(FLOW, length=9), 0)
        assert flows.on_caller_packet(make_packet(FLOW), 1) is Ownership.HELD

    @pytest.mark.parametrize(
        ('acknowledged', 'ownership'),
        [
            (501, Ownership.HELD),
            (2000, Ownership.HELD),
            (500, Ownership.NOT_HELD),
            (499, Ownership.NOT_HELD),
            (1 << 31, Ownership.NOT_HELD),
        ],
    )
    def test_a_handshake_accepted_by_two_upstreams(
        self,
        acknowledged: int,
        ownership: Ownership,
    ) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW, sequence=500), 0)
        packet = make_packet(FLOW, acknowledged=acknowledged)
        assert flows.on_caller_packet(packet, 0) is ownership

    def test_sequence_numbers_wrap_around(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(
            accepting_packet(FLOW, sequence=(1 << 32) - 1), 0
        )
        packet = make_packet(FLOW, acknowledged=0)
        assert flows.on_caller_packet(packet, 0) is Ownership.HELD


class TestLoad:
    """The number of requests in progress and of expected ones."""

    def test_a_request_counts_until_its_response_starts(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        flows.on_caller_packet(make_packet(FLOW, length=50), 0)
        assert flows.load(1) == 1
        flows.on_upstream_packet(make_packet(FLOW, length=90), 0)
        assert flows.load(1) == 0

    def test_an_accepted_flow_counts_before_its_first_request(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        assert flows.load(0.1) == 1
        assert flows.load(0.5) == 0

    def test_an_abandoned_flow_does_not_affect_others(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        for number in range(1, 4):
            used = flow_key(number)
            flows.on_upstream_packet(accepting_packet(used), 0)
            flows.on_caller_packet(make_packet(used, length=50), 0.01)
            flows.on_upstream_packet(make_packet(used, length=90), 0.02)
        assert flows.load(0.02) == 1

    def test_the_timeout_follows_observed_delays(self) -> None:
        flows = held_flows()
        for number in range(1, 30):
            used = flow_key(number)
            flows.on_upstream_packet(accepting_packet(used), number)
            flows.on_caller_packet(make_packet(used), number + 0.01)
        flows.on_upstream_packet(accepting_packet(FLOW), 50)
        assert flows.load(50.015) == 1
        assert flows.load(50.03) == 0

    def test_a_reset_flow_does_not_count(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        flows.on_caller_packet(make_packet(FLOW, length=50), 0)
        flows.on_caller_packet(make_packet(FLOW, resets=True), 0)
        assert flows.load(1) == 0

    def test_a_returned_packet_ends_its_request(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        flows.on_caller_packet(make_packet(FLOW, length=50), 0)
        assert flows.on_returned_packet(make_packet(FLOW), 0) is not None
        assert flows.load(1) == 0


class TestExpiry:
    """Removal of idle flows."""

    def test_an_idle_flow_is_removed(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        flows.expire(IDLE_SECONDS + 1)
        assert len(flows) == 0

    def test_an_active_flow_stays(self) -> None:
        flows = held_flows()
        flows.on_upstream_packet(accepting_packet(FLOW), 0)
        flows.on_caller_packet(make_packet(FLOW), IDLE_SECONDS)
        flows.expire(IDLE_SECONDS + 1)
        assert len(flows) == 1
