"""Sets of changes of the store, and their encoding between peers."""

import re
import zlib
from collections.abc import Callable, Sequence
from dataclasses import astuple, dataclass, fields
from typing import Annotated, Any, Final, TypeAlias

from msgspec import Meta, MsgspecError, Raw, ValidationError
from msgspec.msgpack import Decoder, encode
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
from ragwortpost.datapath.version._state_version import (
    ORIGIN,
    EraMark,
    Natural,
    StateVersion,
)

_COMPRESSION_LEVEL: Final = 1
# Maximum size of an unpacked message. The platform's values have at most 1 MiB,
# and a compressed message must not fill the memory of the process.
MAX_UNPACKED_BYTES: Final = 16777216
_CONFIGURATION: Final = 1
_TAKEN_OUT: Final = 2
_UPSTREAM: Final = 3

# The types of the rows that documents are encoded as: the kind of the document
# and its fields in order.
_Seconds: TypeAlias = Annotated[float, Meta(ge=0)]
_OCTET: Final = r'(25[0-5]|2[0-4]\d|1?\d?\d)'
Host: TypeAlias = Annotated[str, Meta(pattern=rf'^{_OCTET}(\.{_OCTET}){{3}}\Z')]
_RouteKey: TypeAlias = Annotated[bytes, Meta(min_length=6, max_length=6)]
_ShareRow: TypeAlias = tuple[str, _Seconds]
_RouteRow: TypeAlias = tuple[
    _RouteKey,
    str,
    _Seconds,
    _Seconds,
    Annotated[tuple[_ShareRow, ...], Meta(min_length=1)],
    int,
]
_PolicyRow: TypeAlias = tuple[str, Natural, _Seconds, _Seconds | None]
_CONFIGURATION_DECODER: Final[Decoder[Any]] = Decoder(
    tuple[int, int, tuple[_RouteRow, ...], tuple[_PolicyRow, ...], _Seconds]
)
_TAKEN_OUT_DECODER: Final[Decoder[Any]] = Decoder(tuple[int, str, Natural])
_UPSTREAM_DECODER: Final[Decoder[Any]] = Decoder(
    tuple[int, str, str, Host, str, Natural, bool, _Seconds, int, Natural]
)
_MESSAGE_DECODER: Final[Decoder[Any]] = Decoder(
    tuple[
        StateVersion,
        StateVersion,
        tuple[tuple[str, StateVersion, Raw], ...],
        tuple[EraMark, ...],
        tuple[str, ...],
        _Seconds,
    ]
)
_ROW_PARTS_DECODER: Final = Decoder(tuple[Raw, ...])
_KIND_DECODER: Final = Decoder(int)
_DELETED: Final = encode(None)
# The index of a row's invalid field in a message of the decoder.
_FIELD_INDEX: Final = re.compile(r'\$\[(\d+)\]')


class ChangesEncodingError(RagwortpostError):
    """A peer's message of changes can't be decoded."""

    def __init__(self, cause: str, field: str = '') -> None:
        """Initialize with the cause and the invalid field, if it is known."""
        super().__init__(cause, field)
        self.cause = cause
        self.field = field


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
        (record.subject, record.version, _to_row(record.document))
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
    after, version, rows, *others = _MESSAGE_DECODER.decode(message)
    records = tuple(
        Record(subject, changed, _from_row(subject, row))
        for subject, changed, row in rows
    )
    return Changes(after, version, records, *others)


def _unpack(message: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(message, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise ChangesEncodingError(
            f'incomplete or larger than {MAX_UNPACKED_BYTES} bytes'
        )
    return unpacked


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


def _from_row(subject: str, row: Raw) -> Document | None:
    """Return the document in a row; the errors name the subject and field."""
    if bytes(row) == _DELETED:
        return None
    parts = _ROW_PARTS_DECODER.decode(row)
    kind = _KIND_DECODER.decode(parts[0]) if parts else 0
    match kind:
        case 1:
            document_type: type[Document] = Configuration
            decode_row: Callable[[Raw], Document] = _decode_configuration
        case 2:
            document_type, decode_row = TakenOut, _decode_taken_out
        case 3:
            document_type, decode_row = UpstreamEntry, _decode_upstream
        case _:
            raise ChangesEncodingError(f'{subject}: kind {kind}', 'kind')
    try:
        return decode_row(row)
    except ValidationError as error:
        field = _invalid_field(document_type, str(error))
        raise ChangesEncodingError(f'{subject}: {error}', field) from error


def _decode_configuration(row: Raw) -> Configuration:
    _, version, routes, *limits = _CONFIGURATION_DECODER.decode(row)
    services, idle = limits
    return Configuration(
        version,
        tuple(_to_route(*route) for route in routes),
        tuple(ServicePolicy(*policy) for policy in services),
        idle,
    )


def _to_route(
    key: bytes,
    name: str,
    timeout: float,
    target: float,
    *others: Any,
) -> Route:
    shares, priority = others
    return Route(
        key,
        name,
        timeout,
        target,
        tuple(ServiceShare(*share) for share in shares),
        priority,
    )


def _decode_taken_out(row: Raw) -> TakenOut:
    return TakenOut(*_TAKEN_OUT_DECODER.decode(row)[1:])


def _decode_upstream(row: Raw) -> UpstreamEntry:
    return UpstreamEntry(*_UPSTREAM_DECODER.decode(row)[1:])


def _invalid_field(document_type: type[Document], message: str) -> str:
    """Return the document's field at the path that an error message gives."""
    found = _FIELD_INDEX.search(message)
    if found is None:
        return ''
    names = ('kind', *(field.name for field in fields(document_type)))
    return names[int(found.group(1))]
