"""Stand-ins for upstreams: they accept flows and run requests.

Packets of flows that are not open are returned to the agent.
"""

import asyncio
import json
import random
import socket
from collections import Counter
from contextlib import ExitStack

from standin.fleet.stream import (
    ACK,
    RETURNED,
    SYN,
    Segment,
    Stream,
    decode,
    mark_returned,
)

WORK_SECONDS = 0.02
SLOTS = 3


class Upstream:
    """A stand-in upstream with its flows and running requests."""

    def __init__(self, ident: str, service: str, host: str, zone: str) -> None:
        self.ident = ident
        self.service = service
        self.host = host
        self.zone = zone
        self.state = 'ready'
        self.sequence = 1
        self.streams: dict[tuple[str, int], Stream] = {}
        self.half_open: dict[tuple[str, int], int] = {}
        self.initial_sequences: dict[tuple[str, int], int] = {}
        self.request_buffers: dict[tuple[str, int], bytearray] = {}
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs: Counter[str] = Counter()
        self.opened_at: list[float] = []
        self.corrupted = 0
        self.random = random.Random(ident)
        self.tasks: set[asyncio.Task[None]] = set()
        self.outbound = (host, 0)
        self.socket: socket.socket | None = None

    @property
    def store_item(self) -> dict[str, object]:
        """The upstream's item in the store."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.outbound[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
            'born': 1,
        }

    def open(self, stack: ExitStack, port: int, outbound: int) -> None:
        """Receive packets and health checks until ``stack`` is closed."""
        loop = asyncio.get_running_loop()
        health_socket = socket.create_server((self.host, port))
        health_socket.setblocking(False)
        loop.add_reader(health_socket, accept_and_close, health_socket)
        stack.callback(health_socket.close)
        stack.callback(loop.remove_reader, health_socket)
        receive_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receive_socket.setblocking(False)
        receive_socket.bind((self.host, port))
        self.socket = receive_socket
        self.outbound = (self.host, outbound)
        loop.add_reader(receive_socket, self.on_readable)
        timer = loop.create_task(self.run_timers())
        self.tasks.add(timer)
        stack.callback(timer.cancel)
        stack.callback(receive_socket.close)
        stack.callback(loop.remove_reader, receive_socket)

    def on_readable(self) -> None:
        """Receive a packet."""
        assert self.socket is not None
        raw = self.socket.recv(2000)
        self.on_packet(raw, asyncio.get_running_loop().time())

    def on_packet(self, raw: bytes, now: float) -> None:
        """Handle a packet, or return it if its flow is not open here."""
        segment = decode(raw)
        if not segment.is_intact or segment.flags & RETURNED:
            self.corrupted += 1
            return
        caller = segment.source
        if segment.is_syn:
            self.accept_flow(segment)
        elif self.is_open(segment, now):
            self.streams[caller].on_segment(segment, now)
        else:
            self.send(mark_returned(raw))

    def is_open(self, segment: Segment, now: float) -> bool:
        """Return whether a packet belongs to an open flow or opens it."""
        if segment.source in self.half_open:
            return self.finish_handshake(segment, now)
        return segment.source in self.streams

    def accept_flow(self, segment: Segment) -> None:
        """Reply to a SYN packet and create the flow if it is new."""
        caller = segment.source
        initial_sequence = self.initial_sequences.setdefault(
            caller, self.random.randrange(1 << 32)
        )
        stream = Stream(
            segment.destination,
            caller,
            initial_sequence + 1,
            self.send,
            lambda data: self.on_data(caller, data),
        )
        stream.open(segment.sequence + 1)
        self.send(stream.packet(SYN | ACK, initial_sequence, b''))
        if caller not in self.streams:
            self.half_open[caller] = initial_sequence
            self.request_buffers[caller] = bytearray()
            self.streams[caller] = stream

    def finish_handshake(self, segment: Segment, now: float) -> bool:
        """Open a half-open flow if a packet completes its handshake."""
        initial_sequence = self.half_open[segment.source]
        if segment.acknowledged != (initial_sequence + 1) % (1 << 32):
            return False
        self.half_open.pop(segment.source)
        self.opened_at.append(now)
        return True

    def on_data(self, caller: tuple[str, int], data: bytes) -> None:
        """Start a request for each complete line of received data."""
        buffer = self.request_buffers[caller]
        buffer += data
        while b'\n' in buffer:
            line, _, rest = bytes(buffer).partition(b'\n')
            buffer[:] = rest
            task = asyncio.get_running_loop().create_task(
                self.run_request(caller, json.loads(line)),
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run_request(
        self,
        caller: tuple[str, int],
        request: dict[str, object],
    ) -> None:
        """Run a request in a free slot and write its response."""
        async with self.slots:
            self.runs[str(request['id'])] += 1
            await asyncio.sleep(WORK_SECONDS)
        response = {
            'id': request['id'],
            'service': self.service,
            'body': 'x' * int(str(request['size'])),
        }
        now = asyncio.get_running_loop().time()
        stream = self.streams.get(caller)
        if stream is not None:
            # The flow is missing if the upstream has crashed meanwhile.
            stream.write(json.dumps(response).encode() + b'\n', now)

    async def run_timers(self) -> None:
        """Run the retransmission timers of all flows."""
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for stream in list(self.streams.values()):
                if not stream.is_abandoned:
                    stream.on_timer(now)

    def drop_flows(self) -> None:
        """Drop the state of all flows, as a crash does."""
        self.streams.clear()
        self.half_open.clear()
        self.initial_sequences.clear()

    def send(self, raw: bytes) -> None:
        """Send a packet to the agent."""
        if self.socket is not None:
            self.socket.sendto(raw, self.outbound)


def accept_and_close(health_socket: socket.socket) -> None:
    """Accept a connection, which shows that the upstream runs."""
    connection, _ = health_socket.accept()
    connection.close()
