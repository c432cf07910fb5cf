"""Measures how the costs of the QUIC data path grow with the fleet.

Run with ``make capacity``. Writes docs/capacity.json, from which ``make pages``
makes docs/CAPACITY.md.
"""

import asyncio
import gc
import json
import os
import platform as machine
import random
import sys
import tempfile
import time
import tracemalloc
import zlib
from array import array
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from grpclib.server import Server

from ragwortpost.connection import ConnectionIdCodec, RoutingTable, ToUpstream
from ragwortpost.process import (
    Freshness,
    PeerChannels,
    PeerService,
    SealedCodec,
    Stores,
    VersionGossip,
)
from ragwortpost.process._version_gossip import GrpcExchange
from ragwortpost.version import (
    Fleet,
    SocketAddress,
    parse_snapshot,
    parse_vm_list,
    settings_store,
    vms_store,
)
from standin.deployment import Deployment, cedarline

KEY = b'k' * 32
UPSTREAMS = 58000
SERVICES = 4400
VMS = 63000
UPSTREAM_COUNTS = (10, 100, 1000, 10000, UPSTREAMS)
DATA_CENTRES = 17
PROCESS_COUNTS = (30, 60, 120)


class MonotonicClock:
    """The system's monotonic clock, usable without an event loop."""

    def monotonic(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()


def settings_body(upstreams: int) -> bytes:
    """Return a settings document with about 13 upstreams per service.

    Each service has a range of upstreams in each of three data centres.
    """
    services = max(1, upstreams * SERVICES // UPSTREAMS)
    lines = ['[defaults]', 'slots = 2']
    lines += [f'[data-centre dc{number}]' for number in range(DATA_CENTRES)]
    remaining = upstreams
    for service_number in range(services):
        high, low = divmod(service_number, 250)
        lines += [
            f'[service s{service_number}]',
            f'address = 10.255.{high}.{low + 1}:4433',
        ]
        service_upstreams = -(-remaining // (services - service_number))
        remaining -= service_upstreams
        for range_index in range(min(3, service_upstreams)):
            range_size = service_upstreams // 3 + (
                range_index < service_upstreams % 3
            )
            start = service_number * 15 + range_index * 5
            lines += [
                f'[upstream s{service_number}/dc{(service_number + range_index) % DATA_CENTRES}/1-{range_size}]',
                f'address = 10.{start // 62500}.{start % 62500 // 250}.{start % 250 + 1}:7001',
            ]
    return '\n'.join(lines).encode()


def vm_list_body(count: int) -> bytes:
    """Return a VM list document with ``count`` VMs."""
    rows = [
        {
            'name': f'svc-{number % SERVICES}/site-{number % DATA_CENTRES}/{number}',
            'role': 'agent',
            'data_centre': f'site-{number % DATA_CENTRES}',
            'address': f'10.{number // 62500}.{number % 62500 // 250}.{number % 250 + 1}:7001',
            'state': 'live',
        }
        for number in range(count)
    ]
    return json.dumps(rows).encode()


def measure_build(build: Callable[[], Any]) -> tuple[Any, float, int]:
    """Return a built object, the CPU seconds to build it and its bytes."""
    gc.collect()
    started = time.process_time()
    build()
    seconds = time.process_time() - started
    tracemalloc.start()
    built = build()
    gc.collect()
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, seconds, kept_bytes


def measure_settings_tree() -> list[dict[str, float]]:
    """Measure size, parse time and memory of settings and routing tables."""
    rows = []
    codec = ConnectionIdCodec(KEY)
    for upstream_count in UPSTREAM_COUNTS:
        body = settings_body(upstream_count)
        snapshot, parse_seconds, snapshot_bytes = measure_build(
            lambda: parse_snapshot(1, body).unwrap()
        )  # noqa: B023
        table, table_seconds, table_bytes = measure_build(
            lambda: RoutingTable(Fleet(snapshot), codec)
        )  # noqa: B023
        rows.append(
            {
                'upstreams': upstream_count,
                'body_bytes': len(body),
                'zlib_bytes': len(zlib.compress(body, 9)),
                'parse_seconds': parse_seconds,
                'snapshot_bytes': snapshot_bytes,
                'table_seconds': table_seconds,
                'table_bytes': table_bytes,
                **measure_routing(table, snapshot, codec),
            }
        )
    return rows


def measure_routing(
    table: RoutingTable, snapshot: Any, codec: ConnectionIdCodec
) -> dict[str, float]:
    """Measure the CPU time to route first and established packets.

    The first packet of a connection is a QUIC Initial; established ones have a
    short header.
    """
    service = next(iter(snapshot.services.values()))
    initial_packet = bytearray(
        b'\xc3\x00\x00\x00\x01\x08' + bytes(8) + b'\x00' + bytes(1200)
    )
    established_packet = (
        b'\x40'
        + codec.issue(service.upstreams[0].ident, b'1234567')
        + bytes(60)
    )
    packet_count = 20000
    started = time.process_time()
    for number in range(packet_count):
        initial_packet[6:14] = number.to_bytes(8, 'big')
        table.route(service, bytes(initial_packet))
    initial_ended = time.process_time()
    for _ in range(packet_count):
        assert isinstance(table.route(service, established_packet), ToUpstream)
    ended = time.process_time()
    return {
        'service_upstreams': len(service.upstreams),
        'first_us': (initial_ended - started) / packet_count * 1e6,
        'established_us': (ended - initial_ended) / packet_count * 1e6,
    }


def measure_compact_arrays() -> dict[str, float]:
    """Measure the memory of all upstreams in compact arrays."""

    def build() -> Any:
        idents = bytearray(6 * UPSTREAMS)
        hosts = array('I', bytes(4 * UPSTREAMS))
        ports = array('H', bytes(2 * UPSTREAMS))
        weights = array('H', bytes(2 * UPSTREAMS))
        services = array('H', bytes(2 * UPSTREAMS))
        states = bytearray(UPSTREAMS)
        return idents, hosts, ports, weights, services, states

    _, _, kept_bytes = measure_build(build)
    return {'upstreams': UPSTREAMS, 'bytes': kept_bytes}


def measure_vm_list() -> list[dict[str, float]]:
    """Measure size, parse time and memory of VM lists."""
    rows = []
    for vm_count in (10, 1000, 10000, VMS):
        body = vm_list_body(vm_count)
        _, parse_seconds, kept_bytes = measure_build(
            lambda: parse_vm_list(1, body).unwrap()
        )  # noqa: B023
        rows.append(
            {
                'vms': vm_count,
                'body_bytes': len(body),
                'zlib_bytes': len(zlib.compress(body, 9)),
                'parse_seconds': parse_seconds,
                'bytes': kept_bytes,
            }
        )
    return rows


async def measure_exchange() -> dict[str, float]:
    """Measure CPU time and bytes of one gossip exchange without changes."""
    async with AsyncExitStack() as stack:
        channels = await stack.enter_async_context(
            PeerChannels(SealedCodec(KEY))
        )
        server_side = make_gossip('one', channels)
        client_side = make_gossip('two', channels)
        server = Server(
            [PeerService(MonotonicClock(), server_side)], codec=SealedCodec(KEY)
        )  # type: ignore[arg-type]
        address = SocketAddress('127.30.0.1', 7001)
        await server.start(address.host, address.port)
        stack.callback(server.close)
        await client_side.exchange(address)
        bytes_before = loopback_bytes()
        started = time.process_time()
        exchange_count = 1000
        for _ in range(exchange_count):
            await client_side.exchange(address)
        cpu_seconds = time.process_time() - started
        wire_bytes = loopback_bytes() - bytes_before
        # Both peers run in this process, and loopback_bytes() counts only the
        # sent bytes, so each byte is counted once.
        return {
            'cpu_ms_both_ends': cpu_seconds / exchange_count * 1000,
            'wire_bytes': wire_bytes / exchange_count,
        }


def make_gossip(name: str, channels: PeerChannels) -> VersionGossip:
    """Return the gossip component of one peer."""
    stores = Stores(settings_store(), vms_store())
    return VersionGossip(
        name,
        stores,
        Freshness(MonotonicClock()),
        GrpcExchange(channels),
        random.Random(1),
    )  # type: ignore[arg-type]


def loopback_bytes() -> int:
    """Return the number of bytes the loopback interface has sent."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        if line.strip().startswith('lo:'):
            return int(line.split(':')[1].split()[8])
    return 0


def read_process_usage(pid: int) -> tuple[float, float]:
    """Return the resident megabytes and the CPU seconds of a process."""
    status = Path(f'/proc/{pid}/status').read_text()
    resident = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    stat_fields = (
        Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    )
    ticks = int(stat_fields[11]) + int(stat_fields[12])
    return int(resident.split()[1]) / 1024, ticks / os.sysconf('SC_CLK_TCK')


async def measure_processes(seconds: float = 20) -> dict[str, Any]:
    """Measure memory and CPU of the idle processes of a deployment."""
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(31), Path(folder))
            await deployment.start(stack, settle_seconds=5)
            names = [
                *(f'entry-{number}' for number in (1, 2, 3)),
                *(up.name for up in deployment.upstreams),
            ]
            before = {
                name: read_process_usage(deployment.processes[name].pid)
                for name in names
            }
            await asyncio.sleep(seconds)
            after = {
                name: read_process_usage(deployment.processes[name].pid)
                for name in names
            }
            usage = {
                name: {
                    'rss_mb': after[name][0],
                    'cpu_percent': (after[name][1] - before[name][1])
                    / seconds
                    * 100,
                }
                for name in names
            }
            return {'seconds': seconds, 'processes': usage}


async def measure_import_memory() -> dict[str, float]:
    """Measure the resident memory of the interpreter and of each import."""
    resident_mb = {}
    for name, code in (
        ('interpreter', 'pass'),
        ('asyncio', 'import asyncio'),
        ('version', 'import ragwortpost.version'),
        ('aioquic_h3', 'import aioquic.h3.connection'),
        ('grpclib', 'import grpclib.client, grpclib.server'),
        ('aiohttp', 'import aiohttp'),
        ('process', 'import ragwortpost.process'),
    ):
        script = f'{code}\nimport sys\nsys.stdout.write(open("/proc/self/status").read())'
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', script, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        rss_line = next(
            status_line
            for status_line in output.decode().splitlines()
            if status_line.startswith('VmRSS')
        )
        resident_mb[name] = int(rss_line.split()[1]) / 1024
    return resident_mb


def measure_gossip() -> list[dict[str, float]]:
    """Measure gossip by the share of local peers and the process count."""
    from bench.gossip_propagation import measure_propagation  # noqa: PLC0415

    rows = []
    for local_share in (0.0, 0.75, 0.95):
        for process_count in PROCESS_COUNTS:
            runs = [
                measure_propagation(process_count, local_share, seed)
                for seed in (1, 2, 3)
            ]
            rows.append(
                {
                    'near_share': local_share,
                    'processes': process_count,
                    'seconds_to_all_max': max(run['seconds'] for run in runs),
                    'seconds_to_all_median': sorted(
                        run['seconds'] for run in runs
                    )[1],
                    'far_bytes': sorted(run['far_bytes'] for run in runs)[1],
                    'near_bytes': sorted(run['near_bytes'] for run in runs)[1],
                    'quiet_bytes_per_process_s': sorted(
                        run['quiet'] for run in runs
                    )[1],
                }
            )
    return rows


MEASUREMENTS: dict[str, Callable[[], Any]] = {
    'bases': lambda: asyncio.run(measure_import_memory()),
    'tree': measure_settings_tree,
    'compact': measure_compact_arrays,
    'vms': measure_vm_list,
    'exchange': lambda: asyncio.run(measure_exchange()),
    'processes': lambda: asyncio.run(measure_processes()),
    'spread': measure_gossip,
}


def main() -> None:
    """Run the named measurements, or all, and update docs/capacity.json."""
    path = Path('docs/capacity.json')
    metrics: dict[str, Any] = (
        json.loads(path.read_text()) if path.exists() else {}
    )
    metrics['command'] = 'make capacity'
    metrics['machine'] = (
        f'{machine.machine()}, {os.cpu_count()} cores, Python {machine.python_version()}'
    )
    for name in sys.argv[1:] or MEASUREMENTS:
        metrics[name] = MEASUREMENTS[name]()
    path.write_text(json.dumps(metrics, indent=1))
    sys.stdout.write(json.dumps(metrics, indent=1) + '\n')


if __name__ == '__main__':
    main()
