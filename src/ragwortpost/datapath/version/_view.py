"""A process's view of the platform's store; its revision only grows.

The store numbers all changes in one sequence, so a revision identifies a
state. States from the store and from peers merge record by record.
"""

from collections.abc import Iterator
from typing import Final

from ragwortpost.datapath.version._changes import Changes, Record

# Deleted records that are kept so that peers that are behind receive the
# deletions. Peers that are further behind get the whole state.
MAX_TOMBSTONES: Final = 1000


class View:
    """The latest known record of each document."""

    def __init__(self) -> None:
        """Start without records, at revision zero."""
        self._revision = 0
        # Deltas are complete only from this revision on.
        self._delta_base = 0
        self._records: dict[str, Record] = {}

    @property
    def revision(self) -> int:
        """The revision up to which the view has all changes."""
        return self._revision

    @property
    def records(self) -> Iterator[Record]:
        """All records, including those of deleted documents."""
        return iter(self._records.values())

    def get(self, subject: str) -> Record | None:
        """Return the latest record of a document, or none."""
        return self._records.get(subject)

    def merge(self, changes: Changes) -> tuple[Record, ...] | None:
        """Apply newer records; return the records that changed.

        Returns none if changes between this view and the given ones are
        missing.
        """
        if changes.after > self._revision:
            return None
        changed = [
            record for record in changes.records if self._is_newer(record)
        ]
        if changes.complete:
            changed.extend(self._implied_deletions(changes))
        for record in changed:
            # Keep the records in the order in which they were applied.
            self._records.pop(record.subject, None)
            self._records[record.subject] = record
        if changes.complete and changes.revision > self._revision:
            self._delta_base = max(self._delta_base, changes.revision)
        self._revision = max(self._revision, changes.revision)
        self._drop_old_tombstones()
        return tuple(changed)

    def changes_since(self, revision: int) -> Changes:
        """Return the changes that a process at a revision lacks.

        Returns the whole state if the view does not have all of them.
        """
        if revision < self._delta_base or revision == 0:
            existing = [one for one in self._records.values() if one.document]
            return Changes(0, self._revision, tuple(existing))
        newer = [
            record
            for record in self._records.values()
            if record.revision > revision
        ]
        return Changes(revision, self._revision, tuple(newer))

    def _is_newer(self, record: Record) -> bool:
        known = self._records.get(record.subject)
        return known is None or known.revision < record.revision

    def _implied_deletions(self, changes: Changes) -> Iterator[Record]:
        named = {record.subject for record in changes.records}
        for record in self._records.values():
            if record.subject in named or record.document is None:
                continue
            if record.revision <= changes.revision:
                yield Record(record.subject, changes.revision, None)

    def _drop_old_tombstones(self) -> None:
        tombstones = [
            record for record in self._records.values() if not record.document
        ]
        excess = len(tombstones) - MAX_TOMBSTONES
        if excess <= 0:
            return
        tombstones.sort(key=lambda record: record.revision)
        for record in tombstones[:excess]:
            self._records.pop(record.subject)
            self._delta_base = max(self._delta_base, record.revision)
