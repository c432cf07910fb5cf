"""What processes of the system tell each other in datagrams.

Packets of callers travel behind a head of fixed size; what is told now and
then is packed with msgpack.
"""

import struct
from dataclasses import astuple, dataclass
from enum import IntEnum
from socket import inet_aton, inet_ntoa
from typing import Final, TypeAlias

import msgpack
import xxhash

from ragwortpost.datapath.connection import FLOW_KEY_BYTES, FlowKey
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
_SENDER_ITSELF: Final = '0.0.0.0'  # noqa: S104
_FORWARD_HEAD: Final = struct.Struct('!BBQ4s')
_VERDICT_HEAD: Final = struct.Struct(f'!BBHQ{FLOW_KEY_BYTES}s')

_UNREADABLE: Final = (ValueError, TypeError, IndexError, struct.error)

ServiceTag: TypeAlias = int


class Purpose(IntEnum):
    """Why an entry sends a packet to an agent."""

    # It opens a flow that the entry placed there.
    OPEN = 1
    # It belongs to a flow that the entry saw there.
    CARRY = 2
    # It belongs to a flow that the entry looks for.
    FIND = 3
    # The same; the agent passes it on if it knows who holds the flow.
    LOCATE = 4


class Outcome(IntEnum):
    """What an agent tells an entry of a flow."""

    # The upstream accepted it.
    OPENED = 1
    # The upstream holds it.
    HELD = 2
    # The upstream does not hold it.
    NOT_HELD = 3
    # The agent does not take it as a new flow.
    REFUSED = 4


@dataclass(frozen=True, slots=True)
class Forward:
    """A caller's packet on its way to an agent."""

    # Why it is sent there.
    purpose: Purpose
    # The service that it is for.
    service: ServiceTag
    # The packet as the caller sent it.
    raw: bytes
    # The entry that waits for the answer; empty for the sender itself.
    entry: str = ''


@dataclass(frozen=True, slots=True)
class Registration:
    """Flows that the sender's upstream holds."""

    # The flows.
    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class Verdict:
    """An agent's answer to a forwarded packet."""

    # What became of it.
    outcome: Outcome
    # Requests that the upstream works on.
    load: int
    # The revision of the agent's view.
    revision: int
    # The flow.
    flow: FlowKey
    # The packet, where the agent did not deliver it.
    raw: bytes


@dataclass(frozen=True, slots=True)
class Digest:
    """What a process says of itself now and then."""

    # Whether it wants a digest in return.
    asks: bool
    # Its role.
    role: str
    # Its data centre.
    data_centre: str
    # The service of its upstream; empty for an entry.
    service: str
    # The revision of its view.
    revision: int
    # Milliseconds since its view was known to be the store's.
    view_age_ms: int
    # Whether it reads the store and the store answers it.
    reading: bool
    # Whether it is about to stop.
    leaving: bool
    # Requests that its upstream works on.
    load: int
    # Addresses of the entries that it heard of lately.
    entries: tuple[str, ...]


Message: TypeAlias = Forward | Verdict | Registration | Digest | Changes


def service_tag(service: str) -> ServiceTag:
    """Return the number that stands for a service between processes."""
    return xxhash.xxh64_intdigest(service.encode())


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    match message:
        case Forward(purpose, service, raw, entry):
            waiting = inet_aton(entry or _SENDER_ITSELF)
            head = _FORWARD_HEAD.pack(_FORWARD, purpose, service, waiting)
            return head + raw
        case Registration(flows):
            return bytes((_REGISTRATION,)) + b''.join(flows)
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
    match datagram[0]:
        case 1:
            return _decode_forward(datagram)
        case 2:
            return _decode_verdict(datagram)
        case 3:
            fields = msgpack.unpackb(memoryview(datagram)[1:], use_list=False)
            return Digest(*fields)
        case 4:
            return decode_changes(datagram[1:]).unwrap_or(None)
        case 5:
            return _decode_registration(datagram)
        case _:
            return None


def _decode_forward(datagram: bytes) -> Forward:
    _, purpose, service, waiting = _FORWARD_HEAD.unpack_from(datagram)
    raw = datagram[_FORWARD_HEAD.size :]
    entry = inet_ntoa(waiting) if any(waiting) else ''
    return Forward(Purpose(purpose), service, raw, entry)


def _decode_registration(datagram: bytes) -> Registration:
    starts = range(1, len(datagram), FLOW_KEY_BYTES)
    flows = (datagram[start : start + FLOW_KEY_BYTES] for start in starts)
    return Registration(
        tuple(flow for flow in flows if len(flow) == FLOW_KEY_BYTES),
    )


def _decode_verdict(datagram: bytes) -> Verdict:
    head = _VERDICT_HEAD.unpack_from(datagram)
    return Verdict(
        outcome=Outcome(head[1]),
        load=head[2],
        revision=head[3],
        flow=head[4],
        raw=datagram[_VERDICT_HEAD.size :],
    )
