"""QUIC callers on the in-memory network, and the counts of their results."""

import asyncio
import ssl
from collections.abc import Callable, Container
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from ragwortpost.connection import HostPort
from standin.caller import Caller, CallerProtocol, ConnectionLostError, Response
from tests.harness.network import Host, MemoryDatagramSockets, Network

# Timeout of a connection attempt or a request.
ATTEMPT_SECONDS = 6.0
# Time without an event after which a stream counts as lost.
STALL_SECONDS = 3.0
TIMED_OUT = 'request timed out'


class _Transport(asyncio.DatagramTransport):
    """The transport of aioquic's protocol on the in-memory network."""

    def __init__(self, network: Network, address: HostPort, host: Host) -> None:
        super().__init__()
        self._stack = ExitStack()
        self._sockets = MemoryDatagramSockets(network, host)
        self._address = address
        self.protocol: CallerProtocol | None = None
        self._send = self._sockets.open(self._stack, address, self._receive)

    def sendto(self, packet: Any, to: Any = None) -> None:
        """Send a datagram."""
        self._send(bytes(packet), to)

    def close(self) -> None:
        """Stop receiving on the address."""
        self._stack.close()

    def rebind(self, address: HostPort) -> None:
        """Continue from another address, as after a change of a NAT binding."""
        self._stack.close()
        self._send = self._sockets.open(self._stack, address, self._receive)

    def _receive(self, packet: bytes, source: HostPort) -> None:
        # Real entries send from the service's address. Here the source is the
        # entry's own address and is replaced.
        if self.protocol is not None:
            self.protocol.datagram_received(packet, self.service)

    # Address of the service that the connection is opened to.
    service: HostPort = ('', 0)


@dataclass
class Tally:
    """Results of the callers; the fields are printed by their names."""

    # Requests started, not counting retries.
    requests: int = 0
    # Requests answered by an upstream.
    answered: int = 0
    # Refusals that state that the request was not run.
    not_run: int = 0
    # Requests whose outcome stayed unknown.
    unknown: int = 0
    # Responses that belong to another request or are incomplete.
    mixed: int = 0
    # Connections lost or timed out, without those counted in ``given_up``.
    # Connections opened only for a retry are not counted.
    broken_flows: int = 0
    # Connections lost to upstreams in data centres that have been drained.
    given_up: int = 0
    # Events that did not directly follow the event before on their stream.
    event_gaps: int = 0
    # Connection attempts that failed.
    connects_failed: int = 0
    # Seconds from the last event of a lost event stream to the next connection.
    back_seconds: list[float] = field(default_factory=list)
    # State of each non-idempotent operation: "answered", "not-run", or
    # "unknown", also before the final response.
    operations: dict[str, str] = field(default_factory=dict)
    # Seconds that each response took, from the start of its attempt.
    latencies: list[float] = field(default_factory=list)
    # Reasons why the connections in ``broken_flows`` closed.
    ends: list[str] = field(default_factory=list)
    # Maximum of ``latencies``, in seconds.
    slowest: float = 0


