"""Encoding of the messages between processes as datagrams.

Messages about flows have fixed-size binary headers; the less frequent digests
and view changes are MessagePack arrays. The numbers of all messages, and the
layouts that they belong to, are in docs/design/versions-side-by-side.md.
"""

import struct
from collections.abc import Callable, Iterator, Mapping, Sequence
from socket import inet_aton, inet_ntoa
from types import MappingProxyType
from typing import Final

from msgspec import MsgspecError

from ragwortpost.datapath.connection import FLOW_KEY_BYTES, FlowKey
from ragwortpost.datapath.process._digest_layouts import (
    decode_digest,
    decode_extensible_digest,
    encode_digest,
)
from ragwortpost.datapath.process._fixed_layouts import (
    FIXED_DECODERS,
    encode_fixed,
)
from ragwortpost.datapath.process._layouts import (
    EXTENSIBLE_DIGESTS,
    FIXED_DIGESTS,
)
from ragwortpost.datapath.process._messages import (
    Digest,
    FlowQuery,
    FlowQueryReply,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    Inventory,
    InventoryQuery,
    Message,
    Registration,
    RoomDemand,
    RoomGrant,
)
from ragwortpost.datapath.version import (
    Changes,
    StateVersion,
    decode_changes,
    encode_changes,
)

# Numbers 2, 3, 4 and 7 had layouts without the pace of upstreams and the
# priority of routes; 8, 9 and 11 had layouts without the era of the store, and
# 14 one without the time of the order to drain a data centre.
_FORWARD: Final = 1
_REGISTRATION: Final = 5
_FLOW_QUERY: Final = 6
_FLOW_QUERY_REPLY: Final = 10
_DIGEST: Final = 12
_FORWARD_REPLY: Final = 13
_CHANGES: Final = 19
_EXTENSIBLE_DIGEST: Final = 20
# Higher loads and longer paces are sent as this one.
_MAX_SHORT: Final = 0xFFFF
# Maximum flows in one message; with the header they nearly fill a datagram.
FLOWS_PER_DATAGRAM: Final = 100
_REPLY_TO_SENDER: Final = '0.0.0.0'  # noqa: S104
_FORWARD_HEADER: Final = struct.Struct('!BBQ4s')
_FORWARD_REPLY_HEADER: Final = struct.Struct(f'!BBHHQQ{FLOW_KEY_BYTES}s')
_FLOW_QUERY_HEADER: Final = struct.Struct('!BQ')
_FLOW_QUERY_REPLY_HEADER: Final = struct.Struct('!BHHB')

_DECODE_ERRORS: Final = (MsgspecError, ValueError, IndexError, struct.error)


def batch_flows(flows: Sequence[FlowKey]) -> Iterator[tuple[FlowKey, ...]]:
    """Yield flows in batches that fit into one datagram each."""
    for start in range(0, len(flows), FLOWS_PER_DATAGRAM):
        yield tuple(flows[start : start + FLOWS_PER_DATAGRAM])


def encode(message: Message, layout: int = FIXED_DIGESTS) -> bytes:
    """Encode a message as a datagram in a layout."""
    match message:
        case Forward(purpose, service, raw, entry):
            reply_to = inet_aton(entry or _REPLY_TO_SENDER)
            header = _FORWARD_HEADER.pack(_FORWARD, purpose, service, reply_to)
            return header + raw
        case Registration(flows):
            return bytes((_REGISTRATION,)) + b''.join(flows)
        case FlowQuery(service, flows):
            return _FLOW_QUERY_HEADER.pack(_FLOW_QUERY, service) + b''.join(
                flows
            )
        case FlowQueryReply(load, denied, possibly_held, pace_ms):
            header = _FLOW_QUERY_REPLY_HEADER.pack(
                _FLOW_QUERY_REPLY,
                min(load, _MAX_SHORT),
                min(pace_ms, _MAX_SHORT),
                len(denied),
            )
            return header + b''.join((*denied, *possibly_held))
        case ForwardReply(outcome, load, version, flow, raw, pace_ms):
            header = _FORWARD_REPLY_HEADER.pack(
                _FORWARD_REPLY,
                outcome,
                min(load, _MAX_SHORT),
                min(pace_ms, _MAX_SHORT),
                *version,
                flow,
            )
            return header + raw
        case InventoryQuery() | Inventory() | RoomDemand() | RoomGrant():
            return encode_fixed(message)
        case Digest() | Changes():
            return _encode_gossip(message, layout)


