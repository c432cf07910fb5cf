"""Keeps items of the store that name nothing out of the view."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._store_port import RejectedItem, StoreRead
from ragwortpost.datapath.version import (
    ChangesEncodingError,
    Record,
    StateVersion,
    UpstreamEntry,
    check_document,
)

# Maximum time by which an upstream's start may be ahead of the reader's clock.
# The clocks of VMs differ by seconds.
MAX_CLOCK_DIFFERENCE: Final = timedelta(hours=1)
# Longest cause in a log line: it may quote the item, which may be of any size.
MAX_CAUSE_LENGTH: Final = 200
_MS: Final = 1000


class UnusableItems:
    """The items of the store that this process has rejected."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Start without any item."""
        self._clock = clock
        self._log = log
        # Revisions of the rejected items, by subject.
        self._revisions: dict[str, int] = {}

    @property
    def count(self) -> int:
        """The number of items that the store holds and that name nothing."""
        return len(self._revisions)

    def usable_records(self, read: StoreRead) -> tuple[Record, ...]:
        """Return the records of a read, without those that name nothing.

        An unusable item counts as deleted. The view keeps the last valid
        configuration nevertheless.
        """
        checked = [
            (record, self._rejection_of(record)) for record in read.records
        ]
        usable = [record for record, rejection in checked if rejection is None]
        rejected = [rejection for _, rejection in checked if rejection]
        rejected.extend(read.rejected)
        self._record(read, usable, rejected)
        deletions = (
            Record(unusable.subject, StateVersion(0, unusable.revision), None)
            for unusable in rejected
            if unusable.subject
        )
        return (*usable, *deletions)

    def _rejection_of(self, record: Record) -> RejectedItem | None:
        """Return why a record is not of a real document, none if it is."""
        cause = ''
        try:
            check_document(record.subject, record.document)
        except ChangesEncodingError as error:
            cause = error.cause
        match record.document:
            case UpstreamEntry(born=born) if self._is_in_future(born):
                cause = (
                    f'{record.subject}: its start at {born} is in the future'
                )
        if not cause:
            return None
        return RejectedItem(record.subject, record.version.revision, cause)

    def _is_in_future(self, unix_ms: int) -> bool:
        latest = self._clock.now() + MAX_CLOCK_DIFFERENCE
        return unix_ms > latest.timestamp() * _MS

    def _record(
        self,
        read: StoreRead,
        usable: Iterable[Record],
        rejected: Iterable[RejectedItem],
    ) -> None:
        known = self._revisions
        kept = dict(known) if read.after else {}
        for record in usable:
            kept.pop(record.subject, None)
        for unusable in rejected:
            if known.get(unusable.subject) != unusable.revision:
                self._log_rejection(unusable)
            kept[unusable.subject] = unusable.revision
        self._revisions = kept

    def _log_rejection(self, unusable: RejectedItem) -> None:
        self._log.write(
            'item_unusable',
            subject=unusable.subject,
            revision=unusable.revision,
            why=unusable.cause[:MAX_CAUSE_LENGTH],
        )
