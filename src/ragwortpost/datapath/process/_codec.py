"""How messages between processes travel in datagrams.

Packets of callers travel behind a head of fixed size; what is told now and
then is packed with msgpack.
"""

import struct
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import astuple
from socket import inet_aton, inet_ntoa
from types import MappingProxyType
from typing import Final

import msgpack

from ragwortpost.datapath.connection import FLOW_KEY_BYTES, FlowKey
from ragwortpost.datapath.process._messages import (
    Digest,
    Forward,
    Inquiry,
    InquiryAnswer,
    Message,
    Outcome,
    Purpose,
    Registration,
    Verdict,
)
from ragwortpost.datapath.version import (
    Changes,
    decode_changes,
    encode_changes,
)

_FORWARD: Final = 1
_VERDICT: Final = 2
_DIGEST: Final = 3
_CHANGES: Final = 4
_REGISTRATION: Final = 5
_INQUIRY: Final = 6
_INQUIRY_ANSWER: Final = 7
# Flows named in one datagram; with their head they fill most of one.
FLOWS_PER_DATAGRAM: Final = 100
_SENDER_ITSELF: Final = '0.0.0.0'  # noqa: S104
_FORWARD_HEAD: Final = struct.Struct('!BBQ4s')
_VERDICT_HEAD: Final = struct.Struct(f'!BBHQ{FLOW_KEY_BYTES}s')
_INQUIRY_HEAD: Final = struct.Struct('!BQ')
_ANSWER_HEAD: Final = struct.Struct('!BHB')

_UNREADABLE: Final = (ValueError, TypeError, IndexError, struct.error)


def batches(flows: Sequence[FlowKey]) -> Iterator[tuple[FlowKey, ...]]:
    """Yield flows in parts that fit into one datagram each."""
    for start in range(0, len(flows), FLOWS_PER_DATAGRAM):
        yield tuple(flows[start : start + FLOWS_PER_DATAGRAM])


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    match message:
        case Forward(purpose, service, raw, entry):
            waiting = inet_aton(entry or _SENDER_ITSELF)
            head = _FORWARD_HEAD.pack(_FORWARD, purpose, service, waiting)
            return head + raw
        case Registration(flows):
            return bytes((_REGISTRATION,)) + b''.join(flows)
        case Inquiry(service, flows):
            return _INQUIRY_HEAD.pack(_INQUIRY, service) + b''.join(flows)
        case InquiryAnswer(load, denied, possible):
            head = _ANSWER_HEAD.pack(_INQUIRY_ANSWER, load, len(denied))
            return head + b''.join((*denied, *possible))
        case Verdict(outcome, load, revision, flow, raw):
            head = _VERDICT_HEAD.pack(_VERDICT, outcome, load, revision, flow)
            return head + raw
        case Digest():
            packed: bytes = msgpack.packb(astuple(message))
            return bytes((_DIGEST,)) + packed
        case Changes():
            return bytes((_CHANGES,)) + encode_changes(message)


def decode(datagram: bytes) -> Message | None:
    """Return the message of a datagram, none if it can't be read."""
    try:
        return _decode(datagram)
    except _UNREADABLE:
        return None


def _decode(datagram: bytes) -> Message | None:
    decoder = _DECODERS.get(datagram[0])
    return decoder(datagram) if decoder else None


def _decode_forward(datagram: bytes) -> Forward:
    _, purpose, service, waiting = _FORWARD_HEAD.unpack_from(datagram)
    raw = datagram[_FORWARD_HEAD.size :]
    entry = inet_ntoa(waiting) if any(waiting) else ''
    return Forward(Purpose(purpose), service, raw, entry)


def _decode_answer(datagram: bytes) -> InquiryAnswer:
    _, load, denied = _ANSWER_HEAD.unpack_from(datagram)
    flows = _decode_flows(datagram, _ANSWER_HEAD.size)
    return InquiryAnswer(load, flows[:denied], flows[denied:])


def _decode_flows(datagram: bytes, start: int) -> tuple[FlowKey, ...]:
    starts = range(start, len(datagram), FLOW_KEY_BYTES)
    flows = (datagram[begin : begin + FLOW_KEY_BYTES] for begin in starts)
    return tuple(flow for flow in flows if len(flow) == FLOW_KEY_BYTES)


def _decode_verdict(datagram: bytes) -> Verdict:
    head = _VERDICT_HEAD.unpack_from(datagram)
    return Verdict(
        outcome=Outcome(head[1]),
        load=head[2],
        revision=head[3],
        flow=head[4],
        raw=datagram[_VERDICT_HEAD.size :],
    )


def _decode_digest(datagram: bytes) -> Digest:
    fields = msgpack.unpackb(memoryview(datagram)[1:], use_list=False)
    return Digest(*fields)


def _decode_changes(datagram: bytes) -> Changes | None:
    return decode_changes(datagram[1:]).unwrap_or(None)


def _decode_registration(datagram: bytes) -> Registration:
    return Registration(_decode_flows(datagram, 1))


def _decode_inquiry(datagram: bytes) -> Inquiry:
    _, service = _INQUIRY_HEAD.unpack_from(datagram)
    return Inquiry(service, _decode_flows(datagram, _INQUIRY_HEAD.size))


_DECODERS: Final[Mapping[int, Callable[[bytes], Message | None]]] = (
    MappingProxyType(
        {
            _FORWARD: _decode_forward,
            _VERDICT: _decode_verdict,
            _DIGEST: _decode_digest,
            _CHANGES: _decode_changes,
            _REGISTRATION: _decode_registration,
            _INQUIRY: _decode_inquiry,
            _INQUIRY_ANSWER: _decode_answer,
        }
    )
)
