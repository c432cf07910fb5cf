"""Dispatches the datagrams that an agent receives.

Entries forward them, and other agents relay them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from aioquic._buffer import Buffer
from aioquic.quic.packet import QuicHeader, QuicPacketType, pull_quic_header

from ragwortpost.connection import (
    CONNECTION_ID_BYTES,
    CallerConnection,
    ConnectionIdCodec,
    EnvelopeCodec,
    ForwardHeader,
    HostPort,
    ReplyHeader,
    connection_refused,
    read_header,
    relayed_header,
    stateless_reset,
)
from ragwortpost.process._connection_table import ConnectionTable
from ragwortpost.process._relayed_connections import RelayedConnections
from ragwortpost.version import (
    Fleet,
    ShortId,
    Upstream,
    ranked_upstreams,
    short_id,
)


class AgentDropReason(Enum):
    """Why an agent dropped a datagram."""

    FORGED_ENVELOPE = 'forged_envelope'
    MALFORMED = 'malformed'
    WRONG_SERVICE = 'wrong_service'
    HOP_LIMIT = 'hop_limit'
    UNKNOWN_CONNECTION = 'unknown_flow'
    NOT_RESYNCED = 'waking'


@dataclass
class DatagramCounters:
    """Totals since the process started."""

    # Connections opened.
    opened: int = 0
    # Connections refused because neither this agent nor another one within
    # the hop limit could accept them.
    refused: int = 0
    # First packets relayed to another agent.
    passed_on: int = 0
    # Datagrams dropped, by reason.
    dropped: dict[AgentDropReason, int] = field(default_factory=dict)

    def drop(self, reason: AgentDropReason) -> None:
        """Count one dropped datagram."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1


@dataclass(frozen=True)
class DatagramDispatcherPorts:
    """What a dispatcher needs from the agent."""

    # Sends a datagram to the address of a process.
    send: Callable[[bytes, HostPort], object]
    # Opens a connection for a caller's first packet.
    open_connection: Callable[[bytes], CallerConnection]
    # Whether another connection may be opened now.
    has_capacity: Callable[[], bool]
    # Records that a datagram forwarded by an entry was received.
    record_datagram_from: Callable[[HostPort], None]
    # Checks for a suspension; returns false until its resync has ended.
    is_resynced: Callable[[], bool]
    # Returns the upstream that a connection was transferred to, if any.
    successor_of: Callable[[bytes], Upstream | None]
    # Returns random bytes.
    random_bytes: Callable[[int], bytes]


