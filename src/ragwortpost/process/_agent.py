"""The agent of the QUIC data path.

It terminates callers' connections in front of one upstream.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import timedelta
from typing import Final, Protocol

from absl import logging
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from ragwortpost._datagrams import DatagramSockets, SendDatagram
from ragwortpost.connection import (
    CONNECTION_ID_BYTES,
    CallerConnection,
    ConnectionIdCodec,
    EnvelopeCodec,
    HostPort,
    ReplyHeader,
)
from ragwortpost.process._connection_table import ConnectionTable
from ragwortpost.process._connection_transfers import (
    AdoptOutcome,
    ConnectionTransfers,
)
from ragwortpost.process._datagram_dispatcher import (
    DatagramDispatcher,
    DatagramDispatcherPorts,
)
from ragwortpost.process._entry_selector import EntrySelector
from ragwortpost.process._event_stream_sources import EventStreamSources
from ragwortpost.process._http_handler import HttpHandler
from ragwortpost.process._loss_probe import LossProbe
from ragwortpost.process._node import Node, keep_running
from ragwortpost.process._peer_rpc import PeerServicePorts, build_load
from ragwortpost.process._relayed_connections import RelayedConnections
from ragwortpost.process._upstream_lifecycle import (
    UpstreamLifecycle,
    UpstreamState,
)
from ragwortpost.request import (
    Dispatcher,
    Incarnation,
    KeyCodec,
    PeerPort,
    PeerSelector,
    Ports,
    Ramp,
    RefusalReason,
    RequestRouter,
    Slots,
    UpstreamPort,
)
from ragwortpost.version import (
    AdminState,
    Fleet,
    Policy,
    Upstream,
    short_id,
)
from ragwortpost.wire.peer_pb2 import Load, MovedFlow

CLOSE_FANOUT: Final = 3
# How long an issued idempotency key is valid.
KEY_LEASE: Final = timedelta(minutes=10)
IDLE_TIMEOUT_SECONDS: Final = 60.0
_INCARNATION_BYTES: Final = 4
_DRAIN_POLL_SECONDS: Final = 0.05


class AgentPeerPort(PeerPort, Protocol):
    """Sends requests and connection state to other agents."""

    async def adopt(self, peer: Upstream, state: MovedFlow) -> AdoptOutcome:
        """Send a connection's state to a peer, which may continue it."""


@dataclass(frozen=True)
class AgentPorts:
    """The external interfaces of an agent."""

    # Opens datagram sockets.
    datagrams: DatagramSockets
    # Connects to the other agents; their free slots go to the selector.
    peers: Callable[[PeerSelector], AgentPeerPort]
    # Connects to the upstream; its state changes go to the lifecycle.
    upstream: Callable[[UpstreamLifecycle], UpstreamPort]
    # Returns random bytes.
    random_bytes: Callable[[int], bytes]


