"""Callers that open flows, send requests and check the responses."""

import asyncio
import json
import random
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field

from standin.fleet.stream import (
    ACK,
    RST,
    SYN,
    Segment,
    Stream,
    decode,
)

SYN_RETRY_SECONDS = (0.2, 0.4, 0.8)
RESPONSE_TIMEOUT_SECONDS = 3.0
RETRANSMIT_CHECK_SECONDS = 0.05


@dataclass
class Tally:
    """Results of all requests of a run."""

    counts: Counter[str] = field(default_factory=Counter)
    # Seconds from the start of each answered request, before its flow is
    # opened if it is new, to the response.
    latencies: list[float] = field(default_factory=list)
    # Ids of requests that may run at most once.
    non_idempotent: set[str] = field(default_factory=set)
    # Ids of requests whose response arrived.
    served: set[str] = field(default_factory=set)
    # Time and cause of each failed request.
    failures: list[tuple[float, str]] = field(default_factory=list)


class FlowFailedError(Exception):
    """A flow was not opened or was reset, or its response was not in time."""


class CallerHost:
    """An address shared by several callers, with a socket for all flows."""

    def __init__(self, host: str, port: int, route: Callable[..., str]) -> None:
        self.address = (host, port)
        self.route = route
        self.flows: dict[int, 'CallerFlow'] = {}
        self.random = random.Random(host)
        self.last_port = 10000
        self.corrupted = 0
        # Called with the caller's address when an open flow is reset.
        self.on_reset: Callable[[tuple[str, int]], None] | None = None
        # Packet faults: whether a received packet is delivered, and the
        # delay of a sent packet in seconds.
        self.is_delivered: Callable[[], bool] = lambda: True
        self.draw_delay: Callable[[], float] = float
        self.socket: socket.socket | None = None

    def open(self, stack: ExitStack) -> None:
        """Receive packets until ``stack`` is closed."""
        loop = asyncio.get_running_loop()
        receive_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receive_socket.setblocking(False)
        receive_socket.bind(self.address)
        self.socket = receive_socket
        loop.add_reader(receive_socket, self.on_readable)
        stack.callback(receive_socket.close)
        stack.callback(loop.remove_reader, receive_socket)

    def on_readable(self) -> None:
        """Receive a packet and dispatch it to its flow."""
        assert self.socket is not None
        segment = decode(self.socket.recv(2000))
        if not self.is_delivered():
            return
        if not segment.is_intact and not segment.flags & RST:
            self.corrupted += 1
            return
        flow = self.flows.get(segment.destination[1])
        if flow is None:
            return
        if segment.flags & RST and flow.is_open and self.on_reset is not None:
            self.on_reset(segment.destination)
        flow.on_segment(segment)

    def new_flow(self, service: tuple[str, int]) -> 'CallerFlow':
        """Create a flow with a new source port."""
        self.last_port += 1
        flow = CallerFlow(self, self.last_port, service)
        self.flows[self.last_port] = flow
        return flow

    def send(
        self, packet: bytes, local_port: int, service: tuple[str, int]
    ) -> None:
        """Send a packet to the entry that the routers select for its flow."""
        entry = self.route((self.address[0], local_port, *service))
        if not entry:
            return
        delay_seconds = self.draw_delay()
        if delay_seconds:
            # Delays differ, so packets are reordered.
            loop = asyncio.get_running_loop()
            loop.call_later(delay_seconds, self.send_to_entry, packet, entry)
        else:
            self.send_to_entry(packet, entry)

    def send_to_entry(self, packet: bytes, entry: str) -> None:
        """Send a packet to an entry."""
        if self.socket is not None and self.socket.fileno() >= 0:
            self.socket.sendto(packet, (entry, self.address[1]))