class DatagramDispatcher:
    """Delivers, relays, answers or drops the datagrams of one agent."""

    def __init__(
        self,
        name: str,
        key: bytes,
        connections: ConnectionTable,
        relayed: RelayedConnections,
        ports: DatagramDispatcherPorts,
    ) -> None:
        """Initialize with an empty view; :meth:`apply` replaces it."""
        self._name = name
        self._ident = short_id(name)
        self._service = name.partition('/')[0]
        self._service_ident = short_id(self._service)
        self._ids = ConnectionIdCodec(key)
        self._envelopes = EnvelopeCodec(key)
        self._connections = connections
        self._relayed = relayed
        self._ports = ports
        self._fleet = Fleet()
        self._counters = DatagramCounters()

    @property
    def counters(self) -> DatagramCounters:
        """Totals since the process started."""
        return self._counters

    def apply(self, fleet: Fleet) -> None:
        """Replace the view by which datagrams are relayed."""
        self._fleet = fleet

    def receive(self, sealed: bytes, _: HostPort) -> None:
        """Verify one envelope and dispatch its datagram."""
        opened = self._envelopes.open_forward(sealed)
        if opened is None:
            self._counters.drop(AgentDropReason.FORGED_ENVELOPE)
            return
        header, datagram = opened
        self._ports.record_datagram_from(header.entry)
        packet = read_header(datagram)
        if packet is None:
            self._counters.drop(AgentDropReason.MALFORMED)
            return
        if header.service != self._service_ident:
            self._counters.drop(AgentDropReason.WRONG_SERVICE)
            return
        successor = self._ports.successor_of(packet.destination)
        if successor is not None:
            self._relay_to(successor, header, datagram)
            return
        connection = self._connections.find(packet.destination)
        if connection is not None:
            connection.entry = header.entry
            connection.receive(datagram, header.caller)
            return
        encoded_upstream = self._ids.upstream_of(packet.destination)
        if encoded_upstream is not None:
            self._receive_unmatched(
                header, datagram, packet.destination, encoded_upstream
            )
        elif packet.is_long:
            self._receive_first(header, datagram, packet.destination)
        else:
            self._counters.drop(AgentDropReason.UNKNOWN_CONNECTION)

    def relay_buffered(
        self,
        successor: Upstream,
        entry: HostPort,
        caller: HostPort,
        datagram: bytes,
    ) -> None:
        """Relay a datagram that arrived while its connection was exported."""
        header = ForwardHeader(
            hops=0,
            caller=caller,
            entry=entry,
            service=self._service_ident,
            upstream=self._ident,
            version=self._fleet.snapshot.version,
        )
        self._relay_to(successor, header, datagram)

    def _receive_unmatched(
        self,
        header: ForwardHeader,
        datagram: bytes,
        connection_id: bytes,
        encoded_upstream: ShortId,
    ) -> None:
        target = self._fleet.snapshot.upstreams.get(encoded_upstream)
        if target is not None and encoded_upstream != self._ident:
            self._relay_to(target, header, datagram)
            return
        self._counters.drop(AgentDropReason.UNKNOWN_CONNECTION)
        token = self._ids.reset_token(connection_id)
        reset = stateless_reset(token, datagram, self._ports.random_bytes)
        if reset is not None:
            self._reply(header, reset)

    def _receive_first(
        self,
        header: ForwardHeader,
        datagram: bytes,
        connection_id: bytes,
    ) -> None:
        if not self._ports.is_resynced():
            self._counters.drop(AgentDropReason.NOT_RESYNCED)
            return
        packet = _parse_initial(datagram)
        if packet is None:
            self._counters.drop(AgentDropReason.MALFORMED)
            return
        if self._ports.has_capacity() and not self._relayed.was_relayed(
            connection_id
        ):
            self._open_connection(header, datagram, packet)
            return
        next_upstream = self._next_upstream(connection_id)
        if (
            next_upstream is None
            or relayed_header(header, next_upstream.ident) is None
        ):
            self._refuse(header, packet)
            return
        self._relayed.record(connection_id)
        # An empty reply marks this agent as reachable at the entry.
        self._reply(header, b'')
        self._counters.passed_on += 1
        self._relay_to(next_upstream, header, datagram)

    def _next_upstream(self, connection_id: bytes) -> Upstream | None:
        candidates = self._fleet.accepting_upstreams(self._service)
        order = ranked_upstreams(connection_id, candidates, len(candidates))
        names = [upstream.name for upstream in order]
        if self._name not in names:
            return order[0] if order else None
        after = names.index(self._name) + 1
        following = [*order[after:], *order[: after - 1]]
        return following[0] if following else None

    def _open_connection(
        self,
        header: ForwardHeader,
        datagram: bytes,
        packet: QuicHeader,
    ) -> None:
        connection = self._ports.open_connection(packet.destination_cid)
        connection.entry = header.entry
        connection.receive(datagram, header.caller)
        self._counters.opened += 1

    def _refuse(self, header: ForwardHeader, packet: QuicHeader) -> None:
        self._counters.refused += 1
        refusal = connection_refused(
            packet.source_cid,
            packet.destination_cid,
        )
        self._reply(header, refusal)

    def _relay_to(
        self,
        upstream: Upstream,
        header: ForwardHeader,
        datagram: bytes,
    ) -> None:
        next_header = relayed_header(header, upstream.ident)
        if next_header is None:
            self._counters.drop(AgentDropReason.HOP_LIMIT)
            return
        sealed = self._envelopes.seal_forward(next_header, datagram)
        self._ports.send(sealed, upstream.address.host_port)

    def _reply(self, header: ForwardHeader, datagram: bytes) -> None:
        reply = ReplyHeader(header.caller, header.service, self._ident)
        sealed = self._envelopes.seal_reply(reply, datagram)
        self._ports.send(sealed, header.entry)


def _parse_initial(datagram: bytes) -> QuicHeader | None:
    """Return the header of an Initial packet, ``None`` for other packets."""
    try:
        packet = pull_quic_header(
            Buffer(data=datagram),
            host_cid_length=CONNECTION_ID_BYTES,
        )
    except ValueError:
        return None
    if packet.packet_type is QuicPacketType.INITIAL:
        return packet
    return None
