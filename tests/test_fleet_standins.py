"""The stand-in upstream follows the packet protocol of the users' platform.

Otherwise its faults look like faults of the system: once it accepted data of a
flow that the caller had opened at another upstream.
"""

from standin.fleet.stream import RETURNED, SYN, Segment, decode, encode
from standin.fleet.upstreams import Upstream

CALLER = ('127.20.3.1', 10001)
SERVICE = ('198.18.0.1', 443)


def make_packet(flags: int, acknowledged: int, data: bytes = b'') -> bytes:
    return encode(
        Segment(flags, SERVICE, CALLER, 7, acknowledged, data, is_intact=True),
    )


class RecordingUpstream(Upstream):
    """An upstream that records the packets it sends; it has no socket."""

    def __init__(self) -> None:
        super().__init__('i-1', 'desk', '127.20.2.1', 'north')
        self.sent: list[Segment] = []

    def send(self, raw: bytes) -> None:
        """Record a packet."""
        self.sent.append(decode(raw))


class TestUpstream:
    """The stand-in upstream accepts only packets of its own flows."""

    def test_a_packet_of_a_flow_of_another_upstream_is_returned(self) -> None:
        upstream = RecordingUpstream()
        upstream.on_packet(make_packet(SYN, 0), 0)
        initial_sequence = upstream.sent[-1].sequence
        foreign_packet = make_packet(
            0, (initial_sequence + 5000) % (1 << 32), b'{"id": 1}\n'
        )
        upstream.on_packet(foreign_packet, 0)
        assert upstream.sent[-1].flags & RETURNED
        assert not upstream.opened_at
        assert not upstream.runs

    def test_a_late_copy_of_the_first_packet_keeps_the_flow_open(self) -> None:
        upstream = RecordingUpstream()
        upstream.on_packet(make_packet(SYN, 0), 0)
        initial_sequence = upstream.sent[-1].sequence
        upstream.on_packet(make_packet(0, initial_sequence + 1), 0)
        upstream.on_packet(make_packet(SYN, 1), 0)
        assert upstream.sent[-1].sequence == initial_sequence
        upstream.on_packet(make_packet(0, initial_sequence + 1), 0)
        assert not upstream.sent[-1].flags & RETURNED

    def test_a_packet_of_an_unknown_flow_is_returned(self) -> None:
        upstream = RecordingUpstream()
        upstream.on_packet(make_packet(0, 9), 0)
        assert upstream.sent[-1].flags & RETURNED
