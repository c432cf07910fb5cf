"""Tests of the selection of the entry that an agent sends through.

Guards against an agent that keeps sending through an entry that has become
unresponsive or loses the datagrams, so that the caller receives nothing.
"""

import random
from datetime import UTC, datetime

from ragwortpost.process._entry_selector import EntrySelector

ONE, TWO, THREE, FOUR = ((f'10.0.0.{number}', 7001) for number in range(1, 5))


class ManualClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        return self.seconds

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.seconds, UTC)


class TestEntrySelector:
    """Datagrams avoid entries that are unresponsive or lose them."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.selector = EntrySelector(self.clock, random.Random(1))

    def test_last_entry_while_responsive(self) -> None:
        self.selector.record_datagram_from(ONE)
        assert self.selector.select(ONE, [ONE, TWO], 0) == ONE

    def test_unresponsive_entry_is_avoided(self) -> None:
        self.selector.record_datagram_from(ONE)
        self.clock.seconds = 0.6
        self.selector.record_datagram_from(TWO)
        assert self.selector.select(ONE, [ONE, TWO], 0) == TWO

    def test_every_entry_is_tried_in_turn(self) -> None:
        live_entries = [ONE, TWO, THREE, FOUR]
        tried = {
            self.selector.select(ONE, live_entries, 3) for _ in 2 * live_entries
        }
        assert tried == set(live_entries)

    def test_every_other_retry_uses_latest_entry(self) -> None:
        self.selector.record_datagram_from(THREE)
        chosen = [
            self.selector.select(ONE, [ONE, TWO, THREE], 2) for _ in range(6)
        ]
        assert chosen[::2] == [THREE, THREE, THREE]

    def test_live_entry_that_became_unresponsive(self) -> None:
        self.selector.record_datagram_from(ONE)
        self.clock.seconds = 0.6
        assert not self.selector.any_unresponsive([ONE])
        self.selector.record_datagram_from(TWO)
        assert self.selector.any_unresponsive([ONE, TWO])
        assert not self.selector.any_unresponsive([TWO])

    def test_live_entry_that_never_sent(self) -> None:
        self.clock.seconds = 0.4
        self.selector.record_datagram_from(ONE)
        assert not self.selector.any_unresponsive([ONE, TWO])
        self.clock.seconds = 0.6
        self.selector.record_datagram_from(ONE)
        assert self.selector.any_unresponsive([ONE, TWO])

    def test_only_entry_is_used(self) -> None:
        assert self.selector.select(ONE, [], 5) == ONE
        assert self.selector.select(ONE, [ONE], 5) == ONE