class Agent:
    """Terminates connections and runs requests for one upstream."""

    def __init__(
        self,
        node: Node,
        ports: AgentPorts,
        tls: QuicConfiguration,
    ) -> None:
        """Initialize with the node and the ports; :meth:`open` starts it."""
        self._node = node
        self._name = node.settings.name
        self._ident = short_id(self._name)
        self._service_name = self._name.partition('/')[0]
        self._service = short_id(self._service_name)
        self._live_entries = node.fleet.live_entry_addresses()
        self._entry_selector = EntrySelector(node.clock, node.rng)
        self._stopping = False
        self._ramp = Ramp(node.clock)
        self._slots = Slots(node.clock, Policy(), self._ramp)
        self._lifecycle = UpstreamLifecycle(self._ramp)
        self._datagrams = ports.datagrams
        self._send: SendDatagram | None = None
        self._init_requests(ports)
        self._init_connections(ports, tls)

    @property
    def accepts_work(self) -> bool:
        """Whether requests may be sent to the upstream now."""
        return self._lifecycle.current is UpstreamState.UP

    @property
    def refusal(self) -> RefusalReason:
        """The reason for refusing requests while none may be sent."""
        if self._lifecycle.current is UpstreamState.LEAVING:
            return RefusalReason.LEAVING
        return RefusalReason.UPSTREAM_DOWN

    @property
    def peer_service_ports(self) -> PeerServicePorts:
        """What the peer service calls in this agent."""
        return PeerServicePorts(
            self._dispatcher,
            self._event_streams.open_here,
            lambda: self._slots.free,
            self._adopt,
        )

    async def wait_until_resynced(self) -> None:
        """Wait until the view is resynced or the resync has timed out."""
        await self._node.suspension.wait_until_resynced()

    def open(self, stack: ExitStack) -> None:
        """Start serving until ``stack`` closes."""
        self._send = self._datagrams.open(
            stack,
            self._node.settings.address.host_port,
            self._datagram_dispatcher.receive,
        )
        self._node.gossip.share_load(self._own_load, self._record_peer_load)
        self._node.subscribe(self.apply)
        self.apply(self._node.fleet)
        probe = LossProbe(
            self._entry_selector,
            lambda: self._live_entries,
            lambda: self._connections.connections,
        )
        stack.callback(asyncio.create_task(keep_running(probe.run)).cancel)

    def apply(self, fleet: Fleet) -> None:
        """Replace the view."""
        self._live_entries = fleet.live_entry_addresses()
        self._dispatcher.apply(fleet)
        self._event_streams.apply(fleet)
        self._datagram_dispatcher.apply(fleet)
        self._transfers.apply(fleet)
        own = fleet.snapshot.upstreams.get(self._ident)
        if own is None or not fleet.accepts_new_work(own):
            self._leave()
        elif not self._stopping:
            self._event_streams.rejoin()
            self._lifecycle.rejoin()
        if own is None:
            return
        self._slots.apply(own.policy)
        if own.policy.state is AdminState.OUT:
            self._connections.close_all('data centre taken out')

    async def drain(self) -> None:
        """Stop accepting work, then transfer or close all connections.

        Running requests, here and at the peers that they were handed off to,
        get up to the drain limit to finish before that.
        """
        self._stopping = True
        self._leave()
        limit = self._slots.policy.drain.total_seconds()
        deadline = self._node.clock.monotonic() + limit
        try:
            async with asyncio.timeout(limit):
                while self._running_count():
                    await asyncio.sleep(_DRAIN_POLL_SECONDS)
        except TimeoutError:
            logging.warning(
                'event=drain_timeout running=%d', self._running_count()
            )
        await self._transfers.transfer_all(self._relay_buffered, deadline)
        await self._connections.close('leaving')

    def send(
        self, connection: CallerConnection, caller: HostPort, datagram: bytes
    ) -> None:
        """Send a datagram to a caller through an entry."""
        header = ReplyHeader(caller, self._service, self._ident)
        sealed = self._envelopes.seal_reply(header, datagram)
        for entry in self._entries_for(connection):
            self._send_to(sealed, entry)

    def status(self) -> Mapping[str, object]:
        """Return the agent's status fields."""
        counters = self._datagram_dispatcher.counters
        return {
            'upstream': self._lifecycle.current.value,
            'ramp_share': round(self._ramp.share(self._slots.policy), 3),
            'ramp_restarts': self._ramp.restarts,
            'flows': len(self._connections),
            'slots': self._slots.policy.slots,
            'slots_free': self._slots.free,
            'running': self._slots.running,
            'queued': self._slots.queued,
            'records': self._dispatcher.record_count,
            'opened': counters.opened,
            'refused': counters.refused,
            'passed_on': counters.passed_on,
            'moved': self._transfers.counters.moved,
            **{
                f'dropped.{reason.value}': count
                for reason, count in counters.dropped.items()
            },
            **{
                f'requests.{name}': count
                for name, count in self._http_handler.outcomes.items()
            },
        }

    def _init_requests(self, agent_ports: AgentPorts) -> None:
        node = self._node
        self._peer_selector = PeerSelector(node.clock, node.rng)
        self._peer_port = agent_ports.peers(self._peer_selector)
        ports = Ports(
            agent_ports.upstream(self._lifecycle),
            self._peer_port,
            self,
        )
        number = int.from_bytes(agent_ports.random_bytes(_INCARNATION_BYTES))
        self._dispatcher = Dispatcher(
            node.clock,
            Incarnation(self._ident, number),
            KeyCodec(node.settings.key, KEY_LEASE, agent_ports.random_bytes),
            ports,
            RequestRouter(self._ident, self._slots, ports, self._peer_selector),
        )
        self._event_streams = EventStreamSources(
            self._ident, ports, self._peer_selector
        )
        self._http_handler = HttpHandler(
            node.clock,
            self._service_name,
            self._dispatcher,
            self._event_streams.open,
            lambda: self._slots.policy,
        )

    def _init_connections(
        self,
        agent_ports: AgentPorts,
        tls: QuicConfiguration,
    ) -> None:
        node = self._node
        key = node.settings.key
        self._envelopes = EnvelopeCodec(key)
        self._connections = ConnectionTable(
            node.clock,
            self._ident,
            ConnectionIdCodec(key),
            tls,
            agent_ports.random_bytes,
        )
        self._transfers = ConnectionTransfers(
            node.clock,
            self._ident,
            self._service_name,
            self._connections,
            self._peer_port.adopt,
        )
        ports = DatagramDispatcherPorts(
            send=self._send_to,
            open_connection=self._open_connection,
            has_capacity=self._has_capacity,
            record_datagram_from=self._entry_selector.record_datagram_from,
            is_resynced=node.suspension.is_resynced,
            successor_of=self._transfers.successor_of,
            random_bytes=agent_ports.random_bytes,
        )
        relayed = RelayedConnections(node.clock)
        self._datagram_dispatcher = DatagramDispatcher(
            self._name, key, self._connections, relayed, ports
        )

    def _send_to(self, datagram: bytes, address: HostPort) -> None:
        if self._send is not None:
            self._send(datagram, address)

    def _open_connection(self, original_destination: bytes) -> CallerConnection:
        return self._connections.open(
            original_destination, self, self._http_handler
        )

    def _adopt(self, state: MovedFlow) -> bool:
        if state.service != self._service_name:
            return False
        if not self._has_capacity():
            return False
        connection = self._connections.adopt(state, self, self._http_handler)
        live = self._live_entries
        connection.entry = self._node.rng.choice(live) if live else ('', 0)
        return True

    def _relay_buffered(
        self, connection: CallerConnection, successor: Upstream
    ) -> None:
        for datagram, caller in connection.finish_transfer():
            self._datagram_dispatcher.relay_buffered(
                successor, connection.entry, caller, datagram
            )

    def _has_capacity(self) -> bool:
        if not self.accepts_work:
            return False
        policy = self._slots.policy
        capacity = policy.connections * self._ramp.share(policy)
        return len(self._connections) < capacity

    def _entries_for(self, connection: CallerConnection) -> Sequence[HostPort]:
        chosen = self._entry_selector.select(
            connection.entry,
            self._live_entries,
            connection.quic.probe_timeout_count,
        )
        if not connection.closing:
            return (chosen,)
        # Close packets are not retransmitted, so several entries carry them.
        return tuple(
            dict.fromkeys((chosen, *self._live_entries[:CLOSE_FANOUT])),
        )

    def _leave(self) -> None:
        self._lifecycle.leave()
        self._event_streams.leave()

    def _running_count(self) -> int:
        return self._slots.running + len(self._dispatcher.runs)

    def _own_load(self) -> Load:
        return build_load(
            self._name,
            self._slots.free,
            accepting=self.accepts_work,
        )

    def _record_peer_load(self, load: Load) -> None:
        free = load.free_slots if load.accepting else 0
        self._peer_selector.record_free_slots(load.upstream, free)


def tls_configuration(certificate: str, private_key: str) -> QuicConfiguration:
    """Return an agent's QUIC configuration; it does not allow 0-RTT."""
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_BYTES,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration
