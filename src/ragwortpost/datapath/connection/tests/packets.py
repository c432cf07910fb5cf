"""Packets for tests, in a simple format."""

from dataclasses import replace

from ragwortpost.datapath.connection import FlowKey, Packet

CALLER_PORT = 40001


def flow_key(number: int = 0, port: int = 443) -> FlowKey:
    """Return the key of one of many flows to the same service address."""
    caller = bytes((100, 64, 0, 7))
    ports = (CALLER_PORT + number).to_bytes(2) + port.to_bytes(2)
    return caller + bytes((198, 18, 0, 1)) + ports


def make_packet(flow: FlowKey, **changes: object) -> Packet:
    """Return a packet of a flow; ``changes`` replace its fields."""
    plain = Packet(flow, False, False, False, False, False, 0, 100, 501, b'')
    changed = replace(plain, **changes)  # type: ignore[arg-type]
    return replace(changed, raw=encode(changed))


def opening_packet(flow: FlowKey) -> Packet:
    """Return the packet by which a caller opens a flow."""
    return make_packet(flow, opens=True, acknowledged=0)


def accepting_packet(flow: FlowKey, sequence: int = 500) -> Packet:
    """Return the packet by which an upstream accepts a flow."""
    return make_packet(flow, accepts=True, sequence=sequence)


def encode(packet: Packet) -> bytes:
    """Encode a packet for :class:`PlainFormat`."""
    flags = (
        packet.opens,
        packet.accepts,
        packet.finishes,
        packet.resets,
        packet.returned,
    )
    flow_age = int(packet.flow_age * 1000)
    numbers = (packet.length, packet.sequence, packet.acknowledged, flow_age)
    return (
        packet.flow
        + bytes(flags)
        + b''.join(number.to_bytes(8) for number in numbers)
    )


class PlainFormat:
    """A packet format that encodes every field at a fixed offset."""

    def from_caller(self, raw: bytes) -> Packet | None:
        """Decode a packet; return none if it is too short."""
        if len(raw) < 49:
            return None
        return Packet(
            flow=raw[:12],
            opens=bool(raw[12]),
            accepts=bool(raw[13]),
            finishes=bool(raw[14]),
            resets=bool(raw[15]),
            returned=bool(raw[16]),
            length=int.from_bytes(raw[17:25]),
            sequence=int.from_bytes(raw[25:33]),
            acknowledged=int.from_bytes(raw[33:41]),
            raw=raw,
            flow_age=int.from_bytes(raw[41:49]) / 1000,
        )

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Decode a packet; a returned one gets the raw bytes that were sent."""
        packet = self.from_caller(raw)
        if packet is None or not packet.returned:
            return packet
        sent = encode(replace(packet, returned=False))
        return replace(packet, raw=sent)

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Encode a reset."""
        return make_packet(flow, resets=True, sequence=sequence).raw
