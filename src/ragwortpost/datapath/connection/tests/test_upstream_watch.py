"""Tests of an agent's watch over the upstream beside it."""

from ragwortpost.datapath.connection import UpstreamWatch


class TestOpenings:
    """A silent upstream gets a new flow now and then only."""

    def test_one_that_answers_gets_all(self) -> None:
        watch = UpstreamWatch()
        for moment in range(10):
            assert not watch.ignores_openings(moment)
            watch.note_offer(moment, opens=True)
            watch.note_sign()

    def test_one_that_is_silent_gets_few(self) -> None:
        watch = UpstreamWatch()
        offered = 0
        for step in range(200):
            now = step / 100
            if not watch.ignores_openings(now):
                watch.note_offer(now, opens=True)
                offered += 1
        # Ten before it counts as silent, then four a second.
        assert offered <= 10 + 2 * 4

    def test_other_packets_need_no_prompt_answer(self) -> None:
        watch = UpstreamWatch()
        for moment in range(10):
            watch.note_offer(moment, opens=False)
        assert not watch.ignores_openings(10)


class TestGone:
    """An upstream that answers nothing at all is gone."""

    def test_after_several_packets_and_some_time(self) -> None:
        watch = UpstreamWatch()
        for _ in range(3):
            assert not watch.is_gone(5)
            watch.note_offer(0, opens=False)
        assert not watch.is_gone(0.1)
        assert watch.is_gone(0.3)

    def test_any_packet_shows_that_it_lives(self) -> None:
        watch = UpstreamWatch()
        for _ in range(5):
            watch.note_offer(0, opens=False)
        watch.note_sign()
        assert not watch.is_gone(10)