class CallerFlow:
    """A caller's end of a flow."""

    def __init__(
        self,
        host: CallerHost,
        port: int,
        service: tuple[str, int],
    ) -> None:
        self.host = host
        self.port = port
        self.service = service
        self.initial_sequence = host.random.randrange(1 << 32)
        self.is_open = False
        self.is_reset = False
        self.updated = asyncio.Event()
        self.buffer = bytearray()
        self.stream = Stream(
            (host.address[0], port),
            service,
            self.initial_sequence + 1,
            lambda packet: host.send(packet, port, service),
            self.buffer.extend,
        )

    def on_segment(self, segment: Segment) -> None:
        """Handle a packet from the upstream, or a reset."""
        now = asyncio.get_running_loop().time()
        if segment.flags & RST:
            self.is_reset = True
        elif segment.flags & (SYN | ACK) == SYN | ACK:
            if not self.is_open:
                self.stream.open(segment.sequence + 1)
                self.is_open = True
        elif self.is_open:
            self.stream.on_segment(segment, now)
        self.updated.set()

    async def open(self) -> None:
        """Open the flow; raises :class:`FlowFailedError`."""
        for retransmission, retry_seconds in enumerate(SYN_RETRY_SECONDS):
            # A SYN carries its retransmission number as acknowledgement.
            self.stream.expected = retransmission
            packet = self.stream.packet(SYN, self.initial_sequence, b'')
            self.host.send(packet, self.port, self.service)
            try:
                async with asyncio.timeout(retry_seconds):
                    while not self.is_open and not self.is_reset:
                        await self._wait()
            except TimeoutError:
                # A process without CPU time may see the acceptance in the same
                # turn of the loop as the timeout.
                if not self.is_open:
                    continue
            if self.is_open:
                return
            raise FlowFailedError('refused')
        raise FlowFailedError('no upstream accepted it')

    async def send_request(
        self, request: dict[str, object]
    ) -> dict[str, object]:
        """Send a request and return its response.

        Raises :class:`FlowFailedError`.
        """
        loop = asyncio.get_running_loop()
        self.stream.write(json.dumps(request).encode() + b'\n', loop.time())
        deadline = loop.time() + RESPONSE_TIMEOUT_SECONDS
        while b'\n' not in self.buffer:
            if self.is_reset:
                raise FlowFailedError('reset')
            if loop.time() > deadline:
                raise FlowFailedError('deadline')
            self.stream.on_timer(loop.time())
            with suppress(TimeoutError):
                async with asyncio.timeout(RETRANSMIT_CHECK_SECONDS):
                    await self._wait()
        line, _, rest = bytes(self.buffer).partition(b'\n')
        self.buffer[:] = rest
        response: dict[str, object] = json.loads(line)
        return response

    def close(self) -> None:
        """Stop dispatching packets to the flow."""
        self.host.flows.pop(self.port, None)

    async def _wait(self) -> None:
        self.updated.clear()
        await self.updated.wait()


class Caller:
    """Sends requests, over a reused flow or over a new flow for each."""

    def __init__(
        self,
        name: str,
        host: CallerHost,
        service: tuple[str, int, str],
        tally: Tally,
    ) -> None:
        self.name = name
        self.host = host
        self.address = service[:2]
        self.service = service[2]
        self.tally = tally
        self.number = 0

    async def run(self, *, reuse_flow: bool) -> None:
        """Send requests until cancelled."""
        flow: CallerFlow | None = None
        while True:
            self.number += 1
            request = f'{self.name}-{self.number}'
            if not reuse_flow:
                self.tally.non_idempotent.add(request)
            flow = await self.attempt(request, flow)
            if flow is not None and not reuse_flow:
                flow.close()
                flow = None
            await asyncio.sleep(self.host.random.uniform(0.05, 0.15))

    async def attempt(
        self,
        request: str,
        flow: CallerFlow | None,
    ) -> CallerFlow | None:
        """Send a request; return its flow if it is still usable."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.tally.counts['asked'] += 1
        is_reused = flow is not None
        try:
            if flow is None:
                flow = self.host.new_flow(self.address)
                await flow.open()
            size = self.host.random.choice((10, 2000, 9000))
            response = await flow.send_request({'id': request, 'size': size})
        except FlowFailedError as error:
            # Failures on a reused flow are counted as "long ...".
            cause = f'{"long " if is_reused else ""}{error}'
            self.tally.counts[f'failed: {cause}'] += 1
            self.tally.failures.append((loop.time(), cause))
            if flow is not None:
                flow.close()
            return None
        self.tally.latencies.append(loop.time() - started)
        self.check_response(request, size, response)
        return flow

    def check_response(
        self,
        request: str,
        size: int,
        response: dict[str, object],
    ) -> None:
        """Count a response and any mismatch with its request."""
        self.tally.counts['answered'] += 1
        self.tally.served.add(request)
        if response['id'] != request:
            self.tally.counts['mixed answers'] += 1
        if response['service'] != self.service:
            self.tally.counts['wrong service'] += 1
        if len(str(response['body'])) != size:
            self.tally.counts['cut short'] += 1
