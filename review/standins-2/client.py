"""A stand-in for clients, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable

from packets import ACK, FIN, RST, SPACE, SYN, Packet, decode, encode

SYN_COPIES_AT = (0.0, 0.2, 0.6)
OPEN_SECONDS = 1.4
RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
RESET_WINDOW = 76800


class FlowError(Exception):
    """A flow was not opened, was reset, or its answer was not in time."""


class ClientHost:
    """An address of clients and the socket of all its flows."""

    def __init__(
        self,
        host: str,
        port: int,
        route: Callable[[tuple], str],
        record: Callable[..., None],
    ) -> None:
        self.address = (host, port)
        self.route = route
        self.record = record
        self.flows: dict[int, 'Flow'] = {}
        self.forged = 0
        # Resets of open flows.
        self.resets: list[tuple[float, 'Flow']] = []
        self.random = random.Random(host)
        self._last_port = 1024
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind(self.address)
        asyncio.get_running_loop().add_reader(self._socket, self._on_readable)

    def close(self) -> None:
        """Stop receiving."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def new_flow(self, service: tuple[str, int], entry: str = '') -> 'Flow':
        """Return a flow from a new port, to one entry only if it is given."""
        self._last_port += 1
        flow = Flow(self, self._last_port, service, entry)
        self.flows[self._last_port] = flow
        return flow

    def send(self, packet: Packet, entry: str) -> None:
        """Send a packet to the entry that the routers select."""
        to = entry or self.route((packet.source, packet.destination))
        if to:
            try:
                self._socket.sendto(encode(packet), (to, self.address[1]))
            except OSError:
                pass

    def _on_readable(self) -> None:
        while True:
            try:
                raw = self._socket.recv(2000)
            except OSError:
                return
            packet = decode(raw)
            is_reset = packet.has(RST) and not packet.data
            if not packet.genuine and not is_reset:
                self.forged += 1
                self.record('client got a forged packet')
                continue
            flow = self.flows.get(packet.destination[1])
            if flow is not None and packet.source == flow.service:
                flow.on_packet(packet)


class Flow:
    """The client's end of a flow."""

    def __init__(
        self,
        host: ClientHost,
        port: int,
        service: tuple[str, int],
        entry: str,
    ) -> None:
        self.host = host
        self.local = (host.address[0], port)
        self.service = service
        self.entry = entry
        self.is_open = False
        self.was_reset = False
        # Whether the flow's backend wrote the reset.
        self.reset_by_backend = False
        # Whether the backend has finished the flow.
        self.finished = False
        self.answers: list[dict] = []
        self.first_sent_at = 0.0
        self.initial = host.random.randrange(SPACE)
        self._send_next = (self.initial + 1) % SPACE
        self._acknowledged = self._send_next
        self._expected = 0
        self._event = asyncio.Event()

    @property
    def name(self) -> str:
        """The flow's addresses and ports."""
        return f'{self.local[0]}:{self.local[1]}'

    def on_packet(self, packet: Packet) -> None:
        """Handle a packet from the service's address."""
        if packet.has(RST):
            self._on_reset(packet)
        elif packet.has(SYN | ACK):
            if not self.is_open:
                self.is_open = True
                self._expected = (packet.seq + 1) % SPACE
        elif self.is_open:
            self._on_segment(packet)
        self._event.set()

    async def open(self) -> None:
        """Open the flow; raises :class:`FlowError`."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.first_sent_at = time.monotonic()
        for number, at in enumerate(SYN_COPIES_AT):
            self._send(SYN, self.initial, number)
            later = (*SYN_COPIES_AT[1:], OPEN_SECONDS)[number]
            while not self.is_open and not self.was_reset:
                left = started + later - loop.time()
                if left <= 0 or not await self._wait(left):
                    break
            if self.is_open:
                return
            if self.was_reset:
                raise FlowError('refused')
        raise FlowError('not opened')

    async def ask(self, ident: str, seconds: float) -> dict:
        """Send a request and return its answer; raises :class:`FlowError`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        data = json.dumps({'id': ident}).encode()
        seq, self._send_next = (
            self._send_next,
            (self._send_next + len(data)) % SPACE,
        )
        known = len(self.answers)
        delay = RETRY_SECONDS
        send_at = loop.time()
        while len(self.answers) == known:
            if self.was_reset:
                raise FlowError('reset')
            now = loop.time()
            if now >= deadline:
                raise FlowError('deadline')
            if now >= send_at and self._acknowledged != self._send_next:
                self._send(ACK, seq, self._expected, data)
                send_at = now + delay
                delay = min(2 * delay, MAX_RETRY_SECONDS)
            await self._wait(max(0.001, min(send_at, deadline) - now))
        return self.answers[-1]

    def close(self) -> None:
        """Finish the flow."""
        if self.is_open and not self.was_reset:
            self._send(ACK | FIN, self._send_next, self._expected)
        self.host.flows.pop(self.local[1], None)

    def _on_reset(self, packet: Packet) -> None:
        self.was_reset = True
        self.reset_by_backend = packet.genuine
        if self.is_open and not packet.genuine:
            self.host.resets.append((time.monotonic(), self))

    def _on_segment(self, packet: Packet) -> None:
        if (packet.ack - self._acknowledged) % SPACE < SPACE // 2:
            self._acknowledged = packet.ack
        if packet.data:
            if packet.seq == self._expected:
                self._expected = (self._expected + len(packet.data)) % SPACE
                self.answers.append(json.loads(packet.data))
            self._send(ACK, self._send_next, self._expected)
        if packet.has(FIN):
            self.finished = True

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        packet = Packet(flags, self.local, self.service, seq, ack, data)
        self.host.send(packet, self.entry)

    async def _wait(self, seconds: float) -> bool:
        self._event.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._event.wait()
        except TimeoutError:
            return False
        return True
