"""Tests of an agent's decision on new flows."""

from dataclasses import replace

import pytest

from ragwortpost.datapath.connection import Admission, Refusal, Standing

WARM = Standing(
    leaving=False,
    taken_out=False,
    silent=False,
    cold_rate=None,
    connection_limit=10,
    backlog_limit=4,
)


class TestRefusals:
    """Each reason to refuse."""

    @pytest.mark.parametrize(
        ('standing', 'held', 'load', 'refusal'),
        [
            (WARM, 0, 0, None),
            (WARM, 9, 3, None),
            (WARM, 10, 0, Refusal.FULL),
            (WARM, 0, 4, Refusal.BUSY),
            (replace(WARM, leaving=True), 0, 0, Refusal.LEAVING),
            (replace(WARM, taken_out=True), 0, 0, Refusal.TAKEN_OUT),
        ],
    )
    def test_standing_decides(
        self,
        standing: Standing,
        held: int,
        load: int,
        refusal: Refusal | None,
    ) -> None:
        assert Admission().decide(standing, held, load, 0) is refusal


class TestColdUpstream:
    """The rush on an upstream that has just started."""

    @pytest.mark.parametrize('rate', [0.5, 1, 3, 8.7])
    def test_no_second_sees_more_than_the_rate(self, rate: float) -> None:
        admission = Admission()
        cold = replace(WARM, cold_rate=rate)
        moments = [step / 100 for step in range(500)]
        admitted = [
            moment
            for moment in moments
            if admission.decide(cold, 0, 0, moment) is None
        ]
        for start in admitted:
            window = [one for one in admitted if start <= one < start + 1]
            assert len(window) <= max(1, int(rate))

    def test_refused_flows_use_up_nothing(self) -> None:
        admission = Admission()
        cold = replace(WARM, cold_rate=1)
        busy = replace(cold, backlog_limit=0)
        assert admission.decide(busy, 0, 0, 0) is Refusal.BUSY
        assert admission.decide(cold, 0, 0, 0) is None
        assert admission.decide(cold, 0, 0, 0.5) is Refusal.COLD
        assert admission.decide(cold, 0, 0, 1.5) is None
