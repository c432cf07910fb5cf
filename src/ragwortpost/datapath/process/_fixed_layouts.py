"""Binary layouts of the messages about inventories and room.

Decoders raise :class:`struct.error` for a datagram that is too short, and
ignore trailing bytes, which are fields of later builds.
"""

import struct
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias

from ragwortpost.datapath.process._messages import (
    Inventory,
    InventoryQuery,
    RoomDemand,
    RoomGrant,
)

FixedMessage: TypeAlias = InventoryQuery | Inventory | RoomDemand | RoomGrant

INVENTORY_QUERY: Final = 15
INVENTORY: Final = 16
ROOM_DEMAND: Final = 17
ROOM_GRANT: Final = 18
# Maximum hashes of flows in one part of an inventory: 1,200 bytes, which fit
# into one datagram.
HASHES_PER_DATAGRAM: Final = 300
# Largest numbers that fields of one and of two bytes hold; larger ones are sent
# as these.
_MAX_BYTE: Final = 0xFF
_MAX_SHORT: Final = 0xFFFF
_HASH_BYTES: Final = 4
_INVENTORY_QUERY_LAYOUT: Final = struct.Struct('!BQI')
_INVENTORY_HEADER: Final = struct.Struct('!BIHH?BB')
_ROOM_DEMAND_LAYOUT: Final = struct.Struct('!BQHBH')
_ROOM_GRANT_LAYOUT: Final = struct.Struct('!BBHHH')


def encode_fixed(message: FixedMessage) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case InventoryQuery(service, number):
            return _INVENTORY_QUERY_LAYOUT.pack(
                INVENTORY_QUERY, service, number
            )
        case Inventory():
            return _encode_inventory(message)
        case RoomDemand(service, waiting, priority, deadline_ms):
            return _ROOM_DEMAND_LAYOUT.pack(
                ROOM_DEMAND,
                service,
                min(waiting, _MAX_SHORT),
                min(priority, _MAX_BYTE),
                min(deadline_ms, _MAX_SHORT),
            )
        case RoomGrant(flows, lifetime_ms, load, pace_ms):
            return _ROOM_GRANT_LAYOUT.pack(
                ROOM_GRANT,
                min(flows, _MAX_BYTE),
                min(lifetime_ms, _MAX_SHORT),
                min(load, _MAX_SHORT),
                min(pace_ms, _MAX_SHORT),
            )


def _encode_inventory(inventory: Inventory) -> bytes:
    header = _INVENTORY_HEADER.pack(
        INVENTORY,
        inventory.number,
        min(inventory.load, _MAX_SHORT),
        min(inventory.pace_ms, _MAX_SHORT),
        inventory.complete,
        inventory.part,
        inventory.parts,
    )
    hashes = inventory.flow_hashes
    return header + struct.pack(f'!{len(hashes)}I', *hashes)


def _decode_inventory_query(datagram: bytes) -> InventoryQuery:
    return InventoryQuery(*_INVENTORY_QUERY_LAYOUT.unpack_from(datagram)[1:])


def _decode_inventory(datagram: bytes) -> Inventory:
    _, number, load, *others = _INVENTORY_HEADER.unpack_from(datagram)
    pace_ms, complete, part, parts = others
    count = (len(datagram) - _INVENTORY_HEADER.size) // _HASH_BYTES
    hashes = struct.unpack_from(f'!{count}I', datagram, _INVENTORY_HEADER.size)
    return Inventory(number, load, pace_ms, complete, part, parts, hashes)


def _decode_room_demand(datagram: bytes) -> RoomDemand:
    return RoomDemand(*_ROOM_DEMAND_LAYOUT.unpack_from(datagram)[1:])


def _decode_room_grant(datagram: bytes) -> RoomGrant:
    return RoomGrant(*_ROOM_GRANT_LAYOUT.unpack_from(datagram)[1:])


FIXED_DECODERS: Final[Mapping[int, Callable[[bytes], FixedMessage]]] = (
    MappingProxyType(
        {
            INVENTORY_QUERY: _decode_inventory_query,
            INVENTORY: _decode_inventory,
            ROOM_DEMAND: _decode_room_demand,
            ROOM_GRANT: _decode_room_grant,
        }
    )
)
