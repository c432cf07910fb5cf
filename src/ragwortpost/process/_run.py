"""Runs an entry or agent process until it is signalled to stop."""

import asyncio
import os
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, ExitStack
from typing import Final

import aiohttp
from absl import logging

from ragwortpost._clock import SystemClock
from ragwortpost._datagrams import UdpSockets
from ragwortpost.process._agent import Agent, AgentPorts, tls_configuration
from ragwortpost.process._entry import Entry
from ragwortpost.process._node import AdminService, Node
from ragwortpost.process._peer_channels import PeerChannels, open_channels
from ragwortpost.process._peer_rpc import PeerClient, PeerService
from ragwortpost.process._platform_client import PlatformClient
from ragwortpost.process._process_settings import ProcessSettings
from ragwortpost.process._upstream_client import UpstreamClient
from ragwortpost.process._upstream_lifecycle import UpstreamLifecycle
from ragwortpost.process._version_gossip import GrpcExchange
from ragwortpost.version import SocketAddress

# How long a leaving entry keeps forwarding, until the network that distributes
# callers' packets has been updated to use the other entries.
ENTRY_LINGER_SECONDS: Final = 1.0

Drain = Callable[[], Awaitable[None]]


async def run_process(settings: ProcessSettings) -> None:
    """Run an entry or an agent until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with AsyncExitStack() as stack:
        drain = await _start(settings, stack)
        logging.info(
            'event=started role=%s name=%s address=%s',
            settings.role.value,
            settings.name,
            settings.address,
        )
        await stop.wait()
        logging.info('event=stopping')
        await drain()
    logging.info('event=stopped')


async def _start(settings: ProcessSettings, stack: AsyncExitStack) -> Drain:
    channels = await open_channels(stack, settings.key)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    node = Node(
        SystemClock(),
        settings,
        PlatformClient(session, settings.platform),
        GrpcExchange(channels),
        random.SystemRandom(),
    )
    if settings.target is None:
        return await _start_entry(node, stack)
    return await _start_agent(node, settings.target, channels, stack)


async def _start_entry(node: Node, stack: AsyncExitStack) -> Drain:
    entry = Entry(node, UdpSockets())
    peers = PeerService(node.clock, node.gossip)
    admin = AdminService(node.audit, _merged_status(node.status, entry.status))
    await node.serve(stack, [peers, admin])
    await node.start(stack)
    entry.open(stack.enter_context(ExitStack()))

    async def drain() -> None:  # noqa: WPS430
        await asyncio.sleep(ENTRY_LINGER_SECONDS)

    return drain


async def _start_agent(
    node: Node,
    target: SocketAddress,
    channels: PeerChannels,
    stack: AsyncExitStack,
) -> Drain:
    upstreams: list[UpstreamClient] = []

    def connect(lifecycle: UpstreamLifecycle) -> UpstreamClient:  # noqa: WPS430
        upstreams.append(UpstreamClient(node.clock, target, lifecycle))
        return upstreams[0]

    ports = AgentPorts(
        UdpSockets(),
        lambda selector: PeerClient(node.clock, channels, selector),
        connect,
        os.urandom,
    )
    settings = node.settings
    tls = tls_configuration(settings.certificate, settings.private_key)
    agent = Agent(node, ports, tls)
    peers = PeerService(node.clock, node.gossip, agent.peer_service_ports)
    admin = AdminService(node.audit, _merged_status(node.status, agent.status))
    await node.serve(stack, [peers, admin])
    await node.start(stack)
    await upstreams[0].open(stack)
    agent.open(stack.enter_context(ExitStack()))
    return agent.drain


def _merged_status(
    *parts: Callable[[], Mapping[str, object]],
) -> Callable[[], Mapping[str, object]]:
    def status() -> Mapping[str, object]:  # noqa: WPS430
        merged: dict[str, object] = {}
        for part in parts:
            merged.update(part())
        return merged

    return status
