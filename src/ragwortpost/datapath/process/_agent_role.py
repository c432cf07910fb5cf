"""Runs an agent in a process: its sockets, messages and shutdown."""

import asyncio
from collections.abc import Mapping
from contextlib import ExitStack
from typing import Final

from ragwortpost._datagrams import SendDatagram, UdpSockets
from ragwortpost.datapath.connection import FlowKey, PacketFormat
from ragwortpost.datapath.process._agent import Agent
from ragwortpost.datapath.process._messages import (
    FlowQuery,
    Forward,
    InventoryQuery,
    Message,
    Registration,
    RoomDemand,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeRole, UpstreamSide
from ragwortpost.datapath.process._view_gossip import LocalStatus

# A stopping agent waits for its load to reach zero for at most this number of
# intervals, a second in total.
DRAIN_POLLS: Final = 20
DRAIN_POLL_SECONDS: Final = 0.05


class AgentRole:
    """An agent as the role of a process."""

    name: Final = NodeRole.AGENT

    def __init__(
        self,
        context: NodeContext,
        side: UpstreamSide,
        packets: PacketFormat,
        status: LocalStatus,
    ) -> None:
        """Initialize with the upstream and the status that peers get."""
        self._meter = context.metrics.messages
        self._outbound = side.outbound
        self._status = status
        self._agent = Agent(context, side, packets)

    @property
    def has_pending(self) -> bool:
        """Whether entries wait for room."""
        return self._agent.room.has_demands

    def open(
        self, stack: ExitStack, udp: UdpSockets, to_peer: SendDatagram
    ) -> None:
        """Open the socket to which the upstream sends its packets."""
        agent, status = self._agent, self._status
        receive = self._meter.packet_receiver(agent.receive_outbound)
        outbound = udp.open(stack, self._outbound, receive)
        status.load = lambda: agent.load
        status.pace_ms = lambda: agent.pace_ms
        agent.open(
            self._meter.packet_sender(outbound),
            to_peer,
            lambda: status.leaving,
        )

    def receive(self, message: Message | None, host: str) -> bool:
        """Handle an entry's or another agent's message."""
        match message:
            case Forward():
                self._agent.receive_forward(message, host)
            case Registration():
                self._agent.receive_registration(message, host)
            case FlowQuery() | InventoryQuery():
                self._agent.receive_query(message, host)
            case RoomDemand():
                self._agent.room.receive_demand(message, host)
            case _:
                return False
        return True

    def tick(self) -> None:
        """Register flows that are due and remove expired state."""
        self._agent.tick()

    def gauges(self) -> Mapping[str, float]:
        """Return the agent's current gauge readings."""
        return self._agent.gauges()

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return the state of a flow, as fields of the /flow endpoint."""
        return self._agent.explain_flow(flow)

    async def drain(self) -> None:
        """Wait until no request is in progress."""
        for _ in range(DRAIN_POLLS):
            if not self._agent.load:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)
