"""Tests of the bounds of one wake-up that reads datagrams.

Guards against readiness checks that time out because slow handlers of many
waiting datagrams keep the event loop from them, and against a task that ends at
an address to which nothing can be sent.
"""

import asyncio
import socket
from contextlib import ExitStack

import pytest

from ragwortpost._datagrams import (
    BATCH_SECONDS,
    BATCH_SIZE,
    DATAGRAMS_PER_READING,
    HostPort,
    UdpSockets,
    _read_batch,
)
from ragwortpost.datapath.process.tests.network import ManualClock


class TestWakeUps:
    """Datagrams that are handled in one wake-up, while more of them wait."""

    @pytest.mark.parametrize(
        ('handler_seconds', 'expected'),
        [
            (0, BATCH_SIZE),
            (BATCH_SECONDS / BATCH_SIZE / 2, BATCH_SIZE),
            (BATCH_SECONDS / 16, 16),
            (BATCH_SECONDS, DATAGRAMS_PER_READING),
        ],
    )
    def test_slow_handlers_leave_datagrams_to_the_next_one(
        self, handler_seconds: float, expected: int
    ) -> None:
        clock = ManualClock()
        clock.time = 0
        handled: list[bytes] = []

        def receive(datagram: bytes, _: HostPort) -> None:
            handled.append(datagram)
            clock.time += handler_seconds

        with ExitStack() as stack:
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stack.callback(sender.close)
            receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stack.callback(receiver.close)
            receiver.setblocking(False)
            receiver.bind(('127.0.0.1', 0))
            for number in range(BATCH_SIZE + 1):
                sender.sendto(bytes((number,)), receiver.getsockname())
            _read_batch(receiver, receive, clock.monotonic)
            assert len(handled) == expected
            while len(handled) <= BATCH_SIZE:
                _read_batch(receiver, receive, clock.monotonic)
        assert handled == [bytes((index,)) for index in range(BATCH_SIZE + 1)]


class TestReceivers:
    """Addresses to which a socket can't send."""

    @pytest.mark.parametrize(
        'receiver',
        [('\ud800', 80), ('127.0.0.1', 70000), ('127.0.0.1', -1)],
    )
    def test_an_invalid_receiver_is_refused(self, receiver: HostPort) -> None:
        async def send() -> bool:
            with ExitStack() as stack:
                to_peer = UdpSockets().open(
                    stack, ('127.0.0.1', 0), lambda *_: None
                )
                return to_peer(b'datagram', receiver)

        assert not asyncio.run(send())
