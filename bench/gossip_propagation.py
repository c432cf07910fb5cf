"""Measures the QUIC data path's version gossip, in memory and virtual time."""

import asyncio
import random
from unittest import mock

from ragwortpost.process import Node, ProcessSettings, _version_gossip
from ragwortpost.version import Role, SocketAddress
from tests.harness.loop import ProcessClock, VirtualLoop
from tests.harness.network import Host, Network
from tests.harness.peers import MemoryExchange, PeerNetwork
from tests.harness.platform import FakePlatformPort, Platform

DATA_CENTRES = 17
CHANGE_COUNT = 5
IDLE_SECONDS = 20.0


class GossipProcess:
    """A process that only gossips and reads the platform."""

    def __init__(
        self,
        peers: PeerNetwork,
        platform: Platform,
        number: int,
        loop: VirtualLoop,
        seed: int,
    ) -> None:
        """Create the process and register it as a peer."""
        data_centre = f'site-{number % DATA_CENTRES}'
        self.host = Host(f'vm-{number}', data_centre)
        # Required by the harness; this process serves no requests.
        self.peer_service_ports = None
        address = SocketAddress(
            f'10.0.{number // 250}.{number % 250 + 1}', 7001
        )
        settings = ProcessSettings(
            Role.ENTRY, self.host.name, data_centre, address, b'k' * 32, ''
        )
        self.node = Node(
            ProcessClock(loop),
            settings,
            FakePlatformPort(platform, self.host),
            MemoryExchange(peers, self.host),
            random.Random(seed * 100000 + number),
        )
        self.gossip = self.node.gossip
        peers.peers[address] = self  # type: ignore[assignment]


def measure_propagation(
    process_count: int, local_share: float, seed: int
) -> dict[str, float]:
    """Measure the propagation of changes to ``process_count`` processes.

    ``local_share`` is the share of exchanges that go to peers of the same data
    centre. Returns the seconds until the slowest change is applied everywhere,
    the bytes per change within and between data centres, and the bytes per
    process and second without changes. The bytes per change include idle gossip
    until two seconds after the change is applied everywhere.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    network = Network(loop, random.Random(seed), delay=0.02)
    peers = PeerNetwork(network)
    platform = Platform()
    with mock.patch.object(_version_gossip, 'LOCAL_PEER_SHARE', local_share):
        metrics = loop.run_until_complete(
            _propagate(peers, platform, process_count, loop, seed)
        )
    loop.close()
    return metrics


async def _propagate(
    peers: PeerNetwork,
    platform: Platform,
    process_count: int,
    loop: VirtualLoop,
    seed: int,
) -> dict[str, float]:
    import json  # noqa: PLC0415
    from contextlib import AsyncExitStack  # noqa: PLC0415

    processes = [
        GossipProcess(peers, platform, number, loop, seed)
        for number in range(process_count)
    ]
    rows = [
        {
            'name': process.host.name,
            'role': 'entry',
            'data_centre': process.host.data_centre,
            'address': str(process.node.settings.address),
            'state': 'live',
        }
        for process in processes
    ]
    platform.publish('vms', json.dumps(rows).encode())
    platform.publish('settings', b'# 1\n')
    async with AsyncExitStack() as stack:
        await asyncio.gather(
            *(process.node.start(stack) for process in processes)
        )
        await asyncio.sleep(5)
        traffic = peers.traffic
        bytes_before = traffic.near_bytes + traffic.far_bytes
        await asyncio.sleep(IDLE_SECONDS)
        idle_bytes_per_process_s = (
            (traffic.near_bytes + traffic.far_bytes - bytes_before)
            / IDLE_SECONDS
            / process_count
        )
        near_before, far_before = traffic.near_bytes, traffic.far_bytes
        slowest_seconds = 0.0
        for number in range(CHANGE_COUNT):
            version = platform.publish(
                'settings', f'# {number}'.encode() + b'.' * 2000
            )
            published_at = loop.time()
            while any(
                process.node.stores.settings.current.version < version
                for process in processes
            ):
                await asyncio.sleep(0.02)
            slowest_seconds = max(slowest_seconds, loop.time() - published_at)
            await asyncio.sleep(2)
        metrics = {
            'seconds': slowest_seconds,
            'far_bytes': (traffic.far_bytes - far_before) / CHANGE_COUNT,
            'near_bytes': (traffic.near_bytes - near_before) / CHANGE_COUNT,
            'quiet': idle_bytes_per_process_s,
        }
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return metrics
