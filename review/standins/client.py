"""Stand-in of clients: flows and requests through the platform's routers."""

import asyncio
import random
import socket

from packets import ACK, FIN, RST, SYN, Receiver, Sender, decode, encode

SYN_WAITS = (0.2, 0.4, 0.8)


class Failed(Exception):
    """An attempt has failed; the text says how."""


class ClientMachine:
    """One address of clients, with a socket for all their flows."""

    def __init__(self, rig, host: str, zone: str) -> None:
        self.rig = rig
        self.host = host
        self.zone = zone
        self.random = random.Random(host)
        self.port = 1024
        self.flows: dict[int, 'ClientFlow'] = {}
        self.resets: list = []
        self.damaged = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, rig.datagram_port))
        asyncio.get_running_loop().add_reader(self.socket, self._readable)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    def flow(self, dst) -> 'ClientFlow':
        self.port += 1
        flow = ClientFlow(self, (self.host, self.port), dst)
        self.flows[self.port] = flow
        return flow

    def send(self, raw: bytes, src, dst, entry: str | None = None) -> None:
        entry = entry or self.rig.pick(self.zone, src, dst)
        if entry:
            try:
                self.socket.sendto(raw, (entry, self.rig.datagram_port))
            except OSError:
                pass

    def _readable(self) -> None:
        for _ in range(64):
            try:
                raw = self.socket.recv(2048)
            except OSError:
                return
            packet = decode(raw)
            flow = self.flows.get(packet.dst[1])
            own_reset = bool(packet.flags & RST) and raw[:4] == bytes(4)
            if not packet.intact and not own_reset:
                self.damaged += 1
                self.rig.record('client', 'got a packet that its sender did not write so')
                continue
            if flow is not None:
                flow.on_packet(packet, own_reset)


class ClientFlow:
    """A client's end of one flow."""

    def __init__(self, machine: ClientMachine, src, dst) -> None:
        self.machine, self.src, self.dst = machine, src, dst
        self.rig = machine.rig
        self.isn = machine.random.randrange(1 << 32)
        self.sender = Sender(self._send_data, self.isn + 1)
        self.receiver: Receiver | None = None
        self.reset = False
        self.finished = False
        self.buffer = bytearray()
        self.news = asyncio.Event()
        self.opened_at = 0.0
        self.syn_at = 0.0
        # A machine to send all packets of this flow to, past the routers.
        self.entry: str | None = None

    @property
    def is_open(self) -> bool:
        return self.receiver is not None

    def send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        self.machine.send(encode(flags, self.src, self.dst, seq, ack, data), self.src, self.dst, self.entry)

    def _send_data(self, seq: int, data: bytes) -> None:
        self.send(ACK, seq, self.receiver.expected, data)

    def on_packet(self, packet, own_reset: bool) -> None:
        now = self.rig.now()
        if packet.flags & RST:
            if self.is_open and own_reset:
                near = (self.receiver.expected - packet.seq + 76800) % (1 << 32)
                if near > 2 * 76800:
                    return
                self.machine.resets.append((now, self))
                self.rig.record('client', 'open flow was reset by the system', flow=self.src)
            self.reset = True
        elif packet.flags & (SYN | ACK) == SYN | ACK:
            if not self.is_open:
                self.receiver = Receiver(packet.seq + 1)
                self.opened_at = now
                self.send(ACK, self.isn + 1, self.receiver.expected)
            elif self.receiver.expected == (packet.seq + 1) % (1 << 32):
                # Its acknowledgement was lost.
                self.send(ACK, self.sender.base + self.sender.sent, self.receiver.expected)
        elif self.is_open:
            self.sender.on_ack(packet.ack, now)
            if packet.data:
                self.buffer += self.receiver.take(packet.seq, packet.data)
                self.send(ACK, self.sender.base + self.sender.sent, self.receiver.expected)
            if packet.flags & FIN and not self.finished and (
                packet.seq + len(packet.data)
            ) % (1 << 32) == self.receiver.expected:
                self.finished = True
                self.receiver.expected = (self.receiver.expected + 1) % (1 << 32)
                self.send(FIN | ACK, self.sender.base + len(self.sender.waiting), self.receiver.expected)
        self.news.set()

    async def open(self) -> None:
        """Open the flow, with copies of the SYN; raises ``Failed``."""
        self.syn_at = self.rig.now()
        for copy, wait in enumerate(SYN_WAITS):
            self.send(SYN, self.isn, copy)
            ends = self.rig.now() + wait
            while not self.is_open and not self.reset and self.rig.now() < ends:
                await self._wait(ends - self.rig.now())
            if self.is_open:
                return
            if self.reset:
                raise Failed('reset before it was open')
        raise Failed('never opened')

    async def request(self, attempt: str, size: int, deadline_s: float) -> bytes:
        """Send a request and return the body of its answer."""
        text = f'POST /x HTTP/1.1\r\nAttempt-Id: {attempt}\r\nWant: {size}\r\nContent-Length: 20\r\n\r\n' + 'b' * 20
        self.sender.write(text.encode(), self.rig.now())
        ends = self.rig.now() + deadline_s
        while True:
            head, mark, rest = bytes(self.buffer).partition(b'\r\n\r\n')
            if mark:
                headers = dict(line.split(': ', 1) for line in head.decode().split('\r\n')[1:])
                length = int(headers['Content-Length'])
                if len(rest) >= length:
                    self.buffer[:] = rest[length:]
                    if headers['Attempt-Id'] != attempt:
                        raise Failed('answer of another request')
                    return rest[:length]
            if self.reset:
                raise Failed('reset')
            if self.finished:
                raise Failed('closed by the backend')
            if self.rig.now() > ends:
                raise Failed('deadline')
            self.sender.tick(self.rig.now(), 1000)
            await self._wait(0.05)

    def close(self) -> None:
        if self.is_open and not self.reset and not self.finished:
            self.send(FIN | ACK, self.sender.base + len(self.sender.waiting), self.receiver.expected)

    async def _wait(self, seconds: float) -> None:
        self.news.clear()
        try:
            async with asyncio.timeout(max(0.001, seconds)):
                await self.news.wait()
        except TimeoutError:
            pass
