"""A process's view of the platform's store; its version only grows.

The store numbers all changes of an era in one sequence, so an era and a
revision identify a state. States from the store and from peers merge record by
record, also across eras; ``_resolution`` and ``_eras`` contain the rules.
"""

from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import replace
from typing import Final

import xxhash

from ragwortpost.datapath.version._changes import Changes, Record
from ragwortpost.datapath.version._documents import (
    Configuration,
    TakenOut,
    UpstreamEntry,
)
from ragwortpost.datapath.version._eras import EraMarks
from ragwortpost.datapath.version._resolution import resolve
from ragwortpost.datapath.version._restore_evidence import (
    backup_listing,
    contested_subjects,
    is_later_state,
    is_same_incarnation,
    is_same_order,
    redate_reassigned,
    revision_before_writes,
)
from ragwortpost.datapath.version._state_version import (
    ORIGIN,
    EraMark,
    StateVersion,
)

# Deleted records that are kept so that peers that are behind receive the
# deletions, and so that a restored store does not bring the documents back.
# Peers that are further behind get the whole state.
MAX_TOMBSTONES: Final = 1000


class View:
    """The latest known record of each document."""

    def __init__(self) -> None:
        """Start without records, at the origin."""
        self._version = ORIGIN
        # Deltas are complete only from this version on.
        self._delta_base = ORIGIN
        self._records: dict[str, Record] = {}
        self._eras = EraMarks()
        # Documents that were lost or deleted by the last restore.
        self._kept: set[str] = set()
        # Sequences of the upstreams from the backup, as of the first read of
        # the era by this process.
        self._sequences: dict[str, int] = {}
        # Revisions of the documents in the last full read of the era by this
        # process.
        self._listed: dict[str, int] = {}
        # Revisions at which the store, read as a whole, lacked known documents.
        self._absent: dict[str, int] = {}
        # Records of drained data centres that deletions replaced.
        self._deleted: dict[str, Record] = {}
        # Base of the era at the last full read by this process.
        self._read_base = 0
        self._fingerprint = 0

    @property
    def version(self) -> StateVersion:
        """The version up to which the view has all changes."""
        return self._version

    @property
    def fingerprint(self) -> int:
        """Hash of the existing documents, their versions and the era's base.

        Views of the same version differ where one process knew more than
        another before the store was restored.
        """
        era = self._version.era
        if not era:
            return self._fingerprint
        base = f'{era}|{self._eras.base_of(era)}'
        return self._fingerprint ^ xxhash.xxh64_intdigest(base.encode())

    @property
    def records(self) -> Iterator[Record]:
        """All records, including those of deleted documents."""
        return iter(self._records.values())

    @property
    def kept(self) -> frozenset[str]:
        """Documents missing in the store since its last restore.

        Whether the store has lost or deleted them is unknown.
        """
        return frozenset(self._kept)

    @property
    def has_withheld(self) -> bool:
        """Whether another read of the store may lift earlier deletions.

        It has upstreams that were seen gone, or was read with a higher base.
        """
        if self._eras.base_of(self._version.era) < self._read_base:
            return True
        return any(map(self._is_withheld, self._sequences))

    def get(self, subject: str) -> Record | None:
        """Return the latest record of a document, or none."""
        return self._records.get(subject)

    def merge(self, changes: Changes) -> tuple[Record, ...] | None:
        """Apply newer records; return the records that changed.

        Returns none if changes between this view and the given ones are
        missing.
        """
        if not changes.complete and changes.after > self._version:
            return None
        contested: tuple[str, ...] = ()
        restored = changes.version.era > self._version.era
        if changes.complete and changes.version.era == self._version.era:
            contested = contested_subjects(changes, self)
        self._enter_era(changes.version)
        if changes.complete:
            changes = self._learn_marks(changes)
        if changes.complete and restored:
            # The sender may know nothing of before the restore.
            self._learn_base(
                backup_listing(changes),
                self._records.values(),
                self._eras.reached_of(changes.version.era - 1),
            )
            changes = redate_reassigned(changes, self._records.values())
        elif changes.complete and changes.version.era < self._version.era:
            # The sender may know more of the time before the restore.
            self._eras.learn(changes.marks)
            own = self.changes_since(ORIGIN)
            reached = {mark.era: mark.reached for mark in changes.marks}
            self._learn_base(
                backup_listing(own),
                changes.records,
                reached.get(self._version.era - 1, 0),
            )
        if changes.complete:
            redated = tuple(map(self._redate, changes.records))
            changes = replace(changes, records=redated)
        return self._apply(changes) + self._forget_all(contested)

    def merge_read(self, changes: Changes) -> tuple[Record, ...] | None:
        """Apply what the store returned.

        The records have the version of the store's era; what comes from a
        backup is dated back to the era in which it was written.
        """
        if not changes.complete and changes.after > self._version:
            return None
        era = changes.version.era
        restored = era > self._version.era
        self._enter_era(changes.version)
        if restored and changes.complete:
            reached = self._eras.reached_of(era - 1)
            self._learn_base(changes, self._records.values(), reached)
        dated = [self._date(record, era) for record in changes.records]
        if changes.complete:
            self._read_base = self._eras.base_of(era)
            self._listed = {
                record.subject: record.version.revision for record in dated
            }
            named = self._listed.keys()
            self._absent = dict.fromkeys(
                self._records.keys() - named, changes.version.revision
            )
            for subject in self._sequences.keys() - named:
                self._sequences.pop(subject)
        return self._apply(replace(changes, records=tuple(dated)))

    def changes_since(self, version: StateVersion) -> Changes:
        """Return the changes that a process at a version lacks.

        Returns the whole state if the view does not have all of them.
        """
        if (
            version.era != self._version.era
            or version < self._delta_base
            or version == ORIGIN
        ):
            return Changes(
                ORIGIN,
                self._version,
                tuple(self._records.values()),
                self._eras.all,
                tuple(self._kept),
            )
        newer = [
            record
            for record in self._records.values()
            if record.version > version
        ]
        return Changes(version, self._version, tuple(newer))

    def forget(self, subjects: Iterable[str]) -> tuple[Record, ...]:
        """Delete documents that the store has not had since its restore."""
        return self._forget_all(self._kept.intersection(subjects))

    def _forget_all(self, subjects: Iterable[str]) -> tuple[Record, ...]:
        """Delete documents of earlier eras."""
        # Later than all earlier eras, and earlier than any write in this one.
        forgotten_at = StateVersion(self._version.era, 0)
        deletions = tuple(
            Record(subject, forgotten_at, None)
            for subject in subjects
            if self._records[subject].version < forgotten_at
        )
        for deletion in deletions:
            self._put(deletion)
        return deletions

    def _apply(self, changes: Changes) -> tuple[Record, ...]:
        """Join the records of changes and infer deletions."""
        changed = [
            joined
            for record in changes.records
            if (joined := self._join(record, changes)) is not None
        ]
        if changes.complete:
            deletions = tuple(self._implied_deletions(changes))
            for deletion in deletions:
                _note_sequence(self._sequences, self._records[deletion.subject])
                self._put(deletion)
            changed.extend(deletions)
            self._eras.learn(changes.marks)
            if changes.version > self._version:
                self._delta_base = max(self._delta_base, changes.version)
        self._version = max(self._version, changes.version)
        if changes.complete or changes.version == self._version:
            self._eras.record_reached(changes.version)
        self._drop_old_tombstones()
        return tuple(changed)

    def _enter_era(self, version: StateVersion) -> None:
        """Move to the era of a version, unless the view has reached it."""
        if version.era <= self._version.era:
            return
        self._eras.learn((EraMark(version.era, version.revision, 0),))
        self._kept = {
            record.subject
            for record in self._records.values()
            if not isinstance(record.document, Configuration | None)
        }
        self._sequences.clear()
        self._listed = {}
        self._absent.clear()
        self._read_base = 0
        self._version = StateVersion(version.era, 0)

    def _learn_base(
        self, listing: Changes, known: Iterable[Record], reached: int
    ) -> None:
        """Limit the base of an era by what was known before its restore."""
        base = revision_before_writes(listing, known, self._eras, reached)
        self._eras.learn((EraMark(listing.version.era, base, 0),))

    def _learn_marks(self, changes: Changes) -> Changes:
        """Learn the marks of a peer's state; date orders to drain by them.

        A process that does not know of a restore dates what was written after
        it to an earlier era.
        """
        known = self._eras.all
        self._eras.learn(mark._replace(reached=0) for mark in changes.marks)
        if self._eras.all != known:
            self._date_listed()
        era = changes.version.era
        if era < self._version.era:
            # The sender can't know the orders that the store lists now.
            orders = {
                record.subject
                for record in self._records.values()
                if isinstance(record.document, TakenOut)
                and record.subject in self._listed
            }
            return replace(
                changes,
                records=tuple(
                    record
                    for record in changes.records
                    if record.document or record.subject not in orders
                ),
            )
        if changes.version < self._version:
            return changes
        records = tuple(
            replace(record, version=StateVersion(era, record.version.revision))
            if record.subject not in changes.kept
            and isinstance(record.document, TakenOut)
            and _is_drained_again(self._deleted, record)
            else record
            for record in changes.records
        )
        return replace(changes, records=records)

    def _date_listed(self) -> None:
        """Date the documents of the last full read by the present marks."""
        for subject, revision in self._listed.items():
            record = self._records.get(subject)
            if record is None or record.version.revision != revision:
                continue
            dated = self._eras.date(revision, self._version.era)
            if record.document is not None and dated > record.version:
                self._put(replace(record, version=dated))

    def _redate(self, received: Record) -> Record:
        """Return a record, dated to this era if it was dated too early.

        A reader that knows nothing of before a restore dates writes of the new
        era back; a peer that saw an earlier one of them can tell.
        """
        known = self._records.get(received.subject, received)
        early, late = sorted((received, known), key=lambda one: one.version)
        era, revision = late.version.era, early.version.revision
        if not is_later_state(late.document, early.document):
            return received
        if revision < late.version.revision:
            # Written after one more restore.
            era = self._version.era
        self._eras.learn((EraMark(era, revision - 1, 0),))
        redated = replace(early, version=StateVersion(era, revision))
        if early is received:
            return redated
        self._put(redated)
        return received

    def _date(self, record: Record, era: int) -> Record:
        """Date a record of the store to the era in which it was written."""
        version = self._eras.date(record.version.revision, era)
        match record.document:
            case UpstreamEntry(sequence=sequence) if version.era < era:
                first = self._sequences.setdefault(record.subject, sequence)
                if sequence > first and self._is_withheld(record.subject):
                    # The incarnation has written since the restore.
                    version = StateVersion(era, version.revision)
            case TakenOut() if _is_drained_again(self._deleted, record):
                version = StateVersion(era, version.revision)
        return replace(record, version=version)

    def _is_withheld(self, subject: str) -> bool:
        """Return whether an upstream was seen gone before the restore."""
        known = self._records.get(subject)
        if known is None or known.document is not None:
            return False
        return known.version <= (self._version.era, 0)

    def _join(self, record: Record, changes: Changes) -> Record | None:
        """Merge a record; return the record in force if it changed."""
        known = self._records.get(record.subject)
        if self._is_deleted_write(record):
            absent_at = self._absent[record.subject]
            deleted_at = StateVersion(self._version.era, absent_at)
            joined = Record(record.subject, deleted_at, None)
        elif known is None:
            joined = self._resolve_unknown(record)
        else:
            joined = resolve(known, record)
        if joined is not known:
            self._put(joined)
        # A deletion says nothing about what the store lists, and neither does
        # an earlier incarnation in a backup.
        if (
            joined.document is not None
            and record.document is not None
            and is_same_incarnation(joined.document, record.document)
        ):
            was_absent = getattr(known, 'document', None) is None
            self._update_kept(record.subject, changes, was_absent=was_absent)
        return None if joined is known else joined

    def _is_deleted_write(self, record: Record) -> bool:
        """Return whether the store lacked a document after a write of the era.

        Then the document has been deleted, even if its deletion was not seen.
        """
        if record.version.era != self._version.era:
            return False
        if isinstance(record.document, Configuration | None):
            return False
        absent_at = self._absent.get(record.subject, -1)
        return record.version.revision <= absent_at

    def _resolve_unknown(self, record: Record) -> Record:
        # Whether it was deleted before the restore may be uncertain. A data
        # centre then stays drained; an upstream is used once it writes again.
        if isinstance(record.document, Configuration | TakenOut | None):
            return record
        if not self._eras.proves_deletion(record.version):
            return record
        _note_sequence(self._sequences, record)
        deleted_at = self._eras.deletion_version(record.version)
        return Record(record.subject, deleted_at, None)

    def _update_kept(
        self, subject: str, changes: Changes, *, was_absent: bool
    ) -> None:
        from_this_era = changes.version.era == self._version.era
        if from_this_era and subject not in changes.kept:
            self._kept.discard(subject)
        elif was_absent and self._version.era:
            self._kept.add(subject)

    def _implied_deletions(self, changes: Changes) -> Iterator[Record]:
        """Yield deletions of documents that the sender has seen gone."""
        named = {
            record.subject
            for record in changes.records
            if _is_listed(record, changes, self._records[record.subject])
        }
        reached = {mark.era: mark.reached for mark in changes.marks}
        reached[changes.version.era] = changes.version.revision
        for record in _deletable(self._records.values(), named):
            era, revision = record.version
            is_certain = era == self._version.era or not isinstance(
                record.document, TakenOut
            )
            if is_certain and revision <= reached.get(era, -1):
                deleted_at = StateVersion(era, reached[era])
                yield Record(record.subject, deleted_at, None)
            elif self._is_deleted_since_restore(record, changes.version):
                yield Record(record.subject, changes.version, None)

    def _is_deleted_since_restore(
        self, record: Record, version: StateVersion
    ) -> bool:
        """Return whether a document from the backup lacks in a later state."""
        if version.era != self._version.era or version < self._version:
            return False
        return (
            record.version.era < version.era
            and record.subject not in self._kept
        )

    def _put(self, record: Record) -> None:
        # Keep the records in the order in which they were applied.
        replaced = self._records.pop(record.subject, None)
        self._records[record.subject] = record
        self._fingerprint ^= _fingerprint_of(record) ^ _fingerprint_of(replaced)
        if record.document is None:
            self._kept.discard(record.subject)
            if replaced and isinstance(replaced.document, TakenOut):
                self._deleted[record.subject] = replaced

    def _drop_old_tombstones(self) -> None:
        tombstones = [
            record for record in self._records.values() if not record.document
        ]
        excess = len(tombstones) - MAX_TOMBSTONES
        if excess <= 0:
            return
        tombstones.sort(key=lambda record: record.version)
        for record in tombstones[:excess]:
            self._records.pop(record.subject)
            if record.version.era == self._version.era:
                self._delta_base = max(self._delta_base, record.version)


