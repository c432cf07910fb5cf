"""Plays a load without a network against the policy before room was granted.

Guards against grants that serve fewer callers than asking one agent after
another did, against refusals that come late, and against more opening packets.
"""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from ragwortpost.datapath.connection import (
    AdmissionRate,
    Demand,
    DemandSchedule,
    RefusalTimes,
    RoomGrants,
    WaitingQueue,
    WaitLimits,
    backlog_limit,
    grant_limit,
    max_wait,
    refusal_time,
    should_refuse,
)

LIMITS = WaitLimits(timeout=0.6, target=0.12)
LIMIT = backlog_limit(1)
UPSTREAMS, ENTRIES = 8, 4
MEAN_WORK_MS = 16
STEPS = 4000
TICK_MS = 20
DIGEST_MS = 700
MAX_OFFERS = 3
# A full agent is asked again after this time in the version before.
MAX_LOAD_AGE_MS = 60


@dataclass
class Outcome:
    """What callers got, and the opening packets that were sent."""

    callers: int = 0
    in_target: int = 0
    late: int = 0
    refused_in_target: int = 0
    refused_late: int = 0
    offers: int = 0


@dataclass
class PlayedUpstream:
    """An upstream with one slot, and its agent's ledger."""

    requests: deque[int] = field(default_factory=deque)
    left_ms: float = 0
    grants: RoomGrants = field(default_factory=RoomGrants)

    def step(self, rng: random.Random) -> int | None:
        """Work for a millisecond; return the start of a finished request."""
        if not self.requests:
            return None
        if self.left_ms <= 0:
            self.left_ms = MEAN_WORK_MS * rng.uniform(0.5, 1.5)
        self.left_ms -= 1
        return self.requests.popleft() if self.left_ms <= 0 else None


class PlayedEntry:
    """An entry of the version before: it asks all agents in turn."""

    def __init__(self, play: 'Play', name: str) -> None:
        self.play = play
        self.name = name
        # Known load of each upstream and the time of the report.
        self.known = [(0, 0)] * UPSTREAMS
        self.rate = AdmissionRate()
        self.waiting: list[int] = []

    def arrive(self, now: int) -> None:
        if self.waiting or not self.offer(now, UPSTREAMS, now):
            self.waiting.append(now)

    def tick(self, now: int) -> None:
        still_waiting: list[int] = []
        for started in self.waiting:
            if not still_waiting and self.offer(started, UPSTREAMS, now):
                continue
            if not self.refuses(started, len(still_waiting), now):
                still_waiting.append(started)
        self.waiting = still_waiting
        self.rate.set_congested(now / 1000, congested=bool(still_waiting))

    def offer(self, started: int, offers: int, now: int) -> bool:
        """Offer a flow to agents by their load; return whether one took it."""
        order = sorted(
            range(UPSTREAMS),
            key=lambda one: (self.estimate(one, now), self.play.rng.random()),
        )
        return any(
            self.offer_to(one, started, now)
            for one in order[:offers]
            if self.estimate(one, now) < LIMIT
        )

    def offer_to(self, one: int, started: int, now: int) -> bool:
        self.play.outcome.offers += 1
        accepted = self.play.admit(one, self.name, started, now)
        self.known[one] = (len(self.play.upstreams[one].requests), now)
        if accepted:
            self.rate.record(now / 1000)
        return accepted

    def estimate(self, one: int, now: int) -> int:
        load, reported = self.known[one]
        if now - reported > MAX_LOAD_AGE_MS:
            return min(load, LIMIT - 1)
        return load

    def refuses(self, started: int, ahead: int, now: int) -> bool:
        congestion = self.rate.congestion(now / 1000)
        waited = (now - started) / 1000
        if not should_refuse(LIMITS, waited, ahead, congestion):
            return False
        if waited <= LIMITS.target:
            self.play.outcome.refused_in_target += 1
        else:
            self.play.outcome.refused_late += 1
        return True


