"""Tests of the counts of messages and of their processor time.

Guards against a message number that is added without a kind, a message counted
as another kind, and counts of datagrams that the socket refused.
"""

import pytest

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process._codec import _DECODERS, encode
from ragwortpost.datapath.process._message_meter import (
    FORWARD_NUMBER,
    KINDS_BY_NUMBER,
    SAMPLE_INTERVAL,
    MessageMeter,
)
from ragwortpost.datapath.process._messages import (
    FlowQuery,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    Message,
    Registration,
    RoomDemand,
    RoomGrant,
)
from ragwortpost.datapath.process._metrics import Metrics
from ragwortpost.datapath.process.tests.network import digest_of
from ragwortpost.datapath.version import Changes
from ragwortpost.datapath.version.tests.documents import at, upstream

PEER: HostPort = ('10.0.0.1', 8004)
FLOW = bytes(12)


class TestKinds:
    """The kind of a message is found from its first bytes."""

    def test_every_message_number_has_a_kind(self) -> None:
        assert set(_DECODERS) <= {FORWARD_NUMBER, *KINDS_BY_NUMBER}

    @pytest.mark.parametrize(
        ('message', 'kind'),
        [
            (Forward(ForwardPurpose.NEW_FLOW, 1, b'x'), 'opening'),
            (Forward(ForwardPurpose.KNOWN_FLOW, 1, b'x'), 'payload'),
            (Forward(ForwardPurpose.LOOKUP, 1, b'x'), 'lookup'),
            (Forward(ForwardPurpose.RELAYABLE_LOOKUP, 1, b'x'), 'lookup'),
            (ForwardReply(ForwardOutcome.HELD, 0, at(1), FLOW, b''), 'reply'),
            (FlowQuery(1, (FLOW,)), 'lookup'),
            (Registration((FLOW,)), 'registration'),
            (RoomDemand(1, 2, 3, 4), 'demand'),
            (RoomGrant(1, 150, 0, 0), 'grant'),
            (Changes(at(0), at(1), ()), 'changes'),
            (digest_of(upstream(1)), 'digest'),
        ],
    )
    def test_message_is_counted_as_its_kind(
        self, message: Message, kind: str
    ) -> None:
        metrics = Metrics()
        datagram = encode(message)
        metrics.messages.sender(lambda *_: True)(datagram, PEER)
        metrics.messages.receiver(lambda *_: None)(datagram, PEER)
        text = metrics.render({})
        for direction in ('in', 'out'):
            labels = f'{{kind="{kind}",direction="{direction}"}}'
            assert f'ragwortpost_messages_total{labels} 1\n' in text
            size = f'ragwortpost_message_bytes_total{labels} {len(datagram)}\n'
            assert size in text

    @pytest.mark.parametrize(
        'datagram', [b'', b'\x01', b'\x01\x09', b'\xff' * 9]
    )
    def test_unreadable_datagram(self, datagram: bytes) -> None:
        meter = MessageMeter()
        meter.receiver(lambda *_: None)(datagram, PEER)
        assert meter.received.by_kind['unreadable'].messages == 1


class TestCounting:
    """What is counted besides messages of each kind."""

    def test_packets_are_payload(self) -> None:
        meter = MessageMeter()
        meter.packet_receiver(lambda *_: None)(b'packet', PEER)
        meter.packet_sender(lambda *_: True)(b'packet', PEER)
        for tallies in (meter.received, meter.sent):
            assert tallies.by_kind['payload'].size == len(b'packet')

    def test_refused_datagrams_are_not_counted_as_sent(self) -> None:
        meter = MessageMeter()
        assert not meter.sender(lambda *_: False)(b'\x05' * 13, PEER)
        assert not meter.packet_sender(lambda *_: False)(b'packet', PEER)
        assert meter.refused == 2
        assert not any(tally.size for tally in meter.sent.by_kind.values())

    def test_sampled_messages_stand_for_all(self) -> None:
        readings = iter(range(100))
        meter = MessageMeter(lambda: float(next(readings)))
        receive = meter.receiver(lambda *_: None)
        for _ in range(3 * SAMPLE_INTERVAL):
            receive(b'\x05' * 13, PEER)
        registration = meter.received.by_kind['registration']
        assert registration.seconds == 3 * SAMPLE_INTERVAL
        assert next(readings) == 6
