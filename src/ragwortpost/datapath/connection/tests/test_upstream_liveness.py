"""Tests of the detection of an unresponsive upstream, in an agent.

Guards against a crashed upstream beside a running agent that looks idle and
attracts new flows, and against a running one that is presumed to have stopped.
"""

from ragwortpost.datapath.connection import UpstreamLiveness


class TestNewFlows:
    """An unresponsive upstream gets new flows only as probes."""

    def test_a_responsive_upstream_gets_all_flows(self) -> None:
        liveness = UpstreamLiveness()
        for now in range(10):
            assert not liveness.should_skip_new_flow(now)
            liveness.record_delivery(now, opens=True)
            liveness.record_response()

    def test_an_unresponsive_upstream_gets_few_flows(self) -> None:
        liveness = UpstreamLiveness()
        delivered = 0
        for step in range(200):
            now = step / 100
            if not liveness.should_skip_new_flow(now):
                liveness.record_delivery(now, opens=True)
                delivered += 1
        # Ten before it counts as unresponsive, then four per second.
        assert delivered <= 10 + 2 * 4

    def test_other_packets_need_no_prompt_response(self) -> None:
        liveness = UpstreamLiveness()
        for now in range(10):
            liveness.record_delivery(now, opens=False)
        assert not liveness.should_skip_new_flow(10)


class TestStoppedResponding:
    """An upstream that responds to nothing is presumed not to run."""

    def test_only_after_several_deliveries_and_some_time(self) -> None:
        liveness = UpstreamLiveness()
        for _ in range(3):
            assert not liveness.has_stopped_responding(5)
            liveness.record_delivery(0, opens=False)
        assert not liveness.has_stopped_responding(0.1)
        assert liveness.has_stopped_responding(0.3)

    def test_any_packet_shows_that_it_is_alive(self) -> None:
        liveness = UpstreamLiveness()
        for _ in range(5):
            liveness.record_delivery(0, opens=False)
        liveness.record_response()
        assert not liveness.has_stopped_responding(10)
