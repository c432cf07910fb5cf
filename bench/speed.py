"""Speed of an entry and memory of open flows; run it as ``make bench``.

Writes docs/speed.json.
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

from bench.capacity import KEY, process_figures, tree_text
from ragwortpost._clock import SystemClock
from ragwortpost.connection import ConnectionIdCodec, EnvelopeCodec, ReplyHeader
from ragwortpost.process import Entry, Node, ProcessSettings
from ragwortpost._datagrams import UdpSockets, _read_batch
from ragwortpost.version import Role, SocketAddress
from standin.caller import open_caller
from standin.deployment import Deployment, cedarline
from tests.harness.network import Host, Network
from tests.harness.peers import MemoryExchange, PeerNetwork
from tests.harness.platform import Platform, PlatformView

BURST = 64
ROUNDS = 400


async def entry_speed() -> dict[str, float]:
    """Measure the processor time of one datagram each way at an entry."""
    platform = Platform()
    platform.publish(
        'settings',
        tree_text(1000)
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
        PlatformView(platform, host),
        MemoryExchange(peers, host),
        random.Random(1),
    )
    await node.sync_versions()
    # No task ticks here; the process counts as awake all the time.
    node.suspension._last_tick = float('inf')
    figures: dict[str, float] = {}
    with ExitStack() as stack:
        sockets = UdpSockets()
        entry = Entry(node, sockets)
        service = node.fleet.snapshot.services['s0']
        upstream = service.upstreams[0]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind(('127.40.2.1', 0))
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sink.setblocking(False)
        sink.bind(upstream.address.host_port)
        entry._send = sockets.open(
            stack, ('127.40.1.1', 7000), entry._receive_reply
        )
        entry._listen(service)
        inlet = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        inlet.setblocking(False)
        inlet.bind(('127.40.1.2', 4433))

        def receive(datagram: bytes, caller: Any) -> None:
            entry._receive(service, datagram, caller)

        short = (
            b'\x40'
            + ConnectionIdCodec(KEY).issue(upstream.ident, b'1234567')
            + bytes(60)
        )
        figures['established_us'] = timed(
            sender, inlet, receive, [short] * BURST, sink
        )
        first = b'\xc3\x00\x00\x00\x01\x08'
        firsts = [first + os.urandom(8) + bytes(1186) for _ in range(BURST)]
        figures['first_us'] = timed(sender, inlet, receive, firsts, sink)
        reply = EnvelopeCodec(KEY).seal_reply(
            ReplyHeader(sender.getsockname(), service.ident, upstream.ident),
            bytes(1200),
        )
        figures['reply_us'] = timed(
            sender, inlet, entry._receive_reply, [reply] * BURST, sink
        )
        figures['established_per_s'] = 1e6 / figures['established_us']
        figures['reply_per_s'] = 1e6 / figures['reply_us']
        figures['first_per_s'] = 1e6 / figures['first_us']
        counters = entry.counters
        figures['forwarded'] = counters.forwarded
        figures['dropped'] = sum(counters.dropped.values())
        entry._close_listeners()
    return figures


def timed(
    sender: socket.socket,
    inlet: socket.socket,
    receive: Any,
    burst: list[bytes],
    sink: socket.socket,
) -> float:
    """Return the microseconds of processor time for one datagram."""
    total = 0.0
    for _ in range(ROUNDS):
        for datagram in burst:
            sender.sendto(datagram, inlet.getsockname())
        started = time.thread_time()
        _read_batch(inlet, receive)
        total += time.thread_time() - started
        _read_batch(sink, lambda *_: None)
        sender.setblocking(False)
        _read_batch(sender, lambda *_: None)
        sender.setblocking(True)
    return total / ROUNDS / len(burst) * 1e6


async def flow_figures() -> list[dict[str, float]]:
    """Measure an agent's memory and processor time for open flows."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(41), Path(folder))
            for upstream in deployment.upstreams[1:7]:
                deployment.settings.upstreams[upstream.name] = 'leaving'
            await deployment.start(stack, settle_seconds=6)
            pid = deployment.processes[deployment.upstreams[0].name].pid
            entry = deployment.processes['entry-1'].pid
            service = deployment.plan.services[0]
            opened = 0
            rows.append(flow_row(pid, entry, 0, 0))
            for size in (500, 1000, 1900):
                started = time.monotonic()
                while opened < size:
                    await asyncio.gather(
                        *(
                            open_caller(stack, service.host, service.port, 120)
                            for _ in range(10)
                        )
                    )
                    opened += 10
                rows.append(
                    flow_row(pid, entry, opened, time.monotonic() - started)
                )
    return rows


