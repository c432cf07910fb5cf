"""Tests of an agent's ledger of granted room.

Guards against an upstream that is committed beyond its room, room that stays
reserved for an entry that does not use it, and an entry that gets none.
"""

import pytest

from ragwortpost.datapath.connection import Demand, Grant, RoomGrants
from ragwortpost.datapath.connection.tests.packets import flow_key

URGENT, LATER = 1, 2


class Ledger(RoomGrants):
    """A ledger of an upstream with a fixed capacity."""

    def __init__(self, room: int) -> None:
        super().__init__()
        self.room = room

    def demand(
        self, entry: str, waiting: int, priority: int = LATER, at: float = 1.0
    ) -> None:
        self.record_demand(entry, Demand(waiting, priority, at), 0)

    def grant(self, now: float = 0) -> list[Grant]:
        return list(
            self.allocate(lambda _: self.room - self.reserved(now), now)
        )


class TestOrder:
    """Room goes to the most urgent demand, then to the earliest deadline."""

    def test_the_most_urgent_priority_comes_first(self) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1, LATER, 0.1)
        ledger.demand('b', 1, URGENT, 0.9)
        assert ledger.grant() == [Grant('b', 1)]

    def test_then_the_earliest_deadline(self) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1, at=0.9)
        ledger.demand('b', 1, at=0.1)
        assert ledger.grant() == [Grant('b', 1)]

    def test_then_the_entries_in_turn(self) -> None:
        ledger = Ledger(5)
        ledger.demand('large', 100, at=0.1)
        ledger.demand('small', 1, at=0.2)
        assert ledger.grant() == [Grant('large', 4), Grant('small', 1)]

    def test_one_flow_at_a_time_each_entry_gets_its_turn(self) -> None:
        ledger = Ledger(0)
        for entry in 'abc':
            ledger.demand(entry, 9, at=0.1)
        granted = []
        for _ in range(6):
            ledger.room += 1
            granted += [grant.entry for grant in ledger.grant()]
        assert ''.join(granted) == 'abcabc'


class TestBounds:
    """Granted room is bounded, in number and in time."""

    def test_a_grant_is_at_most_the_demand_and_the_room(self) -> None:
        ledger = Ledger(3)
        ledger.demand('a', 2)
        ledger.demand('b', 9)
        assert ledger.grant() == [Grant('a', 2), Grant('b', 1)]
        assert ledger.grant() == []

    def test_unused_room_is_free_again_after_its_lifetime(self) -> None:
        ledger = Ledger(1)
        ledger.demand('frozen', 1, at=0.1)
        ledger.demand('b', 1)
        assert ledger.grant() == [Grant('frozen', 1)]
        assert ledger.grant(0.14) == []
        assert ledger.grant(0.16) == [Grant('b', 1)]
        assert not ledger.covers('frozen', LATER, 0.16)

    def test_a_withdrawn_demand_returns_its_room(self) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1)
        ledger.grant()
        ledger.demand('b', 1)
        ledger.demand('a', 0)
        assert ledger.grant() == [Grant('b', 1)]

    def test_a_demand_expires(self) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1)
        assert ledger.grant(0.6) == []
        assert not ledger.has_demands


class TestUse:
    """A flow uses room that was granted to its entry."""

    def test_the_room_stays_reserved_until_the_upstream_answers(self) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1)
        ledger.grant()
        assert ledger.admit(flow_key(), 'a', LATER, 0.1)
        assert ledger.granted(0.1) == 0
        assert ledger.reserved(0.1) == 1
        ledger.settle(flow_key())
        assert ledger.reserved(0.1) == 0

    def test_an_upstream_that_does_not_answer_frees_it(self) -> None:
        ledger = Ledger(1)
        ledger.admit(flow_key(), 'a', LATER, 0)
        assert ledger.reserved(0.09) == 1
        assert ledger.reserved(0.11) == 0

    def test_each_flow_uses_one_unit(self) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1)
        ledger.grant()
        used = [ledger.admit(flow_key(one), 'a', LATER, 0) for one in range(2)]
        assert used == [True, False]

    @pytest.mark.parametrize(
        ('granted', 'flow', 'covered'),
        [(URGENT, LATER, False), (LATER, URGENT, True), (LATER, LATER, True)],
    )
    def test_room_of_urgent_flows_is_not_for_others(
        self, granted: int, flow: int, covered: bool
    ) -> None:
        ledger = Ledger(1)
        ledger.demand('a', 1, granted)
        ledger.grant()
        assert ledger.covers('a', flow, 0) is covered
