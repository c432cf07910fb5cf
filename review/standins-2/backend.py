"""A stand-in for a backend, as PROTOCOL.md describes it.

A request is one packet of JSON, and so is its answer.
"""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from packets import ACK, FIN, MAX_DATA, RST, SPACE, SYN, Packet
from packets import bounced, decode, encode

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
MAX_RETRIES = 8

Flow = tuple[tuple[str, int], tuple[str, int]]


@dataclass
class _End:
    """The backend's end of a flow."""

    initial: int
    # Sequence number of the next byte to send and to receive.
    send_next: int
    expected: int
    is_open: bool = False
    # Packets that the client has not acknowledged, by sequence number.
    unacknowledged: dict[int, bytes] = field(default_factory=dict)
    retries: int = 0
    timer: asyncio.TimerHandle | None = None
    client_finished: bool = False
    finished: bool = False


class Backend:
    """One backend with its flows and its entry in the store."""

    def __init__(
        self,
        ident: str,
        service: str,
        zone: str,
        write: Callable[[str, dict | None], None],
        record: Callable[..., None],
    ) -> None:
        self.ident = ident
        self.service = service
        self.zone = zone
        self.host = ''
        self.state = 'ready'
        self.sequence = 0
        self.slots = 2
        self.work_seconds = 0.02
        self.born = int(time.time() * 1000)
        self.ends: dict[Flow, _End] = {}
        # The flows that both ends have finished.
        self.ended: dict[Flow, int] = {}
        # Arrivals of opening packets that it accepted: time and flow.
        self.opened: list[tuple[float, Flow]] = []
        self.runs: dict[str, int] = {}
        self.forged = 0
        # Monotonic time until which it is cold, and the rate that it bears.
        self.cold_until = 0.0
        self._write = write
        self._record = record
        self._slots = asyncio.Semaphore(self.slots)
        self._random = random.Random(ident)
        self._tasks: set[asyncio.Task] = set()
        self._socket: socket.socket | None = None
        self._health: asyncio.Server | None = None
        self._outbound = ('', 0)

    @property
    def warmup_left_ms(self) -> int:
        """How much longer it stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    @property
    def entry(self) -> dict:
        """Its entry in the store."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self._port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmupLeftMs': self.warmup_left_ms,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def start(
        self, host: str, port: int, outbound: int, heartbeat: float
    ) -> None:
        """Receive packets and health checks, and write to the store."""
        self.host, self._port = host, port
        self._outbound = (host, outbound)
        self._health = await asyncio.start_server(
            self._answer_health, host, port
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind((host, port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._on_readable)
        self._spawn(self._beat(heartbeat))

    def report(self) -> None:
        """Write its state to the store."""
        self.sequence += 1
        self._write(f'servers/{self.ident}', self.entry)

    def stop(self) -> None:
        """Leave: stop receiving and remove the entry in the store."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        if self._health is not None:
            self._health.close()
        for task in self._tasks:
            task.cancel()
        self._write(f'servers/{self.ident}', None)

    def crash(self) -> None:
        """End without a word; its flows are lost and its entry stays."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        self._health.close()
        for task in self._tasks:
            task.cancel()
        for end in self.ends.values():
            if end.timer is not None:
                end.timer.cancel()
        self.ends.clear()
        self.ended.clear()
        self._record('crashed', backend=self.ident)

    async def _beat(self, heartbeat: float) -> None:
        while True:
            self.report()
            await asyncio.sleep(heartbeat)

    async def _answer_health(self, reader, writer) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = 200 if self.state == 'ready' else 503
            writer.write(b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n' % status)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def _on_readable(self) -> None:
        while self._socket is not None:
            try:
                raw = self._socket.recv(2000)
            except OSError:
                return
            self._on_packet(raw, decode(raw))

    def _on_packet(self, raw: bytes, packet: Packet) -> None:
        flow = (packet.source, packet.destination)
        if not packet.genuine or packet.has(SYN | ACK):
            self.forged += 1
            self._record('forged packet', backend=self.ident, flow=str(flow))
            return
        end = self.ends.get(flow)
        if packet.is_syn:
            self._on_syn(flow, packet, end)
        elif end is None or not self._is_open(flow, end, packet):
            if flow in self.ended and not packet.has(RST):
                self._answer_ended(flow, packet)
            else:
                self._send(bounced(raw))
        else:
            self._on_segment(flow, end, packet)

    def _on_syn(self, flow: Flow, packet: Packet, end: _End | None) -> None:
        if end is None:
            initial = self._random.randrange(SPACE)
            end = _End(initial, (initial + 1) % SPACE, (packet.seq + 1) % SPACE)
            self.ends[flow] = end
            self.ended.pop(flow, None)
            self.opened.append((time.monotonic(), flow))
            self._record('SYN taken', backend=self.ident, flow=str(flow))
        if not end.is_open:
            self._send_packet(flow, SYN | ACK, end.initial, end.expected)

    def _is_open(self, flow: Flow, end: _End, packet: Packet) -> bool:
        if not end.is_open and packet.ack == (end.initial + 1) % SPACE:
            end.is_open = True
            self._record('flow open', backend=self.ident, flow=str(flow))
        return end.is_open

    def _on_segment(self, flow: Flow, end: _End, packet: Packet) -> None:
        if packet.has(RST):
            self._end(flow, end)
            return
        self._acknowledge(end, packet.ack)
        if packet.data and packet.seq == end.expected:
            end.expected = (end.expected + len(packet.data)) % SPACE
            self._spawn(self._run(flow, json.loads(packet.data)))
        if packet.has(FIN):
            end.client_finished = True
        if packet.data or packet.has(FIN):
            self._send_packet(flow, ACK, end.send_next, end.expected)
        if end.client_finished and not end.finished:
            end.finished = True
            self._send_packet(flow, ACK | FIN, end.send_next, end.expected)
        if end.client_finished and end.finished:
            self._end(flow, end)

    def _end(self, flow: Flow, end: _End) -> None:
        if end.timer is not None:
            end.timer.cancel()
        self.ends.pop(flow, None)
        self.ended[flow] = end.send_next

    def _answer_ended(self, flow: Flow, packet: Packet) -> None:
        if packet.data:
            self._send_packet(flow, RST, packet.ack, 0)
        elif packet.has(FIN):
            self._send_packet(flow, ACK, self.ended[flow], packet.seq)

    async def _run(self, flow: Flow, request: dict) -> None:
        async with self._slots:
            ident = request['id']
            self.runs[ident] = self.runs.get(ident, 0) + 1
            self._record('run', backend=self.ident, request=ident)
            await asyncio.sleep(self.work_seconds)
        end = self.ends.get(flow)
        if end is None:
            return
        answer = {'id': ident, 'backend': self.ident, 'service': self.service}
        data = json.dumps(answer).encode()
        assert len(data) <= MAX_DATA
        flags = ACK
        if self.state == 'draining':
            # It closes each flow after its next response.
            flags |= FIN
            end.finished = True
        end.unacknowledged[end.send_next] = self._encode(
            flow, flags, end.send_next, end.expected, data
        )
        self._send(end.unacknowledged[end.send_next])
        end.send_next = (end.send_next + len(data)) % SPACE
        if end.timer is None:
            self._schedule(flow, end)

    def _schedule(self, flow: Flow, end: _End) -> None:
        delay = min(RETRY_SECONDS * 2**end.retries, MAX_RETRY_SECONDS)
        loop = asyncio.get_running_loop()
        end.timer = loop.call_later(delay, self._retry, flow, end)

    def _retry(self, flow: Flow, end: _End) -> None:
        end.timer = None
        if not end.unacknowledged or end.retries >= MAX_RETRIES:
            return
        end.retries += 1
        for raw in end.unacknowledged.values():
            self._send(raw)
        self._schedule(flow, end)

    def _acknowledge(self, end: _End, ack: int) -> None:
        for seq in tuple(end.unacknowledged):
            if (ack - seq - 1) % SPACE < SPACE // 2:
                end.unacknowledged.pop(seq)
        if not end.unacknowledged:
            end.retries = 0
            if end.timer is not None:
                end.timer.cancel()
                end.timer = None

    def _encode(
        self, flow: Flow, flags: int, seq: int, ack: int, data: bytes = b''
    ) -> bytes:
        client, service = flow
        return encode(
            Packet(flags, service, client, seq % SPACE, ack % SPACE, data)
        )

    def _send_packet(self, flow: Flow, flags: int, seq: int, ack: int) -> None:
        self._send(self._encode(flow, flags, seq, ack))

    def _send(self, raw: bytes) -> None:
        if self._socket is not None:
            try:
                self._socket.sendto(raw, self._outbound)
            except OSError:
                pass

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