class Callers:
    """Opens connections and runs the callers' requests."""

    def __init__(self, network: Network) -> None:
        """Initialize with the network."""
        self.network = network
        self.tally = Tally()
        # Returns the short ids of upstreams in data centres ever drained.
        self.find_drained_upstreams: Callable[[], Container[bytes]] = set
        # Names of the services, by address.
        self.service_names: dict[HostPort, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        self._address_count = 0
        self.transports: list[_Transport] = []
        self._last_event_at: dict[Caller, float] = {}

    async def connect(self, service: HostPort) -> Caller:
        """Open a connection to a service."""
        self._address_count += 1
        address = (
            f'192.0.2.{self._address_count % 250}',
            1024 + self._address_count,
        )
        host = Host(f'caller-{self._address_count}', '')
        transport = _Transport(self.network, address, host)
        transport.service = service
        self.transports.append(transport)
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=H3_ALPN,
            verify_mode=ssl.CERT_NONE,
            idle_timeout=20,
            server_name='service',
        )
        protocol = CallerProtocol(QuicConnection(configuration=configuration))
        transport.protocol = protocol
        protocol.connection_made(transport)
        protocol.connect(service)
        async with asyncio.timeout(ATTEMPT_SECONDS):
            await protocol.wait_connected()
        return Caller(protocol)

    def rebind(self) -> None:
        """Move all connections to other addresses and send a ping from each."""
        for transport in self.transports:
            self._address_count += 1
            transport.rebind(
                (
                    f'198.51.100.{self._address_count % 250}',
                    1024 + self._address_count,
                )
            )
            if transport.protocol is not None:
                transport.protocol._quic.send_ping(self._address_count)
                transport.protocol.transmit()

    def start(self, coroutine: Any) -> None:
        """Run a coroutine in a new task until :meth:`finish`."""
        self.tasks.add(self.network.loop.create_task(coroutine))

    async def finish(self) -> None:
        """Wait for running requests, then stop all callers."""
        self.stopping = True
        await asyncio.sleep(ATTEMPT_SECONDS)
        for task in self.tasks:
            task.cancel()
        for outcome in await asyncio.gather(
            *self.tasks, return_exceptions=True
        ):
            if isinstance(outcome, Exception):
                raise outcome

    async def read_events(self, service: HostPort) -> None:
        """Keep an event stream open and check that its events are in order."""
        lost_at: float | None = None
        loop = asyncio.get_running_loop()
        while not self.stopping:
            caller = await self._try_connect(service)
            if caller is None:
                continue
            if lost_at is not None:
                self.tally.back_seconds.append(loop.time() - lost_at)
            try:
                await self._read_stream(caller)
            except ConnectionLostError:
                lost_at = self._last_event_at.pop(caller, loop.time())
                self._record_disconnect(caller)

    async def post_operations(
        self, service: HostPort, name: str, period: float
    ) -> None:
        """Send non-idempotent requests one by one on one connection."""
        number = 0
        while not self.stopping:
            caller = await self._try_connect(service)
            while caller and not caller.closed and not self.stopping:
                number += 1
                await self.run_operation(caller, service, f'{name}-{number}')
                await asyncio.sleep(period)
            if caller and caller.closed:
                self._record_disconnect(caller)

    async def download_documents(
        self, service: HostPort, name: str, period: float
    ) -> None:
        """Download documents of several sizes one by one on one connection."""
        number = 0
        while not self.stopping:
            caller = await self._try_connect(service)
            while caller and not caller.closed and not self.stopping:
                number += 1
                size = (100, 3000, 200000)[number % 3]
                await self._download(caller, service, f'{name}-{number}', size)
                await asyncio.sleep(period)
            if caller and caller.closed:
                self._record_disconnect(caller)

    async def run_operation(
        self, caller: Caller, service: HostPort, operation: str
    ) -> None:
        """Send a non-idempotent request and retry it to a final outcome."""
        self.tally.requests += 1
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                key = await caller.fetch_idempotency_key()
        except TimeoutError:
            caller.protocol.closed_reason = TIMED_OUT
            return
        except ConnectionLostError:
            return
        self.tally.operations[operation] = 'unknown'
        headers = {
            'idempotency-key': key,
            'x-operation': operation,
            'x-service': self.service_names[service],
        }
        response = await self._retry_until_final(
            caller, service, 'POST', headers, b'scan'
        )
        state = self._classify(response, operation, 0)
        self.tally.operations[operation] = state

    async def _download(
        self, caller: Caller, service: HostPort, name: str, size: int
    ) -> None:
        self.tally.requests += 1
        headers = {
            'x-operation': name,
            'x-size': str(size),
            'x-service': self.service_names[service],
        }
        response = await self._retry_until_final(
            caller, service, 'GET', headers, b''
        )
        self._classify(response, name, size)

    def _classify(
        self, response: Response | None, operation: str, size: int
    ) -> str:
        if response is None or response.outcome == 'unknown':
            self.tally.unknown += 1
            return 'unknown'
        if response.outcome == 'not-run':
            return 'not-run'
        self.tally.answered += 1
        is_own = bytes(response.body).startswith(operation.encode() + b'|')
        if not is_own or (size and len(response.body) != size):
            self.tally.mixed += 1
        return 'answered'

    async def _retry_until_final(
        self,
        caller: Caller,
        service: HostPort,
        method: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Response | None:
        response = None
        connection: Caller | None = caller
        for _ in range(8):
            if connection is None or connection.closed:
                connection = await self._try_connect(service)
                continue
            response = await self._attempt(connection, method, headers, body)
            if response is None:
                if not connection.closed:
                    connection.protocol.closed_reason = TIMED_OUT
                connection = None
                continue
            if response.outcome == 'not-run':
                self.tally.not_run += 1
            if 'retry-after' not in response.headers:
                return response
            await asyncio.sleep(float(response.headers['retry-after']))
        return response

    async def _attempt(
        self,
        caller: Caller,
        method: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Response | None:
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                response = await caller.call(method, '/work', headers, body)
        except (TimeoutError, ConnectionLostError):
            return None
        elapsed_seconds = asyncio.get_running_loop().time() - started
        self.tally.slowest = max(self.tally.slowest, elapsed_seconds)
        self.tally.latencies.append(elapsed_seconds)
        return response

    async def _try_connect(self, service: HostPort) -> Caller | None:
        try:
            return await self.connect(service)
        except (TimeoutError, ConnectionError):
            self.tally.connects_failed += 1
            await asyncio.sleep(0.2)
            return None

    async def _read_stream(self, caller: Caller) -> None:
        last = 0
        events = caller.events('/events')
        while not self.stopping:
            try:
                async with asyncio.timeout(STALL_SECONDS):
                    event = await anext(events)
            except TimeoutError:
                raise ConnectionLostError('stalled') from None
            self._last_event_at[caller] = asyncio.get_running_loop().time()
            number = int(event.split()[1])
            if last and number != last + 1:
                self.tally.event_gaps += 1
            last = number

    def _record_disconnect(self, caller: Caller) -> None:
        if caller.upstream in self.find_drained_upstreams():
            self.tally.given_up += 1
        else:
            self.tally.broken_flows += 1
            self.tally.ends.append(str(caller.protocol.closed_reason))
