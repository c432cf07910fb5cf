"""Stand-in of a backend: flows, requests, health check and registration."""

import asyncio
import random
import socket

from packets import (
    ACK, BOUNCED, FIN, RST, SYN, Receiver, Sender, bounce, decode, encode,
)

RETRIES = 8


class BackendFlow:
    """A flow that the backend holds, half open until its seq is acknowledged."""

    def __init__(self, backend: 'Backend', packet) -> None:
        self.backend = backend
        self.client, self.service = packet.src, packet.dst
        self.iss = backend.random.randrange(1 << 32)
        self.receiver = Receiver(packet.seq + 1)
        self.sender = Sender(self._send_data, self.iss + 1)
        self.is_open = False
        self.buffer = bytearray()
        self.unacked = 0
        self.syn_acks = 1
        self.syn_ack_due = backend.now() + 0.2
        self.fin_sent = False
        self.peer_finished = False

    def syn_ack(self) -> None:
        self.send(SYN | ACK, self.iss)

    def send(self, flags: int, seq: int, data: bytes = b'') -> None:
        raw = encode(flags, self.service, self.client, seq, self.receiver.expected, data)
        self.backend.send(raw)

    def _send_data(self, seq: int, data: bytes) -> None:
        self.send(ACK, seq, data)

    def finish(self) -> None:
        """Send a FIN once all data is acknowledged."""
        if not self.fin_sent:
            self.fin_sent = True
            self.send(FIN | ACK, self.sender.base + len(self.sender.waiting))


