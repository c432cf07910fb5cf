"""Tests of connections that continue at another agent.

Guards against bytes that the caller misses or gets twice after packets in
flight were lost, and against the transfer of a connection that the importing
agent could not decrypt.
"""

import ssl
from collections.abc import Iterator
from itertools import count
from pathlib import Path

import pytest
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import QuicEvent, StreamDataReceived

from ragwortpost.connection import RoutedQuicConnection
from ragwortpost.connection._connection_transfer import (
    export_transport_state,
    import_transport_state,
    is_transferable,
)
from ragwortpost.wire.peer_pb2 import MovedFlow
from standin.deployment import write_certificate

CALLER = ('10.0.0.1', 4000)
SERVICE = ('10.0.0.2', 4433)
STREAM = 0


class Pair:
    """A caller's connection and the server that it is connected to."""

    def __init__(self, folder: Path) -> None:
        write_certificate(folder)
        self.configuration = QuicConfiguration(is_client=False)
        self.configuration.load_cert_chain(
            str(folder / 'certificate.pem'), str(folder / 'key.pem')
        )
        caller_configuration = QuicConfiguration(
            is_client=True, verify_mode=ssl.CERT_NONE
        )
        self.numbers = count(1)
        self.now = 1.0
        self.caller = QuicConnection(configuration=caller_configuration)
        self.caller.connect(SERVICE, now=self.now)
        first = self.caller.original_destination_connection_id
        self.server = self._new_server(first)
        self.received = bytearray()
        for _ in range(5):
            self.exchange()

    def _new_server(self, destination: bytes) -> RoutedQuicConnection:
        return RoutedQuicConnection(
            self.configuration,
            destination,
            lambda: next(self.numbers).to_bytes(8),
            lambda connection_id: connection_id.rjust(16, b'.'),
        )

    def exchange(self) -> None:
        """Deliver what both sides have to send."""
        self.now += 0.05
        for datagram, _ in self.caller.datagrams_to_send(self.now):
            self.server.receive_datagram(datagram, CALLER, self.now)
        for datagram, _ in self.server.datagrams_to_send(self.now):
            self.caller.receive_datagram(datagram, SERVICE, self.now)
        for event in self._events():
            if isinstance(event, StreamDataReceived):
                self.received += event.data

    def lose_server_packets(self) -> None:
        """Lose what the server has to send."""
        self.server.datagrams_to_send(self.now)

    def transfer(self) -> None:
        """Continue the server's side in a new object."""
        state = export_transport_state(self.server, self.now)
        message = MovedFlow.FromString(state.SerializeToString())
        self.server = self._new_server(state.own_ids[0].value)
        import_transport_state(
            self.server,
            message,
            self.now,
            lambda connection_id: connection_id.rjust(16, b'.'),
        )

    def _events(self) -> Iterator[QuicEvent]:
        while self.server.next_event() is not None:
            """Discard the server's events."""
        event = self.caller.next_event()
        while event is not None:
            yield event
            event = self.caller.next_event()


@pytest.fixture
def pair(tmp_path: Path) -> Pair:
    """Return a connection with one stream on which both sides have sent."""
    connected = Pair(tmp_path)
    connected.caller.send_stream_data(STREAM, b'request')
    connected.exchange()
    connected.server.send_stream_data(STREAM, b'one,')
    connected.exchange()
    return connected


class TestPacketsInFlight:
    """The importing agent sends again what the caller may have missed."""

    def test_lost_bytes_arrive_once_and_in_order(self, pair: Pair) -> None:
        pair.server.send_stream_data(STREAM, b'two,')
        pair.lose_server_packets()
        assert is_transferable(pair.server)
        pair.transfer()
        pair.server.send_stream_data(STREAM, b'three', end_stream=True)
        for _ in range(3):
            pair.exchange()
        assert bytes(pair.received) == b'one,two,three'

    def test_received_bytes_do_not_arrive_again(self, pair: Pair) -> None:
        pair.server.send_stream_data(STREAM, b'two,')
        datagrams = pair.server.datagrams_to_send(pair.now)
        pair.transfer()
        for datagram, _ in datagrams:
            pair.caller.receive_datagram(datagram, SERVICE, pair.now)
        for _ in range(3):
            pair.exchange()
        assert bytes(pair.received) == b'one,two,'

    def test_unsent_and_lost_ends_of_streams_arrive(self, pair: Pair) -> None:
        pair.server.send_stream_data(STREAM, b'two', end_stream=True)
        pair.lose_server_packets()
        pair.transfer()
        pair.transfer()
        for _ in range(3):
            pair.exchange()
        assert bytes(pair.received) == b'one,two'

    def test_a_packet_to_acknowledge_is_acknowledged(self, pair: Pair) -> None:
        pair.caller.send_stream_data(STREAM, b'more')
        for datagram, _ in pair.caller.datagrams_to_send(pair.now):
            pair.server.receive_datagram(datagram, CALLER, pair.now)
        pair.transfer()
        for _ in range(3):
            pair.exchange()
        sender = pair.caller._streams[STREAM].sender  # noqa: SLF001
        assert not sender._buffer  # noqa: SLF001


class TestKeyUpdates:
    """A connection whose keys were updated is not transferred."""

    @pytest.mark.parametrize('updates', [1, 2])
    def test_any_number_of_updates_is_detected(
        self, pair: Pair, updates: int
    ) -> None:
        assert is_transferable(pair.server)
        for _ in range(updates):
            pair.caller.request_key_update()
            pair.caller.send_ping(1)
            pair.exchange()
            pair.exchange()
        assert not is_transferable(pair.server)
