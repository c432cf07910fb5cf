"""Tests of the budget for control messages.

Guards against gossip that takes the link or the processor of a process with
little of either, gossip that ends because urgent messages use up the budget,
and delays on a machine with plenty of both.
"""

import pytest

from ragwortpost.datapath.connection import ControlBudget, Traffic

DIGEST_BYTES = 300


def drain(budget: ControlBudget) -> int:
    """Return the gossip messages that a budget allows now."""
    return sum(1 for _ in iter(lambda: budget.take(DIGEST_BYTES), False))


def count_sent(
    budget: ControlBudget, seconds: int, rates: Traffic | None = None
) -> int:
    """Return the gossip messages that a budget allows over some seconds.

    ``rates`` is what is sent per second besides.
    """
    rates = rates or Traffic()
    sent = 0
    for hundredths in range(seconds * 100):
        now = hundredths / 100
        traffic = Traffic(
            round(rates.payload_bytes * now),
            round(rates.urgent_messages * now),
            round(rates.urgent_bytes * now),
            round(rates.refused * now),
        )
        budget.update(traffic, now)
        sent += drain(budget)
    return sent


class TestShares:
    """Shares of the link and of the processor, over ten seconds."""

    @pytest.mark.parametrize(
        ('link', 'cores', 'rates', 'per_second'),
        [
            # A tenth of the link: 125,000 bytes.
            (10, 4, Traffic(), 417),
            # A tenth of the processor, 60 us a message.
            (1000, 0.5, Traffic(), 833),
            (1000, 1, Traffic(), 1667),
            # Payload leaves 5% of the link, or nothing.
            (10, 4, Traffic(payload_bytes=1187500), 208),
            (10, 4, Traffic(payload_bytes=2000000), 83),
            # Urgent messages take half of the budget.
            (10, 4, Traffic(urgent_bytes=62500), 208),
            (1000, 1, Traffic(urgent_messages=833), 833),
            # Every interval a datagram is refused.
            (10, 4, Traffic(refused=100), 208),
        ],
    )
    def test_gossip_gets_what_is_left(
        self, link: float, cores: float, rates: Traffic, per_second: int
    ) -> None:
        budget = ControlBudget(link, cores, 0)
        # The reserve of 1% comes on top, and once what is kept for bursts.
        reserve = min(link * 1250 / DIGEST_BYTES, cores * 167)
        expected = 10 * (per_second + reserve)
        burst = 5.5 * reserve
        sent = count_sent(budget, 10, rates)
        assert expected * 0.95 < sent < expected + burst + 50

    def test_urgent_messages_leave_the_reserve(self) -> None:
        budget = ControlBudget(10, 0.5, 0)
        flood = Traffic(urgent_messages=9000, urgent_bytes=1000000)
        count_sent(budget, 5, flood)
        assert 300 < count_sent(budget, 10, flood) < 600

    def test_refusal_halves_the_budget_for_a_while(self) -> None:
        budget = ControlBudget(1000, 1, 0)
        drain(budget)
        budget.update(Traffic(refused=1), 0.06)
        halved = drain(budget)
        budget.update(Traffic(refused=1), 0.18)
        assert 4 * halved == pytest.approx(drain(budget), abs=8)


class TestWideLink:
    """A machine with 1,000 Mbit/s and one core."""

    def test_change_reaches_hundreds_of_processes_at_once(self) -> None:
        budget = ControlBudget(1000, 1, 0)
        assert all(budget.take(200) for _ in range(400))

    def test_unknown_bandwidth_is_not_bounded(self) -> None:
        budget = ControlBudget(0, 1, 0)
        assert all(budget.take(1000000) for _ in range(400))
