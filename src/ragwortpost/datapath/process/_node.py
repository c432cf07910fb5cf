"""Runs a process of the packet-level data path until it gets a stop signal."""

import asyncio
import random
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass
from typing import Final, Protocol

from ragwortpost._clock import Clock, SystemClock
from ragwortpost._datagrams import HostPort, SendDatagram, UdpSockets
from ragwortpost.datapath.connection import FlowKey, PacketFormat
from ragwortpost.datapath.process._admin import Admin, AdminSources
from ragwortpost.datapath.process._agent import Agent
from ragwortpost.datapath.process._codec import decode
from ragwortpost.datapath.process._entry import Entry
from ragwortpost.datapath.process._http_server import HttpReply, serve_http
from ragwortpost.datapath.process._log_output import open_log
from ragwortpost.datapath.process._messages import (
    Digest,
    FlowQuery,
    FlowQueryReply,
    Forward,
    ForwardReply,
    Inventory,
    InventoryQuery,
    Message,
    Registration,
    RoomDemand,
    RoomGrant,
)
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process._node_settings import (
    NodeRole,
    NodeSettings,
)
from ragwortpost.datapath.process._paced_sender import (
    PacedSender,
    PacedSenderPorts,
)
from ragwortpost.datapath.process._settings_reloader import (
    SettingsReloader,
    SettingsSource,
)
from ragwortpost.datapath.process._store_port import StorePort
from ragwortpost.datapath.process._store_reader import StoreReader
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.version import Changes

# Interval of ticks while flows wait for agents, and while none does.
TICK_SECONDS: Final = 0.02
IDLE_TICK_SECONDS: Final = 0.1
# Minimum and maximum time for which a stopping entry still forwards after its
# readiness probe has begun to fail. Routers stop sending to it after two failed
# probes, half a second apart, or later while too few other entries are ready.
ENTRY_DRAIN_SECONDS: Final = 0.6
MAX_ENTRY_DRAIN_SECONDS: Final = 2.0
# Time without callers' packets that shows that the routers send elsewhere.
ENTRY_QUIET_SECONDS: Final = 0.15
# Interval of the checks whether a stopping process is drained. An agent waits
# for its load to reach zero for at most AGENT_DRAIN_POLLS intervals, a second
# in total.
DRAIN_POLL_SECONDS: Final = 0.05
# Share of the time between the stop signal and the kill that a process spends
# on draining; the rest is left for its last log lines.
DRAIN_SHARE: Final = 0.8
# Maximum age in the metrics; that of a view never confirmed is infinite.
_MAX_SHOWN_AGE_SECONDS: Final = 3600.0
AGENT_DRAIN_POLLS: Final = 20


class ReadinessCallback(Protocol):
    """Callback for the platform's readiness probes."""

    def __call__(self, target: str, *, ready: bool) -> HttpReply:
        """Return the reply to a probe of a path."""


@dataclass(frozen=True)
class PlatformPorts:
    """Interfaces implemented by the platform's adapter."""

    # Parses and builds packets.
    packets: PacketFormat
    # Access to the store.
    store: StorePort
    # Answers the platform's readiness probes.
    answer_readiness: ReadinessCallback
    # Source of the settings, for changes at run time.
    settings: SettingsSource


