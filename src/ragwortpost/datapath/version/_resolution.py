"""Decides which of two records of a document is in force.

The result does not depend on the order in which records arrive, so processes
that exchange their records agree, whatever eras their views were in. Versions
are compared first. Two kinds of knowledge are kept from the older record: the
highest version of the configuration, and that an incarnation of an upstream
was leaving in an earlier era or in a state that it published later.
"""

from dataclasses import replace

from ragwortpost.datapath.version._changes import Record
from ragwortpost.datapath.version._documents import (
    Configuration,
    Document,
    TakenOut,
    UpstreamEntry,
)


def resolve(known: Record, received: Record) -> Record:
    """Return the record in force, ``known`` if nothing changes."""
    match known.document, received.document:
        case Configuration(version=known_version), Configuration(
            version=received_version
        ) if known_version != received_version:
            return known if known_version > received_version else received
        case Configuration(), None:
            return known
        case None, Configuration():
            return received
    if received.version > known.version:
        return _keep_leaving(received, known)
    if received.version == known.version and received.document is None:
        return known if known.document is None else received
    return _keep_leaving(known, received)


def are_different_writes(known: Record, listed: Record) -> bool:
    """Return whether two records of one revision are of different writes.

    Then the store has assigned the revision again after a restore. What a
    process derives and what changes without a new revision is not compared.
    """
    if known.subject != listed.subject:
        return True
    match known.document, listed.document:
        case Configuration(version=known_version), Configuration(
            version=listed_version
        ):
            return known_version != listed_version
        case UpstreamEntry() as before, UpstreamEntry() as now:
            derived = replace(
                before,
                leaving=before.leaving or now.leaving,
                warm_up_left=now.warm_up_left,
                sequence=now.sequence,
            )
            was_ready = now.leaving and not before.leaving
            return was_ready or derived != replace(now, leaving=derived.leaving)
        case TakenOut(), TakenOut():
            return False
    return True


def began_leaving(before: Document | None, after: Document | None) -> bool:
    """Return whether an incarnation published a state of leaving later.

    Its sequence orders the states even where a restore has set the revisions
    back between them.
    """
    match before, after:
        case (
            UpstreamEntry(leaving=False, born=born, sequence=sequence),
            UpstreamEntry(leaving=True, born=later_born, sequence=later),
        ):
            return born == later_born and sequence < later
    return False


def _keep_leaving(record: Record, superseded: Record) -> Record:
    """Return a record, leaving if its incarnation is known to be so."""
    is_later = record.version > superseded.version
    if is_later and record.version.era == superseded.version.era:
        # A record of one era may be dated too early, but not too late.
        if not began_leaving(record.document, superseded.document):
            return record
    match record.document, superseded.document:
        case (
            UpstreamEntry(leaving=False, born=born) as upstream,
            UpstreamEntry(leaving=True, born=superseded_born),
        ) if born == superseded_born:
            return replace(record, document=replace(upstream, leaving=True))
    return record
