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

# Timeout of the check whether an upstream runs; it is on the agent's own VM.
PROBE_TIMEOUT_SECONDS: Final = 0.2
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
        self._clock = context.clock
        self._log = context.log
        self._state = context.state
        self._host = context.settings.host
        self._side = side
        self._status = status
        self._agent = Agent(context, side, packets)
        self._probe: asyncio.Task[None] | None = None

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
        outbound = udp.open(stack, self._side.outbound, receive)
        status.load = lambda: agent.load
        status.pace_ms = lambda: agent.pace_ms
        status.served_routes = lambda: agent.served_routes.routes
        agent.open(
            self._meter.packet_sender(outbound),
            to_peer,
            lambda: status.leaving,
        )
        self._state.subscribe(self._start_probe)
        stack.callback(self._cancel_probe)

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
        flows = self._agent.held_flows
        for _ in range(DRAIN_POLLS):
            if not flows.requests(self._clock.monotonic()):
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _start_probe(self) -> None:
        """Check once, after the first view, whether an upstream runs.

        The view may list an upstream that was lost together with the previous
        agent, or none. Without the check, lookups would wait for the agent
        until it has found out by packets that are not answered.
        """
        fleet = self._state.fleet
        upstream = fleet.upstreams_by_host.get(self._host)
        # One that is leaving may not listen any more while it ends its flows.
        is_leaving = upstream is not None and upstream.leaving
        if self._probe is not None or is_leaving:
            return
        if fleet.configuration is not None and self._agent.may_hold_unknown:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._probe_upstream())

    async def _probe_upstream(self) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(*self._side.upstream)
        except ConnectionRefusedError:
            # Nothing listens there, so that no upstream holds any flow.
            self._agent.record_absent_upstream()
            self._log.write('no_upstream', service=self._side.service)
        except OSError as error:
            self._log.write('upstream_probe_failed', why=repr(error))
        else:
            writer.close()

    def _cancel_probe(self) -> None:
        if self._probe is not None:
            self._probe.cancel()