class Node:
    """One process: its view, peers and role."""

    def __init__(
        self,
        clock: Clock,
        settings: NodeSettings,
        ports: PlatformPorts,
        rng: random.Random,
    ) -> None:
        """Initialize the components; :meth:`open` starts them."""
        self._clock = clock
        self._settings = settings
        self._ports = ports
        context = make_context(clock, settings, rng)
        self._context = context
        self._log = context.log
        self._state = context.state
        self._gossip = ViewGossip(context)
        side = settings.upstream_side
        self._role = NodeRole.AGENT if side else NodeRole.ENTRY
        self._store_reader = StoreReader(context, ports.store, self._gossip)
        self._reloader = SettingsReloader(context, ports.settings)
        self._agent: Agent | None = None
        self._entry: Entry | None = None
        self._peer_sender: PacedSender | None = None
        if side is None:
            self._entry = Entry(context, ports.packets)
        else:
            self._agent = Agent(context, side, ports.packets)

    @property
    def is_ready(self) -> bool:
        """Whether the process may receive callers' packets."""
        if self._gossip.local_status.leaving:
            return False
        return self._state.fleet.configuration is not None

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the sockets and start the tasks; ``stack`` closes both.

        Raises :class:`OSError` if an address can't be bound.
        """
        settings = self._settings
        sockets = stack.enter_context(ExitStack())
        udp = UdpSockets()
        to_peer = self._open_peer_socket(sockets, udp)
        self._open_role(sockets, udp, to_peer)
        await self._gossip.open(stack, to_peer)
        answer = self._ports.answer_readiness
        await serve_http(
            stack,
            settings.readiness,
            lambda target: answer(target, ready=self.is_ready),
        )
        await serve_http(
            stack,
            (settings.host, settings.admin_port),
            Admin(
                self._context,
                AdminSources(self._gauges, self._explain_flow),
            ).answer,
        )
        for job in (
            self._gossip.run,
            self._store_reader.run,
            self._store_reader.run_probe,
            self._reloader.run,
            self._run_ticks,
        ):
            task = asyncio.create_task(self._run_forever(job))
            stack.callback(task.cancel)
        self._log.write('started', name=settings.name, role=self._role.value)

    def open_log(self, stack: ExitStack) -> None:
        """Write log lines to standard output until ``stack`` closes."""
        open_log(stack, sys.stdout, self._context.metrics.events)

    def reload(self) -> None:
        """Request a reload of the settings."""
        self._reloader.request_reload()

    def log_stopped(self) -> None:
        """Log the end of the process."""
        self._log.write(
            'stopped', era=self._state.era, revision=self._state.revision
        )

    async def drain(self) -> None:
        """Announce the shutdown and finish work in progress.

        An agent admits no new flows from now on; an entry still forwards
        packets of all flows. The wait is limited.
        """
        self._gossip.local_status.leaving = True
        self._gossip.broadcast_digest()
        self._log.write(
            'stopping', era=self._state.era, revision=self._state.revision
        )
        try:
            async with asyncio.timeout(
                self._settings.stop_seconds * DRAIN_SHARE
            ):
                await self._drain_role()
        except TimeoutError:
            self._log.write('drain_cut', seconds=self._settings.stop_seconds)

    async def _drain_role(self) -> None:
        if self._entry is not None:
            await self._drain_entry(self._entry)
        if self._agent is not None:
            await self._drain_agent(self._agent)

    async def _drain_entry(self, entry: Entry) -> None:
        await asyncio.sleep(ENTRY_DRAIN_SECONDS)
        remaining = MAX_ENTRY_DRAIN_SECONDS - ENTRY_DRAIN_SECONDS
        while (
            remaining > 0 and entry.seconds_since_packet < ENTRY_QUIET_SECONDS
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            remaining -= DRAIN_POLL_SECONDS

    async def _drain_agent(self, agent: Agent) -> None:
        for _ in range(AGENT_DRAIN_POLLS):
            if not agent.load:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        if self._entry is not None:
            return self._entry.explain_flow(flow)
        return self._agent.explain_flow(flow) if self._agent else {}

    def _gauges(self) -> Mapping[str, float]:
        gauges = {
            'view_era': float(self._state.era),
            'view_revision': float(self._state.revision),
            'view_age_seconds': round(
                min(self._state.age, _MAX_SHOWN_AGE_SECONDS), 3
            ),
            'reading': float(self._gossip.local_status.reading),
            'peers': float(len(self._context.directory.peers)),
        }
        if self._peer_sender is not None:
            gauges['gossip_waiting'] = float(self._peer_sender.waiting)
        for role in (self._entry, self._agent):
            if role is not None:
                gauges.update(role.gauges())
        return gauges

    def _open_peer_socket(
        self, sockets: ExitStack, udp: UdpSockets
    ) -> SendDatagram:
        address = (self._settings.host, self._settings.peer_port)
        meter = self._context.metrics.messages
        receive = meter.receiver(self._dispatch_datagram)
        self._peer_sender = PacedSender(
            self._context,
            PacedSenderPorts(
                meter.sender(udp.open(sockets, address, receive)),
                self._gossip.refresh_digest,
                asyncio.get_running_loop().call_later,
            ),
        )
        return self._peer_sender.send

    def _open_role(
        self,
        sockets: ExitStack,
        udp: UdpSockets,
        to_peer: SendDatagram,
    ) -> None:
        settings = self._settings
        side = settings.upstream_side
        meter = self._context.metrics.messages
        if self._entry is not None:
            address = (settings.host, settings.packet_port)
            receive = meter.packet_receiver(self._entry.receive_packet)
            to_caller = udp.open(sockets, address, receive)
            self._entry.open(meter.packet_sender(to_caller), to_peer)
        if self._agent is not None and side is not None:
            outbound = udp.open(
                sockets,
                side.outbound,
                meter.packet_receiver(self._agent.receive_outbound),
            )
            local_status = self._gossip.local_status
            agent = self._agent
            local_status.load = lambda: agent.load
            local_status.pace_ms = lambda: agent.pace_ms
            outbound = meter.packet_sender(outbound)
            agent.open(outbound, to_peer, lambda: local_status.leaving)

    def _dispatch_datagram(self, datagram: bytes, sender: HostPort) -> None:
        host = sender[0]
        message = decode(datagram)
        match message:
            case Digest() | Changes() as gossip_message:
                self._gossip.receive(gossip_message, host)
                return
            case _ if self._entry is not None:
                handled = _receive_at_entry(self._entry, message, host)
            case _ if self._agent is not None:
                handled = _receive_at_agent(self._agent, message, host)
            case _:
                handled = False
        if not handled:
            self._log.write('datagram_unreadable', peer=host)

    def _has_pending(self) -> bool:
        """Return whether flows or entries wait, which needs short ticks."""
        if self._entry is not None:
            return self._entry.has_pending
        return self._agent is not None and self._agent.room.has_demands

    async def _run_ticks(self) -> None:
        while True:
            has_pending = self._has_pending()
            interval = TICK_SECONDS if has_pending else IDLE_TICK_SECONDS
            started = self._clock.monotonic()
            await asyncio.sleep(interval)
            lag = self._clock.monotonic() - started - interval
            self._context.metrics.loop_lag_seconds.observe(max(0, lag))
            self._context.metrics.messages.time_tick(self._tick)

    def _tick(self) -> None:
        self._state.expire()
        if self._entry is not None:
            self._entry.tick()
        if self._agent is not None:
            self._agent.tick()

    async def _run_forever(self, job: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await job()
            except Exception as error:
                self._log.write('task_failed', why=repr(error))
            await asyncio.sleep(1)


def _receive_at_entry(entry: Entry, message: Message | None, host: str) -> bool:
    """Let an entry handle a message; return false if it is not for one."""
    match message:
        case FlowQueryReply() | Inventory():
            entry.receive_query_reply(message, host)
        case ForwardReply():
            entry.receive_forward_reply(message, host)
        case RoomGrant():
            entry.receive_grant(message, host)
        case _:
            return False
    return True


def _receive_at_agent(agent: Agent, message: Message | None, host: str) -> bool:
    """Let an agent handle a message; return false if it is not for one."""
    match message:
        case Forward():
            agent.receive_forward(message, host)
        case Registration():
            agent.receive_registration(message, host)
        case FlowQuery() | InventoryQuery():
            agent.receive_query(message, host)
        case RoomDemand():
            agent.room.receive_demand(message, host)
        case _:
            return False
    return True


async def run_node(settings: NodeSettings, ports: PlatformPorts) -> None:
    """Run an entry or an agent until SIGTERM or SIGINT.

    Log lines are written to standard output.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with AsyncExitStack() as stack:
        node = Node(SystemClock(), settings, ports, random.Random())
        node.open_log(stack.enter_context(ExitStack()))
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        await node.open(stack)
        await stop.wait()
        await node.drain()
        node.log_stopped()
