"""Measures the QUIC data path and the start-up of the zipapp.

Run with ``make bench``. Writes docs/speed.json: the entry's CPU time per
datagram, request latency, the time until a change is applied, and the memory
and CPU time of open connections.
"""

import asyncio
import json
import os
import platform as machine
import random
import resource
import socket
import sys
import tempfile
import time
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from typing import Any

from bench.capacity import KEY, read_process_usage, settings_body
from ragwortpost._clock import SystemClock
from ragwortpost.connection import ConnectionIdCodec, EnvelopeCodec, ReplyHeader
from ragwortpost.process import Entry, Node, ProcessSettings
from ragwortpost._datagrams import UdpSockets, _read_batch
from ragwortpost.version import Role, SocketAddress
from standin.caller import Caller, open_caller
from standin.deployment import Deployment, ServicePlan, cedarline
from tests.harness.network import Host, Network
from tests.harness.peers import MemoryExchange, PeerNetwork
from tests.harness.platform import FakePlatformPort, Platform

BURST_SIZE = 64
ROUND_COUNT = 400
# Connections that are opened at a time, and the seconds that they may take.
OPEN_BATCH = 10
OPEN_TIMEOUT_SECONDS = 30


async def measure_entry() -> dict[str, float]:
    """Measure the QUIC entry's CPU time per datagram in each direction."""
    platform = Platform()
    platform.publish(
        'settings',
        settings_body(1000)
        .replace(b'10.255.0.1:4433', b'127.40.0.1:4433')
        .replace(b'10.0.0.', b'127.40.3.'),
    )
    host = Host('entry', 'dc0')
    peers = PeerNetwork(Network(asyncio.get_running_loop(), random.Random(1)))  # type: ignore[arg-type]
    settings = ProcessSettings(
        Role.ENTRY,
        'entry',
        'dc0',
        SocketAddress('127.40.1.1', 7000),
        KEY,
        '',
        listen_host='127.40.1.1',
    )
    node = Node(
        SystemClock(),
        settings,
        FakePlatformPort(platform, host),
        MemoryExchange(peers, host),
        random.Random(1),
    )
    await node.sync_versions()
    # The suspension detector's task does not run here. An infinite last tick
    # keeps it from reporting a suspension.
    node.suspension._last_tick = float('inf')
    metrics: dict[str, float] = {}
    with ExitStack() as stack:
        sockets = UdpSockets()
        entry = Entry(node, sockets)
        service = node.fleet.snapshot.services['s0']
        upstream = service.upstreams[0]
        caller_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        caller_socket.bind(('127.40.2.1', 0))
        upstream_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        upstream_socket.setblocking(False)
        upstream_socket.bind(upstream.address.host_port)
        entry._send = sockets.open(
            stack, ('127.40.1.1', 7000), entry._receive_reply
        )
        entry._listen(service)
        listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        listener.setblocking(False)
        listener.bind(('127.40.1.2', 4433))

        def receive(datagram: bytes, caller: Any) -> None:
            entry._receive(service, datagram, caller)

        established = (
            b'\x40'
            + ConnectionIdCodec(KEY).issue(upstream.ident, b'1234567')
            + bytes(60)
        )
        metrics['established_us'] = cpu_us_per_datagram(
            caller_socket,
            listener,
            receive,
            [established] * BURST_SIZE,
            upstream_socket,
        )
        initial_prefix = b'\xc3\x00\x00\x00\x01\x08'
        initial_packets = [
            initial_prefix + os.urandom(8) + bytes(1186)
            for _ in range(BURST_SIZE)
        ]
        metrics['first_us'] = cpu_us_per_datagram(
            caller_socket, listener, receive, initial_packets, upstream_socket
        )
        reply = EnvelopeCodec(KEY).seal_reply(
            ReplyHeader(
                caller_socket.getsockname(), service.ident, upstream.ident
            ),
            bytes(1200),
        )
        metrics['reply_us'] = cpu_us_per_datagram(
            caller_socket,
            listener,
            entry._receive_reply,
            [reply] * BURST_SIZE,
            upstream_socket,
        )
        metrics['established_per_s'] = 1e6 / metrics['established_us']
        metrics['reply_per_s'] = 1e6 / metrics['reply_us']
        metrics['first_per_s'] = 1e6 / metrics['first_us']
        counters = entry.counters
        metrics['forwarded'] = counters.forwarded
        metrics['dropped'] = sum(counters.dropped.values())
        entry._close_listeners()
    return metrics


def cpu_us_per_datagram(
    caller_socket: socket.socket,
    listener: socket.socket,
    receive: Any,
    burst: list[bytes],
    upstream_socket: socket.socket,
) -> float:
    """Return the CPU microseconds to receive and forward one datagram."""
    cpu_seconds = 0.0
    for _ in range(ROUND_COUNT):
        for datagram in burst:
            caller_socket.sendto(datagram, listener.getsockname())
        started = time.thread_time()
        _read_batch(listener, receive)
        cpu_seconds += time.thread_time() - started
        _read_batch(upstream_socket, lambda *_: None)
        caller_socket.setblocking(False)
        _read_batch(caller_socket, lambda *_: None)
        caller_socket.setblocking(True)
    return cpu_seconds / ROUND_COUNT / len(burst) * 1e6


