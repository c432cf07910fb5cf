"""Runs a process of the packet-level data path until it gets a stop signal."""

import asyncio
import gc
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass
from typing import Final, Protocol

from ragwortpost._clock import Clock, SystemClock
from ragwortpost._datagrams import HostPort, SendDatagram, UdpSockets
from ragwortpost.datapath.connection import PacketFormat
from ragwortpost.datapath.process._codec import decode
from ragwortpost.datapath.process._deferred_log import DeferredLog
from ragwortpost.datapath.process._http_server import HttpReply, serve_http
from ragwortpost.datapath.process._messages import Digest
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process._node_settings import NodeSettings
from ragwortpost.datapath.process._paced_sender import (
    PacedSender,
    PacedSenderPorts,
)
from ragwortpost.datapath.process._role import make_role
from ragwortpost.datapath.process._settings_reloader import (
    SettingsReloader,
    SettingsSource,
)
from ragwortpost.datapath.process._store_port import StorePort
from ragwortpost.datapath.process._store_reader import StoreReader
from ragwortpost.datapath.process._unhandled_errors import (
    LoopErrorHandler,
    error_handler,
    origin_of,
)
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.version import Changes

# Interval of ticks while flows wait for agents, and while none does.
TICK_SECONDS: Final = 0.02
IDLE_TICK_SECONDS: Final = 0.1
# Share of the time between the stop signal and the kill that a process spends
# on draining; the rest is left for its last log lines.
DRAIN_SHARE: Final = 0.8
# Maximum age in the metrics; that of a view never confirmed is infinite.
_MAX_SHOWN_AGE_SECONDS: Final = 3600.0
_MS: Final = 1000
# Time after the start at which the modules that write log lines are imported.
# Callers return within the first seconds after a mass restart.
LOG_DELAY_SECONDS: Final = 4.0


# Some hosts report the age of the machine as the processor time of a process;
# no start takes longer than this.
MAX_START_SECONDS: Final = 60.0


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
        self._store_reader = StoreReader(context, ports.store, self._gossip)
        self._reloader = SettingsReloader(context, ports.settings)
        self._role = make_role(
            context, ports.packets, self._gossip.local_status
        )
        self._deferred_log = DeferredLog(sys.stdout, context.metrics.events)
        self._peer_sender: PacedSender | None = None
        # Monotonic seconds at which the sockets were open, and the time from
        # then until the first view.
        self._started_at: float = 0
        self._first_view_seconds: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the process may receive callers' packets."""
        if self._gossip.local_status.leaving:
            return False
        return self._state.fleet.configuration is not None

    @property
    def error_handler(self) -> LoopErrorHandler:
        """Handler of the event loop that logs unhandled exceptions."""
        return error_handler(self._log)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the sockets and start the tasks; ``stack`` closes both.

        Raises :class:`OSError` if an address can't be bound.
        """
        settings = self._settings
        sockets = stack.enter_context(ExitStack())
        udp = UdpSockets()
        to_peer = self._open_peer_socket(sockets, udp)
        self._role.open(sockets, udp, to_peer)
        await self._gossip.open(stack, to_peer)
        answer = self._ports.answer_readiness
        await serve_http(
            stack,
            settings.readiness,
            lambda target: answer(target, ready=self.is_ready),
        )
        await serve_http(
            stack, (settings.host, settings.admin_port), self._answer_operator
        )
        for job in (
            self._gossip.run,
            self._store_reader.run,
            self._reloader.run,
            self._run_ticks,
        ):
            task = asyncio.create_task(self._run_forever(job))
            stack.callback(task.cancel)
        self._started_at = self._clock.monotonic()
        self._log.write(
            'started',
            name=settings.name,
            role=self._role.name.value,
            **_start_cost(),
        )
        self._state.subscribe(self._record_first_view)

    def open_log(self, stack: ExitStack) -> None:
        """Write log lines to standard output until ``stack`` closes.

        The first lines are kept until the process has served for a while.
        """
        self._deferred_log.open(stack)
        timer = asyncio.get_running_loop().call_later(
            LOG_DELAY_SECONDS, self._deferred_log.start_writing
        )
        stack.callback(timer.cancel)

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
                await self._role.drain()
        except TimeoutError:
            self._log.write('drain_cut', seconds=self._settings.stop_seconds)

    def _record_first_view(self) -> None:
        """Log how long the process waited until it could serve."""
        if self._first_view_seconds is None and self.is_ready:
            waited = self._clock.monotonic() - self._started_at
            self._first_view_seconds = waited
            self._log.write('first_view', ms=int(waited * _MS))

    def _answer_operator(self, target: str) -> HttpReply:
        """Answer a request to the admin endpoints.

        They are imported for the first one, as no start needs them.
        """
        from ragwortpost.datapath.process._admin import (  # noqa: WPS433
            Admin,
            AdminSources,
        )

        sources = AdminSources(self._gauges, self._role.explain_flow)
        return Admin(self._context, sources).answer(target)

    def _gauges(self) -> Mapping[str, float]:
        gauges = {
            'view_era': float(self._state.era),
            'view_revision': float(self._state.revision),
            'view_age_seconds': round(
                min(self._state.age, _MAX_SHOWN_AGE_SECONDS), 3
            ),
            'view_behind_seconds': round(self._state.lag.seconds, 3),
            'known_revision': float(self._state.lag.latest.revision),
            'reading': float(self._gossip.local_status.reading),
            'store_silence_seconds': round(self._store_reader.silence, 3),
            'unusable_items': float(self._store_reader.unusable_items),
            'peers': float(len(self._context.directory.peers)),
            'processor_seconds': round(time.process_time(), 3),
        }
        if self._first_view_seconds is not None:
            gauges['first_view_seconds'] = round(self._first_view_seconds, 3)
        if self._peer_sender is not None:
            gauges['gossip_waiting'] = float(self._peer_sender.waiting)
        return {**gauges, **self._role.gauges()}

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

    def _dispatch_datagram(self, datagram: bytes, sender: HostPort) -> None:
        host = sender[0]
        message = decode(datagram)
        match message:
            case Digest() | Changes() as gossip_message:
                self._gossip.receive(gossip_message, host)
            case _:
                if not self._role.receive(message, host):
                    self._context.unreadable.record(datagram, host)

    async def _run_ticks(self) -> None:
        while True:
            has_pending = self._role.has_pending
            interval = TICK_SECONDS if has_pending else IDLE_TICK_SECONDS
            started = self._clock.monotonic()
            await asyncio.sleep(interval)
            lag = self._clock.monotonic() - started - interval
            self._context.metrics.loop_lag_seconds.observe(max(0, lag))
            self._context.metrics.messages.time_tick(self._tick)

    def _tick(self) -> None:
        self._state.expire()
        self._role.tick()

    async def _run_forever(self, job: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await job()
            except Exception as error:
                self._log.write(
                    'task_failed',
                    task=job.__qualname__,
                    why=repr(error),
                    at=origin_of(error),
                )
            await asyncio.sleep(1)


def _start_cost() -> Mapping[str, int]:
    """Return the processor time of the start as a field of its log line.

    It is mostly that of the interpreter and the imports. Nothing is returned
    where processor time is not measured.
    """
    seconds = time.process_time()
    if seconds > MAX_START_SECONDS:
        return {}
    return {'processor_ms': int(seconds * _MS)}


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
        loop.set_exception_handler(node.error_handler)
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        await node.open(stack)
        # What a start creates stays until the process ends.
        gc.freeze()
        gc.enable()
        await stop.wait()
        await node.drain()
        node.log_stopped()
