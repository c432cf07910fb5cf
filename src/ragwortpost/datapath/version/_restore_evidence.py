"""Evidence about what happened to the store around its last restore."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from ragwortpost.datapath.version._changes import Changes, Record
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
    changes: Changes, records: Iterable[Record], eras: EraMarks
) -> int:
    """Return an upper bound of the revision that the store was restored to.

    Writers may have written to the restored store before its first read. A
    revision that was another write before the restore shows this.
    """
    # Inferred deletions have versions of other documents.
    live = [record for record in records if record.document is not None]
    by_version = {record.version: record for record in live}
    by_subject = {record.subject: record for record in live}
    era = changes.version.era - 1
    assigned_again = [
        record.version.revision
        for record in changes.records
        if _is_unknown_write(record, by_subject, eras.reached_of(era))
        or are_different_writes(
            by_version.get(eras.date(record.version.revision, era), record),
            record,
        )
    ]
    return min(assigned_again, default=changes.version.revision + 1) - 1


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
    if known is None:
        return False
    revision = record.version.revision
    if revision < known.version.revision:
        return began_leaving(known.document, record.document)
    latest = StateVersion(known.version.era + 1, revision)
    if resolve(known, Record(record.subject, latest, record.document)) is known:
        # A lower configuration: the known record is not the latest one.
        return False
    return known.version.revision < revision <= reached