def flow_row(
    agent: int, entry: int, flows: int, seconds: float
) -> dict[str, float]:
    """Return one row of figures."""
    agent_mb, agent_cpu = process_figures(agent)
    entry_mb, entry_cpu = process_figures(entry)
    return {
        'flows': flows,
        'seconds': seconds,
        'agent_rss_mb': agent_mb,
        'agent_cpu_s': agent_cpu,
        'entry_rss_mb': entry_mb,
        'entry_cpu_s': entry_cpu,
    }


async def added_latency() -> dict[str, float]:
    """Measure a short request through the whole path, and direct to HTTP."""
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(42), Path(folder))
            await deployment.start(stack, settle_seconds=6)
            service = deployment.plan.services[0]
            caller = await open_caller(stack, service.host, service.port)
            through, direct = [], []
            assert deployment.session is not None
            url = f'http://{deployment.upstreams[0].host}:8080/x?seconds=0'
            for _ in range(300):
                started = time.perf_counter()
                await caller.call('GET', '/x?seconds=0')
                through.append(time.perf_counter() - started)
                started = time.perf_counter()
                async with deployment.session.get(url) as response:
                    await response.read()
                direct.append(time.perf_counter() - started)
            changes = []
            for number in range(5):
                deployment.settings.weights[deployment.upstreams[0].name] = (
                    50 + number
                )
                version = await deployment.publish()
                changes.append(await deployment.seconds_until_applied(version))
    through.sort()
    direct.sort()
    return {
        'through_p50_ms': through[150] * 1000,
        'through_p99_ms': through[297] * 1000,
        'direct_p50_ms': direct[150] * 1000,
        'direct_p99_ms': direct[297] * 1000,
        'change_in_force_s_max_of_5': max(changes),
    }


async def binary_figures() -> dict[str, float]:
    """Measure the one-file build's start, unpacked anew and again."""
    binary = Path('dist/ragwortpost').absolute()
    figures: dict[str, float] = {'megabytes': binary.stat().st_size / 1048576}
    with tempfile.TemporaryDirectory() as folder:
        for name in ('first_start_s', 'later_start_s'):
            started = time.monotonic()
            child = await asyncio.create_subprocess_exec(
                str(binary),
                '--help',
                stdout=asyncio.subprocess.DEVNULL,
                env={**os.environ, 'SHIV_ROOT': folder},
            )
            await child.wait()
            figures[name] = time.monotonic() - started
        unpacked = sum(
            path.stat().st_size
            for path in Path(folder).rglob('*')
            if path.is_file()
        )
        figures['unpacked_megabytes'] = unpacked / 1048576
    figures['peak_rss_mb'] = (
        resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    )
    return figures


def main() -> None:
    """Measure and write the figures."""
    figures = {
        'command': 'make bench',
        'machine': f'{machine.machine()}, {os.cpu_count()} cores, Python {machine.python_version()}',
        'binary': asyncio.run(binary_figures()),
        'entry': asyncio.run(entry_speed()),
        'latency': asyncio.run(added_latency()),
        'flows': asyncio.run(flow_figures()),
    }
    Path('docs/speed.json').write_text(json.dumps(figures, indent=1))
    sys.stdout.write(json.dumps(figures, indent=1) + '\n')


if __name__ == '__main__':
    main()
