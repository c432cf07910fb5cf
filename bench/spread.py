"""Gossip alone over many processes in memory, under virtual time."""

import asyncio
import random
from unittest import mock

from ragwortpost.process import Node, ProcessSettings, _version_gossip
from ragwortpost.version import Role, SocketAddress
from tests.harness.loop import ProcessClock, VirtualLoop
from tests.harness.network import Host, Network
from tests.harness.peers import MemoryExchange, PeerNetwork
from tests.harness.platform import Platform, PlatformView

SITES = 17
CHANGES = 5
QUIET_SECONDS = 20.0


class Member:
    """One process that only gossips and reads."""

    def __init__(
        self,
        peers: PeerNetwork,
        platform: Platform,
        number: int,
        loop: VirtualLoop,
        seed: int,
    ) -> None:
        """Prepare a process."""
        site = f'site-{number % SITES}'
        self.host = Host(f'vm-{number}', site)
        self.serving = None
        address = SocketAddress(
            f'10.0.{number // 250}.{number % 250 + 1}', 7001
        )
        settings = ProcessSettings(
            Role.ENTRY, self.host.name, site, address, b'k' * 32, ''
        )
        self.node = Node(
            ProcessClock(loop),
            settings,
            PlatformView(platform, self.host),
            MemoryExchange(peers, self.host),
            random.Random(seed * 100000 + number),
        )
        self.gossip = self.node.gossip
        peers.peers[address] = self  # type: ignore[assignment]


def spread(count: int, near: float, seed: int) -> dict[str, float]:
    """Publish changes to ``count`` processes and return what they cost."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    network = Network(loop, random.Random(seed), delay=0.02)
    peers = PeerNetwork(network)
    platform = Platform()
    with mock.patch.object(_version_gossip, 'LOCAL_PEER_SHARE', near):
        found = loop.run_until_complete(
            _run(peers, platform, count, loop, seed)
        )
    loop.close()
    return found


async def _run(
    peers: PeerNetwork,
    platform: Platform,
    count: int,
    loop: VirtualLoop,
    seed: int,
) -> dict[str, float]:
    import json  # noqa: PLC0415
    from contextlib import AsyncExitStack  # noqa: PLC0415

    members = [
        Member(peers, platform, number, loop, seed) for number in range(count)
    ]
    rows = [
        {
            'name': member.host.name,
            'role': 'entry',
            'data_centre': member.host.site,
            'address': str(member.node.settings.address),
            'state': 'live',
        }
        for member in members
    ]
    platform.publish('vms', json.dumps(rows).encode())
    platform.publish('settings', b'# 1\n')
    async with AsyncExitStack() as stack:
        await asyncio.gather(*(member.node.start(stack) for member in members))
        await asyncio.sleep(5)
        traffic = peers.traffic
        start = traffic.near_bytes + traffic.far_bytes
        await asyncio.sleep(QUIET_SECONDS)
        quiet = (
            (traffic.near_bytes + traffic.far_bytes - start)
            / QUIET_SECONDS
            / count
        )
        near_start, far_start = traffic.near_bytes, traffic.far_bytes
        slowest = 0.0
        for number in range(CHANGES):
            version = platform.publish(
                'settings', f'# {number}'.encode() + b'.' * 2000
            )
            began = loop.time()
            while any(
                member.node.stores.settings.current.version < version
                for member in members
            ):
                await asyncio.sleep(0.02)
            slowest = max(slowest, loop.time() - began)
            await asyncio.sleep(2)
        result = {
            'seconds': slowest,
            'far_bytes': (traffic.far_bytes - far_start) / CHANGES,
            'near_bytes': (traffic.near_bytes - near_start) / CHANGES,
            'quiet': quiet,
        }
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return result
