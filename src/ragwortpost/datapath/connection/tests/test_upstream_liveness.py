"""Tests of an agent's watch over the upstream beside it."""

from ragwortpost.datapath.connection import UpstreamLiveness


class TestNewFlows:
    """A silent upstream gets a new flow now and then only."""

    def test_one_that_answers_gets_all(self) -> None:
        liveness = UpstreamLiveness()
        for moment in range(10):
            assert not liveness.withholds_new_flow(moment)
            liveness.record_delivery(moment, opens=True)
            liveness.record_response()

    def test_one_that_is_silent_gets_few(self) -> None:
        liveness = UpstreamLiveness()
        delivered = 0
        for step in range(200):
            now = step / 100
            if not liveness.withholds_new_flow(now):
                liveness.record_delivery(now, opens=True)
                delivered += 1
        # Ten before it counts as silent, then four a second.
        assert delivered <= 10 + 2 * 4

    def test_other_packets_need_no_prompt_answer(self) -> None:
        liveness = UpstreamLiveness()
        for moment in range(10):
            liveness.record_delivery(moment, opens=False)
        assert not liveness.withholds_new_flow(10)


class TestDead:
    """An upstream that answers nothing at all is gone."""

    def test_after_several_packets_and_some_time(self) -> None:
        liveness = UpstreamLiveness()
        for _ in range(3):
            assert not liveness.is_dead(5)
            liveness.record_delivery(0, opens=False)
        assert not liveness.is_dead(0.1)
        assert liveness.is_dead(0.3)

    def test_any_packet_shows_that_it_lives(self) -> None:
        liveness = UpstreamLiveness()
        for _ in range(5):
            liveness.record_delivery(0, opens=False)
        liveness.record_response()
        assert not liveness.is_dead(10)