class Backend:
    """One backend machine's application, in one incarnation after the other."""

    def __init__(self, rig, name: str, service: str, host: str, zone: str, slots: int, work_s: float) -> None:
        self.rig = rig
        self.name = name
        self.service = service
        self.host = host
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.random = random.Random(name)
        self.incarnation = 0
        self.running = False
        self.ident = ''
        self.state = 'ready'
        self.sequence = 0
        self.born = 0
        self.cold_until = 0.0
        self.registered = False
        self.flows: dict = {}
        self.ended: set = set()
        self.runs: list = []
        # Times at which opening packets were taken, with their flows.
        self.openings: list = []
        self.damaged = 0
        self.tasks: set = set()
        self.socket = None
        self.health = None

    def now(self) -> float:
        return self.rig.now()

    # -- life --------------------------------------------------------------

    def start(self, *, cold: bool = False) -> None:
        """Start a new incarnation, which holds and knows nothing."""
        self.incarnation += 1
        self.ident = f'{self.name}-{self.incarnation}'
        self.state, self.sequence = 'ready', 0
        self.born = self.rig.unix_ms()
        self.cold_until = self.now() + self.rig.warmup_s if cold else 0.0
        self.flows, self.ended = {}, set()
        self.queue = asyncio.Semaphore(self.slots)
        self.running = True
        self.registered = False
        receive = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receive.setblocking(False)
        receive.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        receive.bind((self.host, self.rig.app_port))
        self.socket = receive
        asyncio.get_running_loop().add_reader(receive, self._readable, receive)
        self._spawn(self._serve_health())
        self._spawn(self._heartbeat())
        self._spawn(self._timers())
        self.rig.record('backend', f'{self.ident} starts', cold=cold)

    def crash(self) -> None:
        """End at once; all flows are gone and nothing is said."""
        self.running = False
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        if self.health is not None:
            self.health.close()
            self.health = None
        self.rig.record('backend', f'{self.ident} crashes')

    def leave(self) -> None:
        """Report ``draining``; the caller of this ends the backend later."""
        self.state = 'draining'
        self._write()

    def _spawn(self, job) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- store -------------------------------------------------------------

    def entry(self) -> dict:
        left = max(0, int((self.cold_until - self.now()) * 1000))
        return {
            'service': self.service, 'address': f'{self.host}:{self.rig.app_port}',
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'warmupLeftMs': left,
            'sequence': self.sequence, 'born': self.born,
        }

    def _write(self) -> bool:
        if not self.rig.store.accepts(self.name):
            return False
        self.sequence += 1
        self.rig.store.put(f'servers/{self.ident}', self.entry())
        self.rig.heard[self.ident] = self.now()
        if not self.registered:
            self.registered = True
            self.rig.record('backend', f'{self.ident} registered')
        return True

    async def _heartbeat(self) -> None:
        while True:
            wrote = self._write()
            # A failed write is tried again soon.
            await asyncio.sleep(self.rig.heartbeat_s if wrote else 0.3)

    async def _serve_health(self) -> None:
        async def answer(reader, writer):
            try:
                await reader.readuntil(b'\r\n\r\n')
                status = '200 OK' if self.state == 'ready' else '503 X'
                writer.write(f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode())
                await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            writer.close()
        self.health = await asyncio.start_server(answer, self.host, self.rig.app_port)

    # -- packets -----------------------------------------------------------

    def send(self, raw: bytes) -> None:
        if self.socket is not None:
            try:
                self.socket.sendto(raw, (self.host, self.rig.outbound_port))
            except OSError:
                pass

    def _readable(self, receive) -> None:
        for _ in range(64):
            try:
                raw = receive.recv(2048)
            except OSError:
                return
            self._packet(raw)

    def _packet(self, raw: bytes) -> None:
        packet = decode(raw)
        if not packet.intact or packet.flags & BOUNCED:
            self.damaged += 1
            self.rig.record('backend', f'{self.ident} got a packet that its sender did not write so')
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.is_syn:
            if flow is None:
                if len(self.flows) >= self.rig.max_conns:
                    self.send(bounce(raw))
                    return
                flow = BackendFlow(self, packet)
                self.flows[key] = flow
                self.ended.discard(key)
                self.openings.append((self.now(), packet.src, packet.dst))
                self.rig.record('backend', f'{self.ident} took opening packet', client=packet.src, port=packet.dst[1], state=self.state)
            if not flow.is_open:
                flow.syn_ack()
            return
        if flow is None:
            if key in self.ended:
                if packet.flags & FIN:
                    self.send(encode(ACK, packet.dst, packet.src, packet.ack, packet.seq + 1 + len(packet.data)))
                elif packet.data:
                    self.send(encode(RST, packet.dst, packet.src, packet.ack, 0))
                return
            self.send(bounce(raw))
            return
        if not flow.is_open:
            if packet.ack != (flow.iss + 1) % (1 << 32):
                # It answers the handshake of another backend.
                self.send(bounce(raw))
                return
            flow.is_open = True
            self.rig.on_open(self, packet.src, packet.dst)
        self._on_flow(flow, key, packet)

    def _on_flow(self, flow: BackendFlow, key, packet) -> None:
        now = self.now()
        if packet.flags & RST:
            self._end(key)
            return
        if packet.flags & ACK:
            flow.sender.on_ack(packet.ack, now)
        if packet.data:
            flow.buffer += flow.receiver.take(packet.seq, packet.data)
            flow.send(ACK, flow.sender.base + flow.sender.sent)
            self._requests(flow)
        if packet.flags & FIN:
            flow.peer_finished = True
            flow.receiver.expected = (packet.seq + len(packet.data) + 1) % (1 << 32)
            flow.send(ACK, flow.sender.base + flow.sender.sent)
            if not flow.sender.waiting:
                flow.finish()
        if flow.fin_sent and flow.peer_finished:
            self._end(key)

    def _end(self, key) -> None:
        self.flows.pop(key, None)
        self.ended.add(key)

    def _requests(self, flow: BackendFlow) -> None:
        while b'\r\n\r\n' in flow.buffer:
            head, _, rest = bytes(flow.buffer).partition(b'\r\n\r\n')
            headers = dict(
                line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
            )
            length = int(headers.get('Content-Length', 0))
            if len(rest) < length:
                return
            flow.buffer[:] = rest[length:]
            self._spawn(self._run(flow, headers['Attempt-Id'], int(headers['Want'])))

    async def _run(self, flow: BackendFlow, attempt: str, size: int) -> None:
        async with self.queue:
            self.runs.append((self.now(), attempt))
            self.rig.record('backend', f'{self.ident} runs', attempt=attempt)
            await asyncio.sleep(self.work_s * (1.6 if self.now() < self.cold_until else 1))
        body = (f'{attempt} {self.service} {self.ident} '.encode()).ljust(size, b'.')
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nBackend-Signature: s\r\n'
            f'Backend-Id: {self.ident}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        flow.sender.write(head.encode() + body, self.now())
        if self.state == 'draining':
            while flow.sender.waiting and not flow.sender.given_up:
                await asyncio.sleep(0.02)
            flow.finish()

    async def _timers(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = self.now()
            for key, flow in list(self.flows.items()):
                if flow.is_open:
                    flow.sender.tick(now, RETRIES)
                elif now >= flow.syn_ack_due:
                    flow.syn_acks += 1
                    if flow.syn_acks > RETRIES:
                        self.flows.pop(key, None)
                        continue
                    flow.syn_ack_due = now + min(0.2 * 2 ** (flow.syn_acks - 1), 1.6)
                    flow.syn_ack()
