"""Packets and flow keys, independent of the platform's packet format."""

import struct
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from typing import Final, Protocol, TypeAlias

# Caller address, service address, caller port, service port.
FlowKey: TypeAlias = bytes
FLOW_KEY_BYTES: Final = 12
# Service address and port, the key of a route.
RouteKey: TypeAlias = bytes
# Sequence numbers wrap around after 32 bits.
SEQUENCE_MODULUS: Final = 1 << 32
_FLOW_KEY_STRUCT: Final = struct.Struct('!4s4sHH')


@dataclass(frozen=True, slots=True)
class Packet:
    """A parsed packet of a flow, from the caller or from the upstream."""

    # Key of the flow that the packet belongs to.
    flow: FlowKey
    # Whether a caller opens the flow with it (SYN).
    opens: bool
    # Whether an upstream accepts the flow with it (SYN and ACK).
    accepts: bool
    # Whether the sender has sent all its data (FIN).
    finishes: bool
    # Whether the sender aborts the flow (RST).
    resets: bool
    # Whether it is a caller's packet that the upstream sent back because it
    # does not hold the flow or does not accept it.
    returned: bool
    # Payload bytes.
    length: int
    # Sequence number of the first payload byte.
    sequence: int
    # Next sequence number that the sender expects.
    acknowledged: int
    # The encoded packet, to be forwarded unchanged.
    raw: bytes
    # Seconds since the caller's first packet of the flow. Only retransmitted
    # opening packets carry it; zero in all others.
    flow_age: float = 0


class PacketFormat(Protocol):
    """Decodes and encodes packets; implemented by the platform's adapter."""

    def from_caller(self, raw: bytes) -> Packet | None:
        """Decode a caller's packet; return none if it is malformed."""

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Decode a packet from an upstream; return none if it is malformed.

        A returned packet is decoded as the caller's, and its ``raw`` is the
        packet as the caller sent it.
        """

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Encode a packet that resets a flow at its caller."""


def route_key_of(flow: FlowKey) -> RouteKey:
    """Return the service address and port of a flow."""
    return flow[4:8] + flow[10:12]


def caller_address(flow: FlowKey) -> str:
    """Return the caller's IPv4 address as text."""
    return inet_ntoa(flow[:4])


def parse_flow(text: str) -> FlowKey | None:
    """Parse the output of :func:`format_flow`; return none if malformed."""
    caller_side, _, service_side = text.partition('-')
    caller, _, caller_port = caller_side.partition(':')
    service, _, service_port = service_side.partition(':')
    try:
        return _FLOW_KEY_STRUCT.pack(
            inet_aton(caller),
            inet_aton(service),
            int(caller_port),
            int(service_port),
        )
    except (OSError, ValueError, struct.error):
        return None


def format_flow(flow: FlowKey) -> str:
    """Format a flow as operators write it: ``caller:port-service:port``."""
    caller, service, caller_port, service_port = _FLOW_KEY_STRUCT.unpack(flow)
    caller_side = f'{inet_ntoa(caller)}:{caller_port}'
    return f'{caller_side}-{inet_ntoa(service)}:{service_port}'
