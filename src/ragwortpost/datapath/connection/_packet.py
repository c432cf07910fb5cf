"""A caller's or an upstream's packet as the decisions see it."""

import struct
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from typing import Final, Protocol, TypeAlias

# Caller address, service address, caller port, service port.
FlowKey: TypeAlias = bytes
FLOW_KEY_BYTES: Final = 12
# Service address and port: what a route is looked up by.
RouteKey: TypeAlias = bytes
SEQUENCE_MODULUS: Final = 1 << 32
_FLOW: Final = struct.Struct('!4s4sHH')


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet of a flow, either way."""

    # The flow it belongs to.
    flow: FlowKey
    # Whether a caller asks to open the flow.
    opens: bool
    # Whether an upstream agrees to open the flow.
    accepts: bool
    # Whether the sender has sent all its data.
    finishes: bool
    # Whether the sender breaks the flow off.
    resets: bool
    # Whether an upstream returned the caller's packet undelivered.
    returned: bool
    # Bytes of data.
    length: int
    # Sequence number of the first byte of data.
    sequence: int
    # Next sequence number that the sender expects.
    acknowledged: int
    # The packet as it is sent on.
    raw: bytes
    # Seconds since the caller's first packet of the flow, where the packet
    # tells: only a copy of an opening packet does.
    flow_age: float = 0


class PacketFormat(Protocol):
    """Reads and writes packets; the adapter of a platform provides it."""

    def from_caller(self, raw: bytes) -> Packet | None:
        """Return a packet that a caller sent, none if it is malformed."""

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Return a packet that an upstream sent, none if it is malformed.

        One that the upstream returned undelivered is read as the caller's,
        and its ``raw`` is the packet as the caller sent it.
        """

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a packet that tells the caller that the flow is over."""


def route_key_of(flow: FlowKey) -> RouteKey:
    """Return the service address and port of a flow."""
    return flow[4:8] + flow[10:12]


def caller_address(flow: FlowKey) -> str:
    """Return the caller's address."""
    return inet_ntoa(flow[:4])


def parse_flow(text: str) -> FlowKey | None:
    """Return the flow that :func:`format_flow` wrote, none if malformed."""
    near, _, far = text.partition('-')
    caller, _, caller_port = near.partition(':')
    service, _, service_port = far.partition(':')
    try:
        return _FLOW.pack(
            inet_aton(caller),
            inet_aton(service),
            int(caller_port),
            int(service_port),
        )
    except (OSError, ValueError, struct.error):
        return None


def format_flow(flow: FlowKey) -> str:
    """Return the flow as operators write it: ``caller:port-service:port``."""
    caller, service, caller_port, service_port = _FLOW.unpack(flow)
    near = f'{inet_ntoa(caller)}:{caller_port}'
    return f'{near}-{inet_ntoa(service)}:{service_port}'
