"""Tests of the selection of an upstream for a new flow, in an entry.

Guards against flows at a loaded, remote or unresponsive upstream while a better
one has room, and against one upstream that gets all flows after a mass restart.
"""

import random
from dataclasses import replace

import pytest

from ragwortpost.datapath.connection import (
    Candidate,
    backlog_limit,
    load_score,
    select_local_first,
    select_upstream,
    slowdown,
)

SERVICE_SECONDS = 0.035
SLOTS = 3
FLOWS = 300
IDLE = Candidate('10.0.0.1', True, 0, 2, False, False)


def other(**changes: object) -> Candidate:
    return replace(IDLE, agent='10.0.0.2', **changes)  # type: ignore[arg-type]


class TestSelection:
    """Which candidate is selected."""

    @pytest.mark.parametrize(
        ('worse', 'better'),
        [
            (replace(IDLE, load=1), other()),
            (replace(IDLE, is_local=False), other()),
            (replace(IDLE, is_local=False), other(load=0.5)),
            (other(load=3), replace(IDLE, is_local=False)),
            (replace(IDLE, warming_up=True), other()),
            (
                replace(IDLE, agent_unresponsive=True),
                other(load=7, is_local=False),
            ),
            (replace(IDLE, load=2, slots=2), other(load=2, slots=4)),
        ],
    )
    def test_the_lower_load_score_wins(
        self,
        worse: Candidate,
        better: Candidate,
    ) -> None:
        assert select_upstream([worse, better], (), random.Random(1)) == better

    def test_a_tried_upstream_is_not_selected_again(self) -> None:
        assert select_upstream([IDLE], [IDLE.agent], random.Random(1)) is None

    def test_an_upstream_with_a_full_queue_is_not_selected(self) -> None:
        full = replace(IDLE, load=backlog_limit(IDLE.slots))
        assert select_upstream([full], (), random.Random(1)) is None

    def test_equal_candidates_share_the_flows(self) -> None:
        rng = random.Random(1)
        chosen = {select_upstream([IDLE, other()], (), rng) for _ in range(50)}
        assert chosen == {IDLE, other()}


class TestSlowUpstreams:
    """A slow upstream gets what it can finish in time."""

    def test_its_load_counts_for_what_others_finish_meanwhile(self) -> None:
        slow = replace(IDLE, load=0, slowdown=5.0)
        busy = other(load=6)
        assert select_upstream([slow, busy], (), random.Random(1)) == busy

    def test_it_is_selected_when_the_others_have_no_room(self) -> None:
        slow = replace(IDLE, slowdown=5.0)
        full = other(load=backlog_limit(IDLE.slots))
        assert select_upstream([slow, full], (), random.Random(1)) == slow

    @pytest.mark.parametrize(
        ('pace', 'factor'), [(0, 1), (0.02, 1), (0.03, 1), (0.06, 3)]
    )
    def test_only_clearly_slower_ones_are_slow(
        self, pace: float, factor: float
    ) -> None:
        assert slowdown(pace, 0.02) == pytest.approx(factor)

    def test_without_a_median_none_is_slow(self) -> None:
        assert slowdown(9, 0) == 1

    @pytest.mark.parametrize(
        ('pace', 'target', 'limit'),
        [
            (0, 0.1, 4),
            (0.01, 0.1, 4),
            (0.04, 0.1, 2),
            (0.5, 0.1, 1),
            (0.5, 4.0, 4),
        ],
    )
    def test_the_target_bounds_its_backlog(
        self, pace: float, target: float, limit: int
    ) -> None:
        assert backlog_limit(1, pace, target) == limit

    def test_urgent_flows_have_a_reserve(self) -> None:
        assert backlog_limit(2, urgent=True) > backlog_limit(2)
        assert backlog_limit(2, 0.5, 0.1, urgent=True) == 2


class TestLocalFirst:
    """Remote candidates are computed only if they could win."""

    @pytest.mark.parametrize('load', range(9))
    def test_the_score_equals_that_of_a_selection_among_all(
        self, load: int
    ) -> None:
        local = [replace(IDLE, load=load), other(load=load + 1)]
        remote = [
            replace(IDLE, agent=f'10.1.0.{number}', is_local=False, load=number)
            for number in range(4)
        ]
        for seed in range(20):
            rng = random.Random(seed)
            found = select_local_first(local, lambda: remote, (), rng)
            everywhere = select_upstream(
                [*local, *remote], (), random.Random(seed)
            )
            assert found is not None
            assert everywhere is not None
            assert load_score(found) == load_score(everywhere)

    def test_remote_candidates_are_not_computed_for_an_idle_local_one(
        self,
    ) -> None:
        def compute_remote() -> list[Candidate]:
            raise AssertionError('remote candidates computed')

        assert (
            select_local_first([IDLE], compute_remote, (), random.Random(1))
            == IDLE
        )


class TestMassRestart:
    """The load after a mass restart: 300 flows at once, 7 upstreams.

    A request takes 35 ms in one of 3 slots. Flows that find all queues full
    wait and are assigned as responses make room.
    """

    def simulate(self, *, bounded: bool) -> tuple[int, float]:
        """Return the longest queue and the seconds to the last response."""
        rng = random.Random(7)
        loads = dict.fromkeys(range(7), 0)
        waiting, longest, now = FLOWS, 0, 0.0
        while waiting or any(loads.values()):
            while waiting:
                candidates = [
                    Candidate(str(one), True, load, SLOTS, True, False)
                    for one, load in loads.items()
                ]
                chosen = select_upstream(candidates, (), rng)
                if chosen is None and bounded:
                    break
                # Otherwise the first upstream gets all flows, as in an earlier
                # version that hashed them over the running upstreams.
                one = int(chosen.agent) if bounded and chosen else 0
                loads[one] += 1
                waiting -= 1
                longest = max(longest, loads[one])
            now += SERVICE_SECONDS
            for one, load in loads.items():
                loads[one] = max(0, load - SLOTS)
        return longest, now

    def test_no_queue_exceeds_the_backlog_limit(self) -> None:
        longest, last = self.simulate(bounded=True)
        assert longest <= backlog_limit(SLOTS)
        assert last < 0.8

    def test_without_the_limit_the_first_upstream_gets_all(self) -> None:
        longest, last = self.simulate(bounded=False)
        assert longest == FLOWS
        assert last > 0.8
