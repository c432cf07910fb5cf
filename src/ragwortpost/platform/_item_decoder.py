"""Decodes items of the platform's store into documents.

Any program may write items. Types are checked and never converted: a value of
another type shows that the item is of another writer.
"""

from base64 import b64decode
from socket import inet_aton, inet_ntoa
from typing import Annotated, Final, Literal, TypeAlias

from msgspec import Meta, MsgspecError, Struct, convert
from msgspec.json import Decoder

from ragwortpost.datapath.version import (
    Configuration,
    Document,
    Record,
    Route,
    ServicePolicy,
    ServiceShare,
    StateVersion,
    TakenOut,
    UpstreamEntry,
)

CONFIGURATION_KEY: Final = 'op/config'
EVACUATION_PREFIX: Final = 'op/evacuate/'
UPSTREAM_PREFIX: Final = 'servers/'
_MS_PER_SECOND: Final = 1000
_DECODE_ERRORS: Final = (
    MsgspecError,
    ValueError,
    OSError,
    OverflowError,
    RecursionError,
)
_PORT_BYTES: Final = 2
# Maximum length of the names in an upstream's item, that of a key. Each process
# sends them to its peers: longer ones would delay every change on slow links.
MAX_NAME_BYTES: Final = 200
# At most the largest signed number of 64 bits.
Natural: TypeAlias = Annotated[int, Meta(ge=0, le=0x7FFFFFFFFFFFFFFF)]
# At most the largest load that messages between processes carry.
_Slots: TypeAlias = Annotated[int, Meta(ge=0, le=0xFFFF)]
_NonNegative: TypeAlias = Annotated[float, Meta(ge=0)]
_Address: TypeAlias = Annotated[str, Meta(pattern=r'^[0-9.]+:[0-9]{1,5}\Z')]
# The path prefix of a route is the port to which callers send.
_Prefix: TypeAlias = Annotated[str, Meta(pattern=r'^/?[0-9]{1,5}/?\Z')]


class _StoredItem(Struct, rename={'encoded': 'value'}):
    key: str
    revision: Natural
    encoded: str = ''
    created: Natural = 0
    tombstone: bool = False


class _UpstreamItem(Struct, rename='camel'):
    service: str
    address: _Address
    zone: str
    slots: _Slots
    state: Literal['ready', 'draining']
    warmup_left_ms: float
    version: str = ''
    born: Natural = 0
    sequence: Natural = 0


class _SplitItem(Struct):
    service: str
    weight: _NonNegative


class _RouteItem(Struct, rename='camel'):
    name: str
    host: str
    prefix: _Prefix
    timeout_ms: _NonNegative
    target_latency_ms: _NonNegative
    service: str | None = None
    split: list[_SplitItem] | None = None
    priority: Natural = 0


class _ServiceItem(Struct, rename='camel'):
    name: str
    max_conns: Natural
    warmup_s: _NonNegative
    warmup_per_s: _NonNegative | None


class _LimitsItem(Struct, rename='camel'):
    idle_timeout_ms: _NonNegative


class _ConfigurationItem(Struct):
    version: Natural
    routes: list[_RouteItem]
    services: list[_ServiceItem]
    limits: _LimitsItem


_UPSTREAM_DECODER: Final = Decoder(_UpstreamItem)
_CONFIGURATION_DECODER: Final = Decoder(_ConfigurationItem)


class UnusableItemError(ValueError):
    """An item does not conform to the platform's format."""

    def __init__(self, key: str, revision: int, cause: str) -> None:
        """Initialize with the item's key, its revision and the cause.

        The key is empty and the revision zero if they are invalid themselves.
        """
        super().__init__(key, revision, cause)
        self.key = key
        self.revision = revision
        self.cause = cause