async def measure_open_connections() -> list[dict[str, float]]:
    """Measure memory and CPU time by the number of open connections.

    All connections have one agent, and its values are given with those of an
    entry.
    """
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(41), Path(folder))
            # All other upstreams of the service leave, so that one agent gets
            # all connections.
            for upstream in deployment.upstreams[1:7]:
                deployment.settings.upstream_states[upstream.name] = 'leaving'
            await deployment.start(stack, settle_seconds=6)
            agent_pid = deployment.processes[deployment.upstreams[0].name].pid
            entry_pid = deployment.processes['entry-1'].pid
            service = deployment.plan.services[0]
            connections = await stack.enter_async_context(AsyncExitStack())
            callers: list[Caller] = []
            # Closed together: each one alone takes some round trips.
            stack.callback(close_all, callers)
            rows.append(connection_row(agent_pid, entry_pid, 0, 0))
            for connection_count in (500, 1000, 1900):
                started = time.monotonic()
                while len(callers) < connection_count:
                    callers += await open_batch(
                        connections, service, len(callers)
                    )
                seconds = time.monotonic() - started
                rows.append(
                    connection_row(agent_pid, entry_pid, len(callers), seconds)
                )
    return rows


async def open_batch(
    stack: AsyncExitStack, service: ServicePlan, opened: int
) -> list[Caller]:
    """Open some more connections, which ``stack`` closes; return them.

    Raises :class:`TimeoutError` with the number of those that are open.
    """
    try:
        async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
            return await asyncio.gather(
                *(
                    open_caller(stack, service.host, service.port, 120)
                    for _ in range(OPEN_BATCH)
                )
            )
    except TimeoutError as error:
        raise TimeoutError(
            f'connections at one agent: {opened} are open, the next '
            f'{OPEN_BATCH} took more than {OPEN_TIMEOUT_SECONDS} s'
        ) from error


def close_all(callers: list[Caller]) -> None:
    """Begin to close all connections."""
    for caller in callers:
        caller.protocol.close()


def connection_row(
    agent_pid: int, entry_pid: int, connections: int, seconds: float
) -> dict[str, float]:
    """Return the memory and CPU seconds of an agent and an entry."""
    agent_mb, agent_cpu = read_process_usage(agent_pid)
    entry_mb, entry_cpu = read_process_usage(entry_pid)
    return {
        'flows': connections,
        'seconds': seconds,
        'agent_rss_mb': agent_mb,
        'agent_cpu_s': agent_cpu,
        'entry_rss_mb': entry_mb,
        'entry_cpu_s': entry_cpu,
    }


async def measure_latency() -> dict[str, float]:
    """Measure request latency, and the time until a change is applied.

    Each request is sent through fabric, entry and agent, and then directly to
    the upstream over HTTP/1.1.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(42), Path(folder))
            await deployment.start(stack, settle_seconds=6)
            service = deployment.plan.services[0]
            caller = await open_caller(stack, service.host, service.port)
            through_seconds, direct_seconds = [], []
            assert deployment.session is not None
            url = f'http://{deployment.upstreams[0].host}:8080/x?seconds=0'
            for _ in range(300):
                started = time.perf_counter()
                await caller.call('GET', '/x?seconds=0')
                through_seconds.append(time.perf_counter() - started)
                started = time.perf_counter()
                async with deployment.session.get(url) as response:
                    await response.read()
                direct_seconds.append(time.perf_counter() - started)
            apply_seconds = []
            for number in range(5):
                deployment.settings.upstream_weights[
                    deployment.upstreams[0].name
                ] = 50 + number
                version = await deployment.publish()
                apply_seconds.append(
                    await deployment.seconds_until_applied(version)
                )
    through_seconds.sort()
    direct_seconds.sort()
    return {
        'through_p50_ms': through_seconds[150] * 1000,
        'through_p99_ms': through_seconds[297] * 1000,
        'direct_p50_ms': direct_seconds[150] * 1000,
        'direct_p99_ms': direct_seconds[297] * 1000,
        'change_in_force_s_max_of_5': max(apply_seconds),
    }


async def measure_binary() -> dict[str, float]:
    """Measure size, start-up time and peak memory of the zipapp.

    The first start unpacks it below ``SHIV_ROOT``; the later one finds it there.
    """
    binary = Path('dist/ragwortpost').absolute()
    metrics: dict[str, float] = {'megabytes': binary.stat().st_size / 1048576}
    with tempfile.TemporaryDirectory() as folder:
        for name in ('first_start_s', 'later_start_s'):
            started = time.monotonic()
            process = await asyncio.create_subprocess_exec(
                str(binary),
                '--help',
                stdout=asyncio.subprocess.DEVNULL,
                env={**os.environ, 'SHIV_ROOT': folder},
            )
            await process.wait()
            metrics[name] = time.monotonic() - started
        unpacked_bytes = sum(
            path.stat().st_size
            for path in Path(folder).rglob('*')
            if path.is_file()
        )
        metrics['unpacked_megabytes'] = unpacked_bytes / 1048576
    metrics['peak_rss_mb'] = (
        resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    )
    return metrics


def main() -> None:
    """Run all measurements and write docs/speed.json."""
    metrics = {
        'command': 'make bench',
        'machine': f'{machine.machine()}, {os.cpu_count()} cores, Python {machine.python_version()}',
        'binary': asyncio.run(measure_binary()),
        'entry': asyncio.run(measure_entry()),
        'latency': asyncio.run(measure_latency()),
        'flows': asyncio.run(measure_open_connections()),
    }
    Path('docs/speed.json').write_text(json.dumps(metrics, indent=1))
    sys.stdout.write(json.dumps(metrics, indent=1) + '\n')


if __name__ == '__main__':
    main()
