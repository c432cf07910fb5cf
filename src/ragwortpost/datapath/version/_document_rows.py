"""Rows that documents are encoded as in messages between processes.

A row is a MessagePack array of the kind of the document and its fields in
order. Trailing fields that later builds add are ignored.
"""

import re
from collections.abc import Callable, Sequence
from dataclasses import astuple, fields
from typing import Annotated, Any, Final, TypeAlias

from msgspec import Meta, MsgspecError, Raw, Struct, ValidationError
from msgspec.msgpack import Decoder, encode
from msgspec.structs import astuple as row_fields

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
from ragwortpost.datapath.version._state_version import Natural

_CONFIGURATION: Final = 1
_TAKEN_OUT: Final = 2
_UPSTREAM: Final = 3

_Seconds: TypeAlias = Annotated[float, Meta(ge=0)]
_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])'
Host: TypeAlias = Annotated[str, Meta(pattern=rf'^{_OCTET}(\.{_OCTET}){{3}}\Z')]
RouteKeyField: TypeAlias = Annotated[bytes, Meta(min_length=6, max_length=6)]


class _ShareRow(Struct, array_like=True):
    service: str
    weight: _Seconds


class _RouteRow(Struct, array_like=True):
    key: RouteKeyField
    name: str
    timeout: _Seconds
    target: _Seconds
    shares: Annotated[tuple[_ShareRow, ...], Meta(min_length=1)]
    priority: int


class _PolicyRow(Struct, array_like=True):
    name: str
    connection_limit: Natural
    warm_up_seconds: _Seconds
    warm_up_rate: _Seconds | None


class _ConfigurationRow(Struct, array_like=True):
    kind: int
    version: int
    routes: tuple[_RouteRow, ...]
    services: tuple[_PolicyRow, ...]
    idle_seconds: _Seconds


class _TakenOutRow(Struct, array_like=True):
    kind: int
    data_centre: str
    created: Natural


class _UpstreamRow(Struct, array_like=True):
    kind: int
    ident: str
    service: str
    host: Host
    data_centre: str
    slots: Natural
    leaving: bool
    warm_up_left: _Seconds
    born: int
    sequence: Natural


_CONFIGURATION_DECODER: Final = Decoder(_ConfigurationRow)
_TAKEN_OUT_DECODER: Final = Decoder(_TakenOutRow)
_UPSTREAM_DECODER: Final = Decoder(_UpstreamRow)
_ROW_PARTS_DECODER: Final = Decoder(tuple[Raw, ...])
_KIND_DECODER: Final = Decoder(int)
_CHECKED_DECODER: Final = Decoder(tuple[str, Raw])
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


def encode_document(document: Document | None) -> Sequence[Any] | None:
    """Return the row of a document, or none for a deleted one."""
    match document:
        case None:
            return None
        case Configuration():
            return (_CONFIGURATION, *astuple(document))
        case TakenOut():
            return (_TAKEN_OUT, *astuple(document))
        case UpstreamEntry():
            return (_UPSTREAM, *astuple(document))


def decode_document(subject: str, row: Raw) -> Document | None:
    """Return the document in a row, or none for a deleted one.

    Raises :class:`ChangesEncodingError` with the subject and the invalid field.
    """
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


def check_document(subject: str, document: Document | None) -> None:
    """Check that peers can decode what a document is encoded as.

    Raises :class:`ChangesEncodingError` if they can't, or if the document is
    not the same afterwards.
    """
    try:
        row = encode((subject, encode_document(document)))
    except (MsgspecError, ValueError, OverflowError) as error:
        raise ChangesEncodingError(f'{subject!r}: {error}') from error
    _, document_row = _CHECKED_DECODER.decode(row)
    if decode_document(subject, document_row) != document:
        raise ChangesEncodingError(f'{subject}: {document} is altered')


def _decode_configuration(row: Raw) -> Configuration:
    decoded = _CONFIGURATION_DECODER.decode(row)
    return Configuration(
        decoded.version,
        tuple(map(_to_route, decoded.routes)),
        tuple(
            ServicePolicy(*row_fields(policy)) for policy in decoded.services
        ),
        decoded.idle_seconds,
    )


def _to_route(row: _RouteRow) -> Route:
    shares = tuple(ServiceShare(*row_fields(share)) for share in row.shares)
    return Route(
        row.key, row.name, row.timeout, row.target, shares, row.priority
    )


def _decode_taken_out(row: Raw) -> TakenOut:
    decoded = _TAKEN_OUT_DECODER.decode(row)
    return TakenOut(decoded.data_centre, decoded.created)


def _decode_upstream(row: Raw) -> UpstreamEntry:
    return UpstreamEntry(*row_fields(_UPSTREAM_DECODER.decode(row))[1:])


def _invalid_field(document_type: type[Document], message: str) -> str:
    """Return the document's field at the path that an error message gives."""
    found = _FIELD_INDEX.search(message)
    if found is None:
        return ''
    names = ('kind', *(field.name for field in fields(document_type)))
    return names[int(found.group(1))]
