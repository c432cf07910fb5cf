"""Sets of changes of the store, and their encoding between peers."""

import zlib
from collections.abc import Sequence
from dataclasses import astuple, dataclass
from typing import Any, Final

import msgpack
from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.version._documents import (
    Configuration,
    Document,
    Route,
    ServicePolicy,
    ServiceShare,
    TakenOut,
    UpstreamEntry,
)

_COMPRESSION_LEVEL: Final = 1
_CONFIGURATION: Final = 1
_TAKEN_OUT: Final = 2
_UPSTREAM: Final = 3


class ChangesEncodingError(RagwortpostError):
    """A peer's message of changes can't be decoded."""

    def __init__(self, cause: str) -> None:
        """Initialize with the cause."""
        super().__init__(cause)
        self.cause = cause


@dataclass(frozen=True, slots=True)
class Record:
    """One document at the revision of its last change."""

    # Identifies the document in the store.
    subject: str
    # The store's revision of the document's last change.
    revision: int
    # The document; none if it was deleted or is invalid.
    document: Document | None


@dataclass(frozen=True, slots=True)
class Changes:
    """All changes between two revisions of the store."""

    # The revision before the changes; zero if the records are the whole state.
    after: int
    # The revision after the changes.
    revision: int
    # The changed records, or all records.
    records: tuple[Record, ...]

    @property
    def complete(self) -> bool:
        """Whether the records are the whole state."""
        return self.after == 0


def encode_changes(changes: Changes) -> bytes:
    """Encode changes as a message to peers."""
    rows = [
        (record.subject, record.revision, _to_row(record.document))
        for record in changes.records
    ]
    message: bytes = msgpack.packb((changes.after, changes.revision, rows))
    return zlib.compress(message, _COMPRESSION_LEVEL)


def decode_changes(message: bytes) -> Result[Changes, ChangesEncodingError]:
    """Decode the changes in a peer's message."""
    try:
        after, revision, rows = msgpack.unpackb(zlib.decompress(message))
        records = tuple(
            Record(subject, number, _from_row(row))
            for subject, number, row in rows
        )
    except (ValueError, TypeError, zlib.error) as error:
        return Err(ChangesEncodingError(repr(error)))
    return Ok(Changes(after, revision, records))


def _to_row(document: Document | None) -> Sequence[Any] | None:
    match document:
        case None:
            return None
        case Configuration():
            return (_CONFIGURATION, *astuple(document))
        case TakenOut():
            return (_TAKEN_OUT, *astuple(document))
        case UpstreamEntry():
            return (_UPSTREAM, *astuple(document))


def _from_row(row: Sequence[Any] | None) -> Document | None:
    match row:
        case None:
            return None
        case (1, version, routes, services, idle):
            return Configuration(
                version,
                tuple(_route(fields) for fields in routes),
                tuple(ServicePolicy(*fields) for fields in services),
                idle,
            )
        case (2, data_centre):
            return TakenOut(data_centre)
        case (3, *fields):
            return UpstreamEntry(*fields)
    raise ValueError(f'unknown kind of document: {row[0]!r}')


def _route(fields: Sequence[Any]) -> Route:
    return Route(
        key=fields[0],
        name=fields[1],
        timeout=fields[2],
        target=fields[3],
        shares=tuple(ServiceShare(*share) for share in fields[4]),
    )
