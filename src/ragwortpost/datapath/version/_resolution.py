"""Decides which of two records of a document is in force.

The result does not depend on the order in which records arrive, so processes
that exchange their records agree, whatever eras their views were in. Versions
are compared first. Two kinds of knowledge are kept from the older record: the
highest version of the configuration, and that an incarnation of an upstream
was leaving in an earlier era.
"""

from dataclasses import replace

from ragwortpost.datapath.version._changes import Record
from ragwortpost.datapath.version._documents import (
    Configuration,
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


def _keep_leaving(record: Record, superseded: Record) -> Record:
    """Return a record, leaving if its incarnation was so in another era."""
    if record.version.era == superseded.version.era:
        return record
    match record.document, superseded.document:
        case (
            UpstreamEntry(leaving=False, born=born) as upstream,
            UpstreamEntry(leaving=True, born=superseded_born),
        ) if born == superseded_born:
            return replace(record, document=replace(upstream, leaving=True))
    return record