class GrantedEntry(PlayedEntry):
    """An entry whose flows wait for granted room."""

    def __init__(self, play: 'Play', name: str) -> None:
        super().__init__(play, name)
        self.queue = WaitingQueue()
        self.times = RefusalTimes()
        self.demands = DemandSchedule()
        self.started: dict[bytes, int] = {}

    def estimate(self, one: int, now: int) -> int:
        return self.known[one][0]

    def arrive(self, now: int) -> None:
        if not len(self.queue) and self.offer(now, MAX_OFFERS, now):
            return
        if self.refuses(now, len(self.queue), now):
            return
        number = self.play.outcome.callers
        flow = number.to_bytes(12)
        self.started[flow] = now
        deadline = now / 1000 + max_wait(LIMITS)
        self.queue.add(flow, 0, (deadline, number))
        self.schedule(flow, now)
        if len(self.queue) == 1:
            self.send_demands(now)

    def schedule(self, flow: bytes, now: int) -> None:
        started = self.started[flow] / 1000
        at = refusal_time(LIMITS, started, now / 1000, returning=False)
        self.times.schedule(flow, at)

    def tick(self, now: int) -> None:
        idle = [one for one in range(UPSTREAMS) if not self.known[one][0]]
        for one in idle:
            self.serve(one, 1, now)
        for flow in self.times.pop_due(now / 1000):
            place = (self.started[flow] / 1000 + max_wait(LIMITS), 0)
            ahead = self.queue.ahead(0, place)
            if self.refuses(self.started[flow], ahead, now):
                self.queue.remove(flow)
            else:
                self.schedule(flow, now)
        self.send_demands(now)
        congested = len(self.queue) > 0
        self.rate.set_congested(now / 1000, congested=congested)

    def serve(self, one: int, flows: int, now: int) -> None:
        for _ in range(flows):
            flow = self.queue.first()
            if flow is None:
                if self.demands.withdraw(str(one)):
                    self.play.demand(one, self.name, Demand(0, 0, 0), now)
                return
            if self.offer_to(one, self.started[flow], now):
                self.queue.remove(flow)
                self.times.remove(flow)

    def send_demands(self, now: int) -> None:
        demand = self.queue.demand()
        if demand is not None:
            agents = [str(one) for one in range(UPSTREAMS)]
            for agent in list(self.demands.due(agents, demand, now / 1000)):
                self.play.demand(int(agent), self.name, demand, now)


class Play:
    """A load of new flows, each with one request."""

    def __init__(
        self, seed: int, load: float, entry: type[PlayedEntry]
    ) -> None:
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.upstreams = [PlayedUpstream() for _ in range(UPSTREAMS)]
        self.entries = [entry(self, str(one)) for one in range(ENTRIES)]
        self.load = load

    def run(self) -> Outcome:
        for now in range(STEPS):
            for one, upstream in enumerate(self.upstreams):
                finished = upstream.step(self.rng)
                if finished is not None:
                    self.count(now - finished)
                    self.grant(one, now)
            arrivals = self.load * UPSTREAMS / MEAN_WORK_MS
            for _ in range(10):
                if self.rng.random() < arrivals / 10:
                    self.outcome.callers += 1
                    self.rng.choice(self.entries).arrive(now)
            for number, entry in enumerate(self.entries):
                if now % TICK_MS == number * 5:
                    entry.tick(now)
                if now % DIGEST_MS == 0:
                    entry.known = [
                        (len(upstream.requests), now)
                        for upstream in self.upstreams
                    ]
        return self.outcome

    def count(self, milliseconds: int) -> None:
        if milliseconds <= LIMITS.target * 1000:
            self.outcome.in_target += 1
        elif milliseconds <= LIMITS.timeout * 1000:
            self.outcome.late += 1

    def admit(self, one: int, entry: str, started: int, now: int) -> bool:
        upstream = self.upstreams[one]
        seconds = now / 1000
        load = len(upstream.requests)
        covered = upstream.grants.covers(entry, 0, seconds)
        if not covered and load + upstream.grants.reserved(seconds) >= LIMIT:
            return False
        upstream.grants.admit(b'', entry, 0, seconds)
        upstream.grants.settle(b'')
        upstream.requests.append(started)
        return True

    def demand(self, one: int, entry: str, demand: Demand, now: int) -> None:
        ledger = self.upstreams[one].grants
        ledger.record_demand(entry, demand, now / 1000)
        self.grant(one, now)

    def grant(self, one: int, now: int) -> None:
        upstream = self.upstreams[one]
        seconds = now / 1000
        grants = upstream.grants.allocate(
            lambda _: (
                grant_limit(1, LIMIT)
                - len(upstream.requests)
                - upstream.grants.reserved(seconds)
            ),
            seconds,
        )
        for grant in grants:
            entry = self.entries[int(grant.entry)]
            assert isinstance(entry, GrantedEntry)
            entry.known[one] = (len(upstream.requests), now)
            entry.serve(one, grant.flows, now)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('load', [0.7, 1.0, 1.5, 3.0])
class TestLoadAgainstVersionBefore:
    """Callers get more, and fewer opening packets are sent.

    ``load`` is the offered load as a share of the capacity.
    """

    def play(self, seed: int, load: float) -> tuple[Outcome, Outcome]:
        before = Play(seed, load, PlayedEntry).run()
        return before, Play(seed, load, GrantedEntry).run()

    def test_as_many_are_answered_in_time(self, seed: int, load: float) -> None:
        before, after = self.play(seed, load)
        share_before = before.in_target / before.callers
        assert after.in_target / after.callers >= share_before - 0.01
        if load > 1:
            assert after.in_target / after.callers >= share_before + 0.02

    def test_refusals_come_in_time(self, seed: int, load: float) -> None:
        before, after = self.play(seed, load)
        # Only the first flows of a congestion may wait longer.
        assert after.refused_late <= 0.01 * after.callers
        assert after.refused_late <= before.refused_late

    def test_few_opening_packets_are_sent(self, seed: int, load: float) -> None:
        before, after = self.play(seed, load)
        offers_before = before.offers / before.callers
        assert after.offers / after.callers <= 1.02 * offers_before
