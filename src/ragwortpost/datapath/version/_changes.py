"""Sets of changes of the store, and their encoding between peers."""

import zlib
from dataclasses import dataclass
from typing import Annotated, Final

from msgspec import Meta, MsgspecError, Raw, Struct
from msgspec.msgpack import Decoder, encode
from result import Err, Ok, Result

from ragwortpost.datapath.version._document_rows import (
    ChangesEncodingError,
    decode_document,
    encode_document,
)
from ragwortpost.datapath.version._documents import Document
from ragwortpost.datapath.version._state_version import (
    ORIGIN,
    EraMark,
    StateVersion,
)

_COMPRESSION_LEVEL: Final = 1
# Maximum size of an unpacked message. The platform's values have at most 1 MiB,
# and a compressed message must not fill the memory of the process.
MAX_UNPACKED_BYTES: Final = 16777216


class _RecordRow(Struct, array_like=True):
    subject: str
    version: StateVersion
    document: Raw


class _ChangesMessage(Struct, array_like=True):
    after: StateVersion
    version: StateVersion
    records: tuple[_RecordRow, ...]
    marks: tuple[EraMark, ...]
    kept: tuple[str, ...]
    era_age: Annotated[float, Meta(ge=0)]


_MESSAGE_DECODER: Final = Decoder(_ChangesMessage)


@dataclass(frozen=True, slots=True)
class Record:
    """One document at the version of its last change."""

    # Identifies the document in the store.
    subject: str
    # The version of the document's last change.
    version: StateVersion
    # The document; none if it was deleted or is invalid.
    document: Document | None


@dataclass(frozen=True, slots=True)
class Changes:
    """All changes between two versions of the store's state."""

    # The version before the changes; the origin if the records are the whole
    # state.
    after: StateVersion
    # The version after the changes.
    version: StateVersion
    # The changed records, or all records.
    records: tuple[Record, ...]
    # With the whole state: what the sender knows about the store's eras.
    marks: tuple[EraMark, ...] = ()
    # With the whole state: documents kept for a while although the store lost
    # them in its last restore.
    kept: tuple[str, ...] = ()
    # Seconds since the first read of the version's era.
    era_age: float = 0

    @property
    def complete(self) -> bool:
        """Whether the records are the whole state."""
        return self.after == ORIGIN


def encode_changes(changes: Changes) -> bytes:
    """Encode changes as a message to peers."""
    rows = [
        (record.subject, record.version, encode_document(record.document))
        for record in changes.records
    ]
    message = encode(
        (
            changes.after,
            changes.version,
            rows,
            changes.marks,
            changes.kept,
            float(changes.era_age),
        )
    )
    return zlib.compress(message, _COMPRESSION_LEVEL)


def decode_changes(message: bytes) -> Result[Changes, ChangesEncodingError]:
    """Decode the changes in a peer's message."""
    try:
        return Ok(_decode_message(_unpack(message)))
    except ChangesEncodingError as invalid:
        return Err(invalid)
    except (MsgspecError, ValueError, zlib.error) as error:
        return Err(ChangesEncodingError(repr(error)))


def _decode_message(message: bytes) -> Changes:
    decoded = _MESSAGE_DECODER.decode(message)
    records = tuple(
        Record(
            row.subject, row.version, decode_document(row.subject, row.document)
        )
        for row in decoded.records
    )
    return Changes(
        decoded.after,
        decoded.version,
        records,
        decoded.marks,
        decoded.kept,
        decoded.era_age,
    )


def _unpack(message: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(message, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise ChangesEncodingError(
            f'incomplete or larger than {MAX_UNPACKED_BYTES} bytes'
        )
    return unpacked
