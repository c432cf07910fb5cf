"""Datagram sockets that are read in bounded batches.

Reading with :meth:`loop.add_reader` costs a sixth of the time per datagram
that asyncio's datagram protocol takes.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

# The most datagrams read per wake-up of the event loop.
BATCH_SIZE: Final = 64
# Time after which a wake-up reads no further datagrams of a socket. A process
# has two sockets, and answers readiness checks, which time out, between
# wake-ups: both together stay below 20 ms.
BATCH_SECONDS: Final = 0.008
# Datagrams between two readings of the clock.
DATAGRAMS_PER_READING: Final = 4
_SOCKET_BUFFER_BYTES: Final = 4194304
# Longer than any datagram that a process sends, including its envelope.
_RECEIVE_BUFFER_BYTES: Final = 2000
# Also those of a receiver that is no valid address or port.
_SEND_ERRORS: Final = (OSError, ValueError, OverflowError, TypeError)

HostPort: TypeAlias = tuple[str, int]
ReceiveDatagram: TypeAlias = Callable[[bytes, HostPort], None]
SendDatagram: TypeAlias = Callable[[bytes, HostPort], bool]


class DatagramSockets(Protocol):
    """Opens datagram sockets; tests substitute a simulated network."""

    def open(
        self,
        stack: ExitStack,
        address: HostPort,
        receive: ReceiveDatagram,
    ) -> SendDatagram:
        """Bind a socket and receive on it until ``stack`` closes.

        The returned function sends from that address and returns whether the
        socket accepted the datagram. Raises :class:`OSError` if the address
        can't be bound.
        """


@dataclass(frozen=True)
class PausedSocket:
    """A bound socket whose datagrams wait in its buffer until it is read."""

    # Sends from its address.
    send: SendDatagram
    # Starts reading; further calls have no effect.
    resume: Callable[[], None]


class UdpSockets:
    """UDP over IPv4."""

    def open(
        self,
        stack: ExitStack,
        address: HostPort,
        receive: ReceiveDatagram,
    ) -> SendDatagram:
        """Bind a socket to an address and read it until ``stack`` closes."""
        paused = self.open_paused(stack, address, receive)
        paused.resume()
        return paused.send

    def open_paused(
        self,
        stack: ExitStack,
        address: HostPort,
        receive: ReceiveDatagram,
    ) -> PausedSocket:
        """Bind a socket to an address, which is read once it is resumed.

        Raises :class:`OSError` if the address can't be bound.
        """
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(udp_socket.close)
        udp_socket.setblocking(False)
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES
        )
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES
        )
        udp_socket.bind(address)
        loop = asyncio.get_running_loop()
        stack.callback(loop.remove_reader, udp_socket)

        def send(datagram: bytes, receiver: HostPort) -> bool:  # noqa: WPS430
            try:
                udp_socket.sendto(datagram, receiver)
            except _SEND_ERRORS:
                return False
            return True

        def resume() -> None:  # noqa: WPS430
            if udp_socket.fileno() >= 0:
                loop.add_reader(udp_socket, _read_batch, udp_socket, receive)

        return PausedSocket(send, resume)


def _read_batch(
    udp_socket: socket.socket,
    receive: ReceiveDatagram,
    read_clock: Callable[[], float] = time.monotonic,
) -> None:
    """Read datagrams until none is left or one of the limits is reached."""
    deadline = read_clock() + BATCH_SECONDS
    for count in range(1, BATCH_SIZE + 1):
        try:
            datagram, sender = udp_socket.recvfrom(_RECEIVE_BUFFER_BYTES)
        except OSError:
            return
        receive(datagram, sender)
        if not count % DATAGRAMS_PER_READING and read_clock() >= deadline:
            return