def _is_listed(record: Record, changes: Changes, known: Record) -> bool:
    """Return whether a sender's record may mean the known document.

    A kept document is missing in the store, and so is a deleted one, unless the
    known one has been written later.
    """
    era = changes.version.era
    if record.document is None:
        return known.version.era >= era
    return record.subject not in changes.kept or known.version.era != era


def _note_sequence(sequences: dict[str, int], record: Record) -> None:
    """Note the state of an upstream whose deletion is only inferred.

    A read of the store that lists a later state shows that it is alive.
    """
    if isinstance(record.document, UpstreamEntry):
        sequences.setdefault(record.subject, record.document.sequence)


def _is_drained_again(deleted: Mapping[str, Record], record: Record) -> bool:
    """Return whether a record is not of the order that was deleted."""
    known = deleted.get(record.subject)
    return known is not None and not is_same_order(known, record)


def _deletable(
    records: Iterable[Record], named: Container[str]
) -> Iterator[Record]:
    """Yield the existing documents that an absence may delete."""
    for record in records:
        if record.subject in named:
            continue
        if not isinstance(record.document, Configuration | None):
            yield record


def _fingerprint_of(record: Record | None) -> int:
    """Return the hash of an existing document's state, else zero."""
    if record is None or record.document is None:
        return 0
    era, revision = record.version
    leaving = getattr(record.document, 'leaving', False)
    text = f'{record.subject}|{era}|{revision}|{leaving}'
    return xxhash.xxh64_intdigest(text.encode())
