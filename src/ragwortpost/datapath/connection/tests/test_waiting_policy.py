"""Tests of how long new flows wait for an upstream with room.

Guards against callers that are held until they give up, against flows that are
refused while their turn would come in time, and against a burst beside a slow
upstream that more urgent requests do not survive.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from ragwortpost.datapath.connection import (
    AdmissionRate,
    Candidate,
    Congestion,
    WaitLimits,
    backlog_limit,
    max_wait,
    select_upstream,
    should_refuse,
    slowdown,
)
from ragwortpost.datapath.connection._waiting_policy import LASTING_SECONDS

LIMITS = WaitLimits(timeout=0.6, target=0.12)
SHORT = Congestion(0.1, None)
# The simulated upstreams: slots, requests that they queue before they shed, and
# the mean milliseconds that they take for each.
SLOTS = 1
QUEUE = 8
MEAN_WORK_MS = 16
# The length of the simulation in milliseconds, and the new flows that arrive in
# each of them on average.
STEPS = 6000
NEW_FLOWS = 0.2
LASTING = Congestion(2.0, None)


class TestShouldRefuse:
    """A flow is refused once its turn comes too late."""

    def test_a_short_congestion_is_waited_out(self) -> None:
        assert not should_refuse(LIMITS, 0.3, 0, SHORT)
        assert should_refuse(LIMITS, 0.37, 0, SHORT)

    def test_in_a_lasting_one_the_target_limits_the_wait(self) -> None:
        assert not should_refuse(LIMITS, 0.02, 0, LASTING)
        assert should_refuse(LIMITS, 0.03, 0, LASTING)

    def test_a_turn_that_comes_too_late_is_refused_at_once(self) -> None:
        slow, fast = Congestion(2.0, 10.0), Congestion(2.0, 1000.0)
        assert should_refuse(LIMITS, 0, 0, slow)
        assert not should_refuse(LIMITS, 0, 0, fast)
        assert should_refuse(LIMITS, 0, 40, fast)

    def test_callers_abandon_an_opening_after_a_while(self) -> None:
        assert max_wait(WaitLimits(timeout=9, target=9)) < 1.4


class TestAdmissionRate:
    """Flows that wait show the rate at which upstreams take flows."""

    def test_unknown_without_waiting_flows(self) -> None:
        rate = AdmissionRate()
        for step in range(50):
            rate.record(10 + step / 50)
        assert rate.congestion(11) == Congestion(0, None)

    def test_flows_admitted_while_others_wait(self) -> None:
        rate = AdmissionRate()
        rate.set_congested(10, congested=True)
        for step in range(1, 21):
            rate.record(10 + step / 40)
        measured = rate.congestion(10.5)
        assert measured.seconds == pytest.approx(0.5)
        assert measured.rate == pytest.approx(40)

    def test_a_new_congestion_starts_from_nothing(self) -> None:
        rate = AdmissionRate()
        rate.set_congested(10, congested=True)
        for _ in range(20):
            rate.record(10.1)
        rate.set_congested(10.2, congested=False)
        rate.set_congested(10.3, congested=True)
        assert rate.congestion(10.4).rate is None


@dataclass
class SimulatedUpstream:
    """An upstream with one slot and a queue, in steps of a millisecond."""

    # Milliseconds that it takes for a request, on average.
    work_ms: float
    # Arrival times of the queued requests, and whether each is urgent.
    queue: deque[tuple[int, bool]] = field(default_factory=deque)
    # Milliseconds of work left on the first request.
    left_ms: float = 0

    def step(self, now: int, rng: random.Random) -> tuple[int, bool] | None:
        """Work for a millisecond; return a request that is finished."""
        if not self.queue:
            return None
        if self.left_ms <= 0:
            self.left_ms = self.work_ms * rng.uniform(0.5, 1.5)
        self.left_ms -= 1
        return self.queue.popleft() if self.left_ms <= 0 else None


@dataclass
class Outcome:
    """What the callers of new flows got."""

    in_target: int = 0
    late: int = 0
    refused_after_ms: list[int] = field(default_factory=list)


class TestBurstBesideSlowUpstream:
    """The load: a burst of callers while one of seven upstreams is slow.

    Requests on open flows can't be refused and take most of the capacity; new
    flows carry one urgent request each. Together they exceed the capacity.
    """

    def simulate(self, seed: int, *, by_pace: bool) -> Outcome:
        """Run the load; without ``by_pace``, as in the version before.

        That one placed flows by the number of requests only, and let each flow
        wait for 0.6 of its timeout.
        """
        rng = random.Random(seed)
        upstreams = [SimulatedUpstream(MEAN_WORK_MS) for _ in range(7)]
        upstreams[0].work_ms *= 8
        waiting: list[int] = []
        rate, outcome = AdmissionRate(), Outcome()
        for now in range(STEPS):
            for upstream in upstreams:
                if rng.random() < 0.045 and len(upstream.queue) < QUEUE:
                    upstream.queue.append((now, False))
                finished = upstream.step(now, rng)
                if finished is not None and finished[1]:
                    self.count(outcome, now - finished[0])
            if rng.random() < NEW_FLOWS:
                waiting.append(now)
            waiting = self.place(
                now, waiting, upstreams, rate, outcome, by_pace
            )
        return outcome

    def place(
        self,
        now: int,
        waiting: Sequence[int],
        upstreams: Sequence[SimulatedUpstream],
        rate: AdmissionRate,
        outcome: Outcome,
        by_pace: bool,
    ) -> list[int]:
        still_waiting: list[int] = []
        for started in waiting:
            chosen = None
            if not still_waiting:
                candidates = self.candidates(upstreams, by_pace=by_pace)
                chosen = select_upstream(candidates, (), random.Random(now))
            waited = (now - started) / 1000
            if chosen is not None:
                upstreams[int(chosen.agent)].queue.append((started, True))
                rate.record(now / 1000)
            elif self.refuses(now, waited, len(still_waiting), rate, by_pace):
                outcome.refused_after_ms.append(now - started)
            else:
                still_waiting.append(started)
        rate.set_congested(now / 1000, congested=bool(still_waiting))
        return still_waiting

    def refuses(
        self,
        now: int,
        waited: float,
        ahead: int,
        rate: AdmissionRate,
        by_pace: bool,
    ) -> bool:
        if by_pace:
            congestion = rate.congestion(now / 1000)
            return should_refuse(LIMITS, waited, ahead, congestion)
        return waited >= max_wait(LIMITS)

    def candidates(
        self, upstreams: Sequence[SimulatedUpstream], *, by_pace: bool
    ) -> list[Candidate]:
        paces = [upstream.work_ms / 1000 for upstream in upstreams]
        median = sorted(paces)[len(paces) // 2]
        return [
            Candidate(
                agent=str(number),
                is_local=True,
                load=len(upstream.queue),
                slots=SLOTS,
                warming_up=False,
                agent_unresponsive=False,
                slowdown=slowdown(pace, median) if by_pace else 1,
                limit=backlog_limit(SLOTS, pace, LIMITS.target, urgent=True)
                if by_pace
                else None,
            )
            for number, (upstream, pace) in enumerate(
                zip(upstreams, paces, strict=True)
            )
        ]

    def count(self, outcome: Outcome, milliseconds: int) -> None:
        if milliseconds <= LIMITS.target * 1000:
            outcome.in_target += 1
        elif milliseconds <= LIMITS.timeout * 1000:
            outcome.late += 1

    @pytest.mark.parametrize('seed', range(5))
    def test_more_urgent_requests_are_answered_in_time(self, seed: int) -> None:
        before = self.simulate(seed, by_pace=False)
        after = self.simulate(seed, by_pace=True)
        assert after.in_target > before.in_target

    @pytest.mark.parametrize('seed', range(5))
    def test_what_is_refused_is_refused_within_the_target(
        self, seed: int
    ) -> None:
        before = self.simulate(seed, by_pace=False)
        after = self.simulate(seed, by_pace=True)
        held = [
            waited
            for waited in after.refused_after_ms
            if waited > LIMITS.target * 1000
        ]
        # Only the first flows of a congestion may wait longer.
        assert len(held) <= LASTING_SECONDS * 1000 * NEW_FLOWS
        assert sum(after.refused_after_ms) < sum(before.refused_after_ms)
