"""Evidence about what happened to the store around its last restore."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from ragwortpost.datapath.version._changes import Changes, Record
from ragwortpost.datapath.version._documents import (
    Document,
    TakenOut,
    UpstreamEntry,
)
from ragwortpost.datapath.version._eras import EraMarks
from ragwortpost.datapath.version._resolution import (
    are_different_writes,
    began_leaving,
    resolve,
)
from ragwortpost.datapath.version._state_version import StateVersion


class KnownState(Protocol):
    """A view, as far as peers' states are compared with it."""

    @property
    def version(self) -> StateVersion:
        """The version up to which the view has all changes."""

    @property
    def kept(self) -> frozenset[str]:
        """Documents missing in the store since its last restore."""

    def get(self, subject: str) -> Record | None:
        """Return the latest record of a document, or none."""


def revision_before_writes(
    changes: Changes,
    records: Iterable[Record],
    eras: EraMarks,
    reached: int,
) -> int:
    """Return an upper bound of the revision that the store was restored to.

    Writers may have written to the restored store before its first read. A
    revision that was another write before the restore shows this. ``records``
    are those of a view with all changes of the era before up to ``reached``.
    """
    by_subject = {record.subject: record for record in records}
    # Inferred deletions have versions of other documents.
    by_version = {
        record.version: record
        for record in by_subject.values()
        if record.document is not None
    }
    era = changes.version.era - 1
    assigned_again = [
        record.version.revision
        for record in changes.records
        if _is_unknown_write(record, by_subject, reached)
        or are_different_writes(
            by_version.get(eras.date(record.version.revision, era), record),
            record,
        )
    ]
    return min(assigned_again, default=changes.version.revision + 1) - 1


def backup_listing(changes: Changes) -> Changes:
    """Return the documents of a state that it takes for those of the backup.

    A process that started after the restore can't tell which of them are newer.
    """
    return replace(
        changes,
        records=tuple(
            record
            for record in changes.records
            if record.document is not None
            and record.version.era < changes.version.era
            and record.subject not in changes.kept
        ),
    )


def redate_reassigned(changes: Changes, records: Iterable[Record]) -> Changes:
    """Date writes whose revisions were other writes to the era of a state.

    ``records`` are known from an earlier era. A peer that did not know it may
    have dated new writes back to it.
    """
    known = {record.version: record for record in records if record.document}
    era = changes.version.era
    listed = {record.subject for record in backup_listing(changes).records}
    redated = tuple(
        replace(record, version=StateVersion(era, record.version.revision))
        if record.subject in listed
        and record.version in known
        and are_different_writes(known[record.version], record)
        else record
        for record in changes.records
    )
    return replace(changes, records=redated)


def is_same_order(known: Record, listed: Record) -> bool:
    """Return whether a listed order to drain is one that was returned.

    A later write of an order that existed at the restore keeps the time at
    which the order was given. It may be a new order: operators write again what
    the restore lost, and the store can't tell the two apart.
    """
    match known.document, listed.document:
        case TakenOut(created=known_created), TakenOut(created=created) if (
            known_created and created
        ):
            is_older = listed.version.revision <= known.version.revision
            return known_created == created and is_older
    return known.version.revision == listed.version.revision


def is_same_incarnation(known: Document, listed: Document) -> bool:
    """Return whether two documents are not of two starts of an upstream."""
    match known, listed:
        case UpstreamEntry(born=known_born), UpstreamEntry(born=born):
            return known_born == born
    return True


def is_later_state(before: Document | None, after: Document | None) -> bool:
    """Return whether an upstream published one state after another."""
    match before, after:
        case UpstreamEntry(born=born), UpstreamEntry(born=later_born) if (
            born < later_born
        ):
            return True
    return began_leaving(before, after)


def contested_subjects(changes: Changes, view: KnownState) -> tuple[str, ...]:
    """Return documents that one state lists and the other has only kept.

    The store had them after its restore, and lacked them later.
    """
    kept = view.kept
    return tuple(
        record.subject
        for record in changes.records
        if _is_contested(record.subject, kept, changes, view.version)
        and record.document is not None
        and (known := view.get(record.subject)) is not None
        and known.document is not None
    )


def _is_contested(
    subject: str,
    kept: frozenset[str],
    changes: Changes,
    version: StateVersion,
) -> bool:
    if subject in kept:
        return subject not in changes.kept and version >= changes.version
    return subject in changes.kept and changes.version >= version


def _is_unknown_write(
    record: Record, known_records: Mapping[str, Record], reached: int
) -> bool:
    """Return whether the view would know a write if it were an earlier one."""
    known = known_records.get(record.subject)
    revision = record.version.revision
    if known is None:
        # An earlier one may have been deleted up to the known revision.
        return revision == reached
    if known.document is None:
        return False
    if revision < known.version.revision:
        return is_later_state(known.document, record.document)
    latest = StateVersion(known.version.era + 1, revision)
    if resolve(known, Record(record.subject, latest, record.document)) is known:
        # A lower configuration: the known record is not the latest one.
        return False
    return known.version.revision < revision <= reached
