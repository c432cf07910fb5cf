"""Tests of items of the store that name nothing.

Guards against an item of another writer that keeps changes from other
processes, or that ends what the last valid configuration says.
"""

from collections import Counter
from dataclasses import replace

import pytest

from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._store_port import (
    RejectedItem,
    StorePoint,
    StoreRead,
)
from ragwortpost.datapath.process._unusable_items import UnusableItems
from ragwortpost.datapath.process.tests.network import ManualClock
from ragwortpost.datapath.version import Changes, Record, View
from ragwortpost.datapath.version.tests.documents import (
    at,
    configuration_record,
    upstream,
)

SUBJECT = 'servers/foreign'


def make_items() -> tuple[UnusableItems, Counter[str]]:
    events = Counter[str]()
    clock = ManualClock()
    return UnusableItems(clock, EventLog(clock, events)), events


def read_of(*records: Record, after: int = 0) -> StoreRead:
    return StoreRead(StorePoint(9), after, records)


class TestUnusableItems:
    """Items that can't be used are left out, counted and logged once."""

    @pytest.mark.parametrize(
        'fields',
        [
            {'service': '\ud800'},
            {'slots': -1},
            {'slots': 2**70},
            {'host': '10.0.0.256'},
            {'warm_up_left': float('nan')},
            {'data_centre': None},
        ],
    )
    def test_a_record_that_peers_can_not_decode_counts_as_deleted(
        self, fields: dict[str, object]
    ) -> None:
        unusable_items, events = make_items()
        document = replace(upstream(1), **fields)  # type: ignore[arg-type]
        usable = Record('servers/i-2', at(6), upstream(2))
        foreign = Record(SUBJECT, at(7), document)
        records = unusable_items.usable_records(read_of(foreign, usable))
        assert records == (usable, Record(SUBJECT, at(7), None))
        assert unusable_items.count == 1
        assert events['item_unusable'] == 1

    def test_an_item_is_logged_again_only_after_a_change(self) -> None:
        unusable_items, events = make_items()
        for revision in (7, 7, 8):
            rejected = (RejectedItem(SUBJECT, revision, 'no service'),)
            read = replace(read_of(), rejected=rejected)
            unusable_items.usable_records(read)
        assert events['item_unusable'] == 2

    def test_an_item_that_was_corrected_is_not_counted(self) -> None:
        unusable_items, _ = make_items()
        rejected = (RejectedItem(SUBJECT, 7, 'no service'),)
        unusable_items.usable_records(replace(read_of(), rejected=rejected))
        corrected = Record(SUBJECT, at(8), upstream(1))
        unusable_items.usable_records(read_of(corrected, after=7))
        assert not unusable_items.count

    def test_the_last_valid_configuration_stays_in_force(self) -> None:
        unusable_items, _ = make_items()
        view = View()
        valid = configuration_record(revision=5)
        view.merge_read(Changes(at(0), at(5), (valid,)))
        rejected = (RejectedItem(valid.subject, 6, 'no routes'),)
        read = replace(read_of(after=5), rejected=rejected)
        records = unusable_items.usable_records(read)
        view.merge_read(Changes(at(5), at(6), records))
        assert view.get(valid.subject) == valid
