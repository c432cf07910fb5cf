"""Tests of an entry's queue of waiting flows and of its demands.

Guards against a flow that is served before a more urgent or an earlier one,
callers that lose their place by a refusal, and demands sent too often.
"""

import random
from itertools import pairwise

from ragwortpost.datapath.connection import (
    Candidate,
    Demand,
    DemandSchedule,
    LoadIndex,
    RefusalPauses,
    RefusalTimes,
    RefusedCallers,
    WaitingQueue,
    select_upstream,
)
from ragwortpost.datapath.connection._refusal_pauses import (
    FORGET_AFTER_SECONDS,
)
from ragwortpost.datapath.connection.tests.packets import flow_key

FLOWS = [flow_key(number) for number in range(5)]


class TestOrder:
    """Urgent flows come first, and then those with the earliest deadline."""

    def queue(self) -> WaitingQueue:
        queue = WaitingQueue()
        priorities, deadlines = (2, 2, 1, 1, 2), (0.1, 0.3, 0.9, 0.8, 0.1)
        for number, flow in enumerate(FLOWS):
            queue.add(flow, priorities[number], (deadlines[number], number))
        return queue

    def test_each_flow_has_its_turn(self) -> None:
        queue, order = self.queue(), []
        while len(queue):
            flow = queue.first()
            assert flow is not None
            queue.remove(flow)
            order.append(FLOWS.index(flow))
        assert order == [3, 2, 0, 4, 1]

    def test_flows_that_miss_their_target_come_last(self) -> None:
        # In an overload, every flow would otherwise wait until it is overdue.
        queue = WaitingQueue()
        for number, flow in enumerate(FLOWS[:3]):
            queue.add(flow, 1, (number, number), overdue_at=number + 0.5)
        assert queue.first(0) == FLOWS[0]
        assert queue.first(1) == FLOWS[1]
        assert queue.ahead(1, (0, 0)) == 2
        assert queue.ahead(1, (9, 9)) == 2
        queue.remove(FLOWS[1])
        queue.remove(FLOWS[2])
        assert queue.first(1) == FLOWS[0]
        queue.remove(FLOWS[0])
        assert queue.first(1) is None

    def test_the_flows_before_a_new_one_are_counted(self) -> None:
        queue = self.queue()
        assert queue.ahead(2, (0.1, 9)) == 2
        assert queue.ahead(2, (0.05, 9)) == 0
        assert queue.ahead(1, (1.0, 9)) == 2
        assert queue.has_before(1)
        assert not queue.has_before(0)

    def test_agents_are_told_the_first_turn(self) -> None:
        queue = self.queue()
        assert queue.demand() == Demand(5, 1, 0.8)
        assert queue.counts == {1: 2, 2: 3}
        assert WaitingQueue().demand() is None


class TestRefusals:
    """When flows are refused, and the place of callers that return."""

    def test_only_the_latest_time_of_a_flow_counts(self) -> None:
        times = RefusalTimes()
        for flow, at in zip(FLOWS, (1, 2, 3, 4, 5), strict=True):
            times.schedule(flow, at)
        times.schedule(FLOWS[0], 6)
        times.remove(FLOWS[1])
        assert list(times.pop_due(3.5)) == [FLOWS[2]]
        assert list(times.pop_due(9)) == [FLOWS[3], FLOWS[4], FLOWS[0]]

    def test_a_caller_that_returns_keeps_the_time_of_its_first_attempt(
        self,
    ) -> None:
        refused = RefusedCallers()
        refused.record(FLOWS[0], 10, 10.5)
        assert refused.arrival(FLOWS[1], 11) == 10
        assert refused.arrival(FLOWS[2], 11) == 11

    def test_but_not_for_long(self) -> None:
        refused = RefusedCallers()
        refused.record(FLOWS[0], 10, 11.5)
        assert refused.arrival(FLOWS[1], 12.1) == 12.1


class TestDemandSchedule:
    """A demand is sent when it changes, and not too often."""

    def test_changes_wait_for_the_interval(self) -> None:
        schedule = DemandSchedule()
        sent = [
            now
            for now in range(0, 1000, 20)
            if list(schedule.due('a', Demand(now, 0, 9), now / 1000))
        ]
        gaps = [later - earlier for earlier, later in pairwise(sent)]
        assert min(gaps) >= 100
        assert max(gaps) <= 120

    def test_an_unchanged_demand_is_repeated(self) -> None:
        schedule = DemandSchedule()
        sent = [
            now
            for now in range(0, 1000, 20)
            if list(schedule.due('a', Demand(1, 0, 9), now / 1000))
        ]
        assert sent == [0, 300, 600, 900]

    def test_it_is_withdrawn_once(self) -> None:
        schedule = DemandSchedule()
        assert list(schedule.due('a', Demand(1, 0, 9), 0)) == ['a']
        assert [schedule.withdraw('a') for _ in range(2)] == [True, False]
        assert not schedule.withdraw('b')

    def test_agents_that_dropped_the_demand_are_forgotten(self) -> None:
        # Addresses of agents that have left would otherwise stay for ever.
        schedule = DemandSchedule()
        for number in range(100):
            list(schedule.due([f'agent {number}'], Demand(1, 0, 9), number))
        assert len(schedule) == 1


class TestRefusalPauses:
    """Pauses get longer with each refusal, and are forgotten."""

    def test_agents_without_refusals_are_forgotten(self) -> None:
        pauses = RefusalPauses()
        for number in range(100):
            pauses.record(f'agent {number}', number)
        assert len(pauses) <= FORGET_AFTER_SECONDS + 2
        assert pauses.is_paused('agent 99', 99)


class TestLoadIndex:
    """The index selects what a walk over all candidates selects."""

    def test_after_any_updates(self) -> None:
        rng = random.Random(2)
        index, known = LoadIndex(rng), {}
        for _ in range(2000):
            agent = str(rng.randrange(20))
            known[agent] = Candidate(
                agent, rng.random() < 0.5, rng.randrange(9), 2, False, False
            )
            index.put(known[agent])
            tried = [str(rng.randrange(20)) for _ in range(3)]
            best = index.best(tried)
            expected = select_upstream(list(known.values()), tried, rng)
            if expected is None or best is None:
                assert best is expected
                continue
            assert best.agent not in tried
            assert known[best.agent] == best
            expected_score = (expected.load, expected.is_local)
            if (best.load, best.is_local) != expected_score:
                # Equal scores of a remote and of a local candidate.
                assert best.load + (not best.is_local) == (
                    expected.load + (not expected.is_local)
                )