def layout_of_digest(datagram: bytes) -> int:
    """Return the layout of an encoded digest."""
    is_extensible = datagram[0] == _EXTENSIBLE_DIGEST
    return EXTENSIBLE_DIGESTS if is_extensible else FIXED_DIGESTS


def _encode_gossip(message: Digest | Changes, layout: int) -> bytes:
    if isinstance(message, Changes):
        return bytes((_CHANGES,)) + encode_changes(message)
    number = _DIGEST if layout == FIXED_DIGESTS else _EXTENSIBLE_DIGEST
    return bytes((number,)) + encode_digest(message, layout)


def decode(datagram: bytes) -> Message | None:
    """Decode a datagram; return None if it is malformed."""
    try:
        return _decode(datagram)
    except _DECODE_ERRORS:
        return None


def _decode(datagram: bytes) -> Message | None:
    decoder = _DECODERS.get(datagram[0])
    return decoder(datagram) if decoder else None


def _decode_forward(datagram: bytes) -> Forward:
    _, purpose, service, reply_to = _FORWARD_HEADER.unpack_from(datagram)
    raw = datagram[_FORWARD_HEADER.size :]
    entry = inet_ntoa(reply_to) if any(reply_to) else ''
    return Forward(ForwardPurpose(purpose), service, raw, entry)


def _decode_flow_query_reply(datagram: bytes) -> FlowQueryReply:
    header = _FLOW_QUERY_REPLY_HEADER.unpack_from(datagram)
    _, load, pace_ms, denied_count = header
    flows = _decode_flows(datagram, _FLOW_QUERY_REPLY_HEADER.size)
    return FlowQueryReply(
        load, flows[:denied_count], flows[denied_count:], pace_ms
    )


def _decode_flows(datagram: bytes, start: int) -> tuple[FlowKey, ...]:
    starts = range(start, len(datagram), FLOW_KEY_BYTES)
    flows = (datagram[begin : begin + FLOW_KEY_BYTES] for begin in starts)
    return tuple(flow for flow in flows if len(flow) == FLOW_KEY_BYTES)


def _decode_forward_reply(datagram: bytes) -> ForwardReply:
    header = _FORWARD_REPLY_HEADER.unpack_from(datagram)
    return ForwardReply(
        outcome=ForwardOutcome(header[1]),
        load=header[2],
        pace_ms=header[3],
        version=StateVersion(header[4], header[5]),
        flow=header[6],
        raw=datagram[_FORWARD_REPLY_HEADER.size :],
    )


def _decode_digest(datagram: bytes) -> Digest:
    return decode_digest(datagram[1:])


def _decode_extensible_digest(datagram: bytes) -> Digest:
    return decode_extensible_digest(datagram[1:])


def _decode_changes(datagram: bytes) -> Changes | None:
    return decode_changes(datagram[1:]).unwrap_or(None)


def _decode_registration(datagram: bytes) -> Registration:
    return Registration(_decode_flows(datagram, 1))


def _decode_flow_query(datagram: bytes) -> FlowQuery:
    _, service = _FLOW_QUERY_HEADER.unpack_from(datagram)
    return FlowQuery(service, _decode_flows(datagram, _FLOW_QUERY_HEADER.size))


_DECODERS: Final[Mapping[int, Callable[[bytes], Message | None]]] = (
    MappingProxyType(
        {
            _FORWARD: _decode_forward,
            _FORWARD_REPLY: _decode_forward_reply,
            _DIGEST: _decode_digest,
            _EXTENSIBLE_DIGEST: _decode_extensible_digest,
            _CHANGES: _decode_changes,
            _REGISTRATION: _decode_registration,
            _FLOW_QUERY: _decode_flow_query,
            _FLOW_QUERY_REPLY: _decode_flow_query_reply,
            **FIXED_DECODERS,
        }
    )
)
