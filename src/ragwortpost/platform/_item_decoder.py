"""Decodes items of the platform's store into documents."""

import json
from base64 import b64decode
from collections.abc import Mapping
from socket import inet_aton, inet_ntoa
from typing import Any, Final

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
_STATES: Final = ('ready', 'draining')
_MS_PER_SECOND: Final = 1000
_DECODE_ERRORS: Final = (
    KeyError,
    ValueError,
    TypeError,
    AttributeError,
    OSError,
    OverflowError,
)
# The largest signed number of 64 bits.
_MAX_NATURAL: Final = 0x7FFFFFFFFFFFFFFF
_PORT_BYTES: Final = 2


class UnusableItemError(ValueError):
    """An item's value does not conform to the platform's format."""


def decode_item(stored_item: Mapping[str, Any]) -> Record | None:
    """Return the record of a stored item or a change event.

    Returns none for keys that are not used here. The era of the record's
    version is left at zero: an item does not tell it. Raises
    :class:`UnusableItemError` for an invalid value; the store client decides
    whether the document then stays in the view.
    """
    try:
        key, revision = stored_item['key'], stored_item['revision']
        if stored_item.get('tombstone'):
            return Record(key, StateVersion(0, revision), None)
        return _decode_value(key, StateVersion(0, revision), stored_item)
    except _DECODE_ERRORS as error:
        raise UnusableItemError(repr(error)) from error


def _decode_value(
    key: str,
    version: StateVersion,
    stored_item: Mapping[str, Any],
) -> Record | None:
    if key.startswith(EVACUATION_PREFIX):
        zone = key.removeprefix(EVACUATION_PREFIX)
        created = _require_natural(int(stored_item.get('created', 0)))
        return Record(key, version, TakenOut(zone, created))
    document: Document
    if key == CONFIGURATION_KEY:
        document = _decode_configuration(_decode_fields(stored_item))
    elif key.startswith(UPSTREAM_PREFIX):
        upstream_id = key.removeprefix(UPSTREAM_PREFIX)
        document = _decode_upstream(upstream_id, _decode_fields(stored_item))
    else:
        return None
    return Record(key, version, document)


def _decode_fields(stored_item: Mapping[str, Any]) -> Mapping[str, Any]:
    fields: Mapping[str, Any] = json.loads(b64decode(stored_item['value']))
    return fields


def _decode_configuration(fields: Mapping[str, Any]) -> Configuration:
    return Configuration(
        version=int(fields['version']),
        routes=tuple(_decode_route(route) for route in fields['routes']),
        services=tuple(
            _decode_service(service) for service in fields['services']
        ),
        idle_seconds=fields['limits']['idleTimeoutMs'] / _MS_PER_SECOND,
    )


def _decode_route(fields: Mapping[str, Any]) -> Route:
    # The path prefix of a route is the port to which callers send.
    port = int(fields['prefix'].strip('/'))
    key = inet_aton(fields['host']) + port.to_bytes(_PORT_BYTES)
    split = fields.get('split')
    if split:
        shares = tuple(
            ServiceShare(part['service'], float(part['weight']))
            for part in split
        )
    else:
        shares = (ServiceShare(fields['service'], 1.0),)
    return Route(
        key=key,
        name=fields['name'],
        timeout=fields['timeoutMs'] / _MS_PER_SECOND,
        target=fields['targetLatencyMs'] / _MS_PER_SECOND,
        shares=shares,
        priority=int(fields.get('priority', 0)),
    )


def _decode_service(fields: Mapping[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=fields['name'],
        connection_limit=int(fields['maxConns']),
        warm_up_seconds=float(fields['warmupS']),
        # Zero means that the service does not set a rate.
        warm_up_rate=fields['warmupPerS'] or None,
    )


def _decode_upstream(
    upstream_id: str, fields: Mapping[str, Any]
) -> UpstreamEntry:
    if fields['state'] not in _STATES:
        raise UnusableItemError(f'unknown state {fields["state"]!r}')
    host, _, port = fields['address'].rpartition(':')
    if inet_ntoa(inet_aton(host)) != host:
        raise UnusableItemError(f'{host!r} is not a dotted IPv4 address')
    int(port)
    return UpstreamEntry(
        ident=upstream_id,
        service=_require_string(fields['service']),
        host=host,
        data_centre=_require_string(fields['zone']),
        slots=_require_natural(int(fields['slots'])),
        leaving=fields['state'] == 'draining',
        # Also zero if it is negative or not a number.
        warm_up_left=max(0, fields['warmupLeftMs'] / _MS_PER_SECOND),
        born=_require_natural(int(fields.get('born', 0))),
        sequence=_require_natural(int(fields.get('sequence', 0))),
    )


def _require_natural(number: int) -> int:
    """Return a number if it fits the messages between processes."""
    if 0 <= number <= _MAX_NATURAL:
        return number
    raise UnusableItemError(f'{number} is not in 0 to {_MAX_NATURAL}')


def _require_string(field: object) -> str:
    if isinstance(field, str):
        return field
    raise UnusableItemError(f'{field!r} is not a string')
