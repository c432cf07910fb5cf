"""Runs an entry in a process: its socket, messages and shutdown."""

import asyncio
from collections.abc import Mapping
from contextlib import ExitStack
from typing import Final

from ragwortpost._datagrams import PausedSocket, SendDatagram, UdpSockets
from ragwortpost.datapath.connection import FlowKey, PacketFormat
from ragwortpost.datapath.process._entry import Entry
from ragwortpost.datapath.process._messages import (
    FlowQueryReply,
    ForwardReply,
    Inventory,
    Message,
    RoomGrant,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeRole

# Minimum and maximum time for which a stopping entry still forwards after its
# readiness probe has begun to fail. Routers stop sending to it after two failed
# probes, half a second apart, or later while too few other entries are ready.
DRAIN_SECONDS: Final = 0.6
MAX_DRAIN_SECONDS: Final = 2.0
# Time without callers' packets that shows that the routers send elsewhere.
QUIET_SECONDS: Final = 0.15
# Interval of the checks whether a stopping entry is drained.
DRAIN_POLL_SECONDS: Final = 0.05
# Maximum time for which callers' packets wait for the first view; below the
# time after which most callers abandon a request.
MAX_PACKET_WAIT_SECONDS: Final = 0.3


class EntryRole:
    """An entry as the role of a process."""

    name: Final = NodeRole.ENTRY

    def __init__(self, context: NodeContext, packets: PacketFormat) -> None:
        """Initialize with the process's context and the packet format."""
        self._settings = context.settings
        self._state = context.state
        self._meter = context.metrics.messages
        self._entry = Entry(context, packets)

    @property
    def has_pending(self) -> bool:
        """Whether flows wait."""
        return self._entry.has_pending

    def open(
        self, stack: ExitStack, udp: UdpSockets, to_peer: SendDatagram
    ) -> None:
        """Open the socket for callers' packets."""
        address = (self._settings.host, self._settings.packet_port)
        receive = self._meter.packet_receiver(self._entry.receive_packet)
        callers = udp.open_paused(stack, address, receive)
        self._entry.open(self._meter.packet_sender(callers.send), to_peer)
        self._resume_with_view(stack, callers)

    def receive(self, message: Message | None, host: str) -> bool:
        """Handle an agent's message."""
        match message:
            case FlowQueryReply() | Inventory():
                self._entry.receive_query_reply(message, host)
            case ForwardReply():
                self._entry.receive_forward_reply(message, host)
            case RoomGrant():
                self._entry.receive_grant(message, host)
            case _:
                return False
        return True

    def tick(self) -> None:
        """Handle timeouts and assign waiting flows."""
        self._entry.tick()

    def gauges(self) -> Mapping[str, float]:
        """Return the entry's current gauge readings."""
        return self._entry.gauges()

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return the state of a flow, as fields of the /flow endpoint."""
        return self._entry.explain_flow(flow)

    async def drain(self) -> None:
        """Forward until the routers send callers' packets elsewhere."""
        await asyncio.sleep(DRAIN_SECONDS)
        remaining = MAX_DRAIN_SECONDS - DRAIN_SECONDS
        while remaining > 0 and (
            self._entry.seconds_since_packet < QUIET_SECONDS
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            remaining -= DRAIN_POLL_SECONDS

    def _resume_with_view(
        self, stack: ExitStack, callers: PausedSocket
    ) -> None:
        """Read callers' packets from the first view on.

        Without a view they could not be forwarded. They wait for a limited
        time, after which their callers have sent them again.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(MAX_PACKET_WAIT_SECONDS, callers.resume)
        stack.callback(timer.cancel)

        def resume_once_viewed() -> None:  # noqa: WPS430
            if not timer.cancelled() and self._state.fleet.configuration:
                timer.cancel()
                callers.resume()

        self._state.subscribe(resume_once_viewed)