def decode_item(stored_item: object) -> Record | None:
    """Return the record of a stored item or a change event.

    Returns none for keys that are not used here. The era of the record's
    version is left at zero: an item does not tell it. Raises
    :class:`UnusableItemError` for an invalid item.
    """
    try:
        envelope = _decode_envelope(stored_item)
    except _DECODE_ERRORS as error:
        raise UnusableItemError('', 0, str(error)) from error
    try:
        return _decode_value(envelope)
    except _DECODE_ERRORS as error:
        raise UnusableItemError(
            envelope.key, envelope.revision, str(error)
        ) from error


def _decode_envelope(stored_item: object) -> _StoredItem:
    envelope = convert(stored_item, _StoredItem)
    # A key with an unpaired surrogate can't be sent to other processes.
    envelope.key.encode()
    return envelope


def _decode_value(envelope: _StoredItem) -> Record | None:
    version = StateVersion(0, envelope.revision)
    if envelope.tombstone:
        return Record(envelope.key, version, None)
    document: Document
    if envelope.key.startswith(EVACUATION_PREFIX):
        zone = envelope.key.removeprefix(EVACUATION_PREFIX)
        document = TakenOut(zone, envelope.created)
    elif envelope.key == CONFIGURATION_KEY:
        document = _decode_configuration(_value_of(envelope))
    elif envelope.key.startswith(UPSTREAM_PREFIX):
        upstream_id = envelope.key.removeprefix(UPSTREAM_PREFIX)
        document = _decode_upstream(upstream_id, _value_of(envelope))
    else:
        return None
    return Record(envelope.key, version, document)


def _value_of(envelope: _StoredItem) -> bytes:
    return b64decode(envelope.encoded, validate=True)


def _decode_configuration(encoded: bytes) -> Configuration:
    fields = _CONFIGURATION_DECODER.decode(encoded)
    return Configuration(
        version=fields.version,
        routes=tuple(map(_decode_route, fields.routes)),
        services=tuple(
            ServicePolicy(
                name=service.name,
                connection_limit=service.max_conns,
                warm_up_seconds=service.warmup_s,
                # Zero means that the service does not set a rate.
                warm_up_rate=service.warmup_per_s or None,
            )
            for service in fields.services
        ),
        idle_seconds=fields.limits.idle_timeout_ms / _MS_PER_SECOND,
    )


def _decode_route(fields: _RouteItem) -> Route:
    port = int(fields.prefix.strip('/'))
    return Route(
        key=inet_aton(fields.host) + port.to_bytes(_PORT_BYTES),
        name=fields.name,
        timeout=fields.timeout_ms / _MS_PER_SECOND,
        target=fields.target_latency_ms / _MS_PER_SECOND,
        shares=_shares_of(fields),
        priority=fields.priority,
    )


def _shares_of(fields: _RouteItem) -> tuple[ServiceShare, ...]:
    if fields.split:
        return tuple(
            ServiceShare(part.service, part.weight) for part in fields.split
        )
    if fields.service is None:
        raise ValueError(f'route {fields.name!r} has no service')
    return (ServiceShare(fields.service, 1.0),)


def _decode_upstream(upstream_id: str, encoded: bytes) -> UpstreamEntry:
    fields = _UPSTREAM_DECODER.decode(encoded)
    host, _, port = fields.address.rpartition(':')
    if inet_ntoa(inet_aton(host)) != host:
        raise ValueError(f'{host!r} is not a dotted IPv4 address')
    int(port).to_bytes(_PORT_BYTES)
    return UpstreamEntry(
        ident=upstream_id,
        service=_check_name(fields.service),
        host=host,
        data_centre=_check_name(fields.zone),
        slots=fields.slots,
        leaving=fields.state == 'draining',
        warm_up_left=max(0, fields.warmup_left_ms / _MS_PER_SECOND),
        born=fields.born,
        sequence=fields.sequence,
    )


def _check_name(name: str) -> str:
    length = len(name.encode())
    if length > MAX_NAME_BYTES:
        raise ValueError(f'a name of {length} bytes is too long')
    return name
