"""Keeps items of the store that name nothing out of the view."""

from collections.abc import Iterable
from typing import Final

from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._store_port import RejectedItem, StoreRead
from ragwortpost.datapath.version import (
    ChangesEncodingError,
    Record,
    StateVersion,
    check_document,
)

# Longest cause in a log line: it may quote the item, which may be of any size.
MAX_CAUSE_LENGTH: Final = 200


class UnusableItems:
    """The items of the store that this process has rejected."""

    def __init__(self, log: EventLog) -> None:
        """Start without any item."""
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
        checked = [(record, _rejection_of(record)) for record in read.records]
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


def _rejection_of(record: Record) -> RejectedItem | None:
    """Return why a record can't be sent to peers, none if it can."""
    try:
        check_document(record.subject, record.document)
    except ChangesEncodingError as error:
        revision = record.version.revision
        return RejectedItem(record.subject, revision, error.cause)
    return None
