"""Tests of an agent's admission of new flows.

Guards against too many flows at an upstream that is full or warming up, and
new flows at one that is leaving, which entries with an old view may send.
"""

from dataclasses import replace

import pytest

from ragwortpost.datapath.connection import Admission, AdmissionInputs, Refusal

WARM = AdmissionInputs(
    leaving=False,
    data_centre_drained=False,
    upstream_unresponsive=False,
    warm_up_rate=None,
    connection_limit=10,
    backlog_limit=4,
)


class TestRefusals:
    """Which inputs lead to which refusal, or to none."""

    @pytest.mark.parametrize(
        ('inputs', 'held', 'load', 'refusal'),
        [
            (WARM, 0, 0, None),
            (WARM, 9, 3, None),
            (WARM, 10, 0, Refusal.FULL),
            (WARM, 0, 4, Refusal.BUSY),
            (replace(WARM, leaving=True), 0, 0, Refusal.LEAVING),
            (
                replace(WARM, data_centre_drained=True),
                0,
                0,
                Refusal.DATA_CENTRE_DRAINED,
            ),
        ],
    )
    def test_inputs_decide(
        self,
        inputs: AdmissionInputs,
        held: int,
        load: int,
        refusal: Refusal | None,
    ) -> None:
        assert Admission().decide(inputs, held, load, 0) is refusal


class TestWarmUp:
    """The rate of new flows is limited while an upstream warms up."""

    @pytest.mark.parametrize('rate', [0.5, 1, 3, 8.7])
    def test_any_second_admits_at_most_the_rate(self, rate: float) -> None:
        admission = Admission()
        warming_up = replace(WARM, warm_up_rate=rate)
        times = [step / 100 for step in range(500)]
        admitted = [
            now
            for now in times
            if admission.decide(warming_up, 0, 0, now) is None
        ]
        for start in admitted:
            window = [one for one in admitted if start <= one < start + 1]
            assert len(window) <= max(1, int(rate))

    def test_refused_flows_do_not_count_towards_the_rate(self) -> None:
        admission = Admission()
        warming_up = replace(WARM, warm_up_rate=1)
        busy = replace(warming_up, backlog_limit=0)
        assert admission.decide(busy, 0, 0, 0) is Refusal.BUSY
        assert admission.decide(warming_up, 0, 0, 0) is None
        assert admission.decide(warming_up, 0, 0, 0.5) is Refusal.WARMING_UP
        assert admission.decide(warming_up, 0, 0, 1.5) is None
