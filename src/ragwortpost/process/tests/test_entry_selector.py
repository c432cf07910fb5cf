"""Tests of the entry that an agent answers through."""

import random
from datetime import UTC, datetime

from ragwortpost.process._entry_selector import EntrySelector

ONE, TWO, THREE, FOUR = ((f'10.0.0.{number}', 7001) for number in range(1, 5))


class HandClock:
    """A clock moved by hand."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        return self.seconds

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.seconds, UTC)


class TestEntrySelector:
    """Answers avoid entries that are silent or swallow them."""

    def setup_method(self) -> None:
        self.clock = HandClock()
        self.selector = EntrySelector(self.clock, random.Random(1))

    def test_last_entry_while_all_is_well(self) -> None:
        self.selector.record_entry(ONE)
        assert self.selector.choose(ONE, [ONE, TWO], 0) == ONE

    def test_silent_entry_is_avoided(self) -> None:
        self.selector.record_entry(ONE)
        self.clock.seconds = 0.6
        self.selector.record_entry(TWO)
        assert self.selector.choose(ONE, [ONE, TWO], 0) == TWO

    def test_every_entry_is_tried_in_turn(self) -> None:
        live = [ONE, TWO, THREE, FOUR]
        tried = {self.selector.choose(ONE, live, 3) for _ in 2 * live}
        assert tried == set(live)

    def test_every_other_probe_goes_where_was_heard_last(self) -> None:
        self.selector.record_entry(THREE)
        probes = [
            self.selector.choose(ONE, [ONE, TWO, THREE], 2) for _ in range(6)
        ]
        assert probes[::2] == [THREE, THREE, THREE]

    def test_entry_in_service_that_fell_silent(self) -> None:
        self.selector.record_entry(ONE)
        self.clock.seconds = 0.6
        assert not self.selector.any_unresponsive([ONE])
        self.selector.record_entry(TWO)
        assert self.selector.any_unresponsive([ONE, TWO])
        assert not self.selector.any_unresponsive([TWO])

    def test_entry_in_service_that_was_never_heard(self) -> None:
        self.clock.seconds = 0.4
        self.selector.record_entry(ONE)
        assert not self.selector.any_unresponsive([ONE, TWO])
        self.clock.seconds = 0.6
        self.selector.record_entry(ONE)
        assert self.selector.any_unresponsive([ONE, TWO])

    def test_only_entry_is_used(self) -> None:
        assert self.selector.choose(ONE, [], 5) == ONE
        assert self.selector.choose(ONE, [ONE], 5) == ONE
