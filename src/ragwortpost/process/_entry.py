"""The entry of the QUIC data path.

It forwards datagrams between callers and agents.
"""

from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from absl import logging

from ragwortpost._datagrams import DatagramSockets, SendDatagram
from ragwortpost.connection import (
    ConnectionIdCodec,
    Drop,
    DropReason,
    EnvelopeCodec,
    ForwardHeader,
    HostPort,
    Reset,
    RoutingTable,
    ToUpstream,
    stateless_reset,
)
from ragwortpost.process._agent_reachability import AgentReachability
from ragwortpost.process._node import Node
from ragwortpost.version import Fleet, Service, ShortId


class EntryDropReason(Enum):
    """Why an entry dropped a datagram that routing did not drop."""

    FORGED_ENVELOPE = 'forged_envelope'
    UNKNOWN_SERVICE = 'unknown_service'
    NOT_RESYNCED = 'waking'
    SEND_FAILED = 'send_failed'


@dataclass
class EntryCounters:
    """Totals since the process started."""

    # Datagrams forwarded to agents.
    forwarded: int = 0
    # Datagrams returned to callers.
    returned: int = 0
    # First packets of connections, retransmissions included.
    first_packets: int = 0
    # Datagrams dropped, by reason.
    dropped: dict[DropReason | EntryDropReason, int] = field(
        default_factory=dict
    )

    def drop(self, reason: DropReason | EntryDropReason) -> None:
        """Count one dropped datagram."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1


@dataclass(frozen=True)
class _Listener:
    """The socket on one service's address."""

    # The service as configured when the socket was opened.
    service: Service
    # Sends a datagram from the service's address.
    send: SendDatagram
    # Closes the socket.
    stack: ExitStack


class Entry:
    """Forwards datagrams in both directions; keeps no connection state."""

    def __init__(self, node: Node, datagrams: DatagramSockets) -> None:
        """Initialize with the node; :meth:`open` binds the sockets."""
        self._node = node
        self._datagrams = datagrams
        self._ids = ConnectionIdCodec(node.settings.key)
        self._envelopes = EnvelopeCodec(node.settings.key)
        self._table = RoutingTable(node.fleet, self._ids)
        self._reachability = AgentReachability(node.clock)
        self._listeners: dict[ShortId, _Listener] = {}
        self._own_address = node.settings.address.host_port
        self._send: SendDatagram = _discard
        self._counters = EntryCounters()

    @property
    def counters(self) -> EntryCounters:
        """Totals since the process started."""
        return self._counters

    def open(self, stack: ExitStack) -> None:
        """Start forwarding until ``stack`` closes."""
        self._send = self._datagrams.open(
            stack,
            self._own_address,
            self._receive_reply,
        )
        stack.callback(self._close_listeners)
        self._node.subscribe(self.apply)
        self.apply(self._node.fleet)

    def apply(self, fleet: Fleet) -> None:
        """Replace the view; sockets whose address is unchanged stay open."""
        self._table = RoutingTable(fleet, self._ids)
        self._reachability.discard_absent(fleet.snapshot.upstreams.keys())
        wanted = {
            service.ident: service
            for service in fleet.snapshot.services.values()
        }
        for ident, listener in tuple(self._listeners.items()):
            service = wanted.get(ident)
            if service is None or service.address != listener.service.address:
                self._listeners.pop(ident).stack.close()
        for service in wanted.values():
            self._listen(service)

    def status(self) -> Mapping[str, object]:
        """Return the entry's status fields."""
        counters = self._counters
        dropped = {
            f'dropped.{reason.value}': count
            for reason, count in counters.dropped.items()
        }
        return {
            'services': len(self._listeners),
            'forwarded': counters.forwarded,
            'returned': counters.returned,
            'first_packets': counters.first_packets,
            'suspects': len(self._reachability.suspects()),
            **dropped,
        }

    def _listen(self, service: Service) -> None:
        if service.ident in self._listeners:
            return
        host = self._node.settings.listen_host or service.address.host
        stack = ExitStack()
        try:
            send = self._datagrams.open(
                stack,
                (host, service.address.port),
                partial(self._receive, service),
            )
        except OSError as error:
            stack.close()
            logging.error(
                'event=listen_failed service=%s why=%r',
                service.name,
                error,
            )
            return
        self._listeners[service.ident] = _Listener(service, send, stack)

    def _close_listeners(self) -> None:
        for listener in self._listeners.values():
            listener.stack.close()
        self._listeners.clear()

    def _receive(
        self,
        service: Service,
        datagram: bytes,
        caller: HostPort,
    ) -> None:
        if not self._node.suspension.is_resynced():
            self._counters.drop(EntryDropReason.NOT_RESYNCED)
            return
        suspects = self._reachability.suspects()
        match self._table.route(service, datagram, suspects):
            case ToUpstream() as target:
                self._forward(service, target, datagram, caller)
            case Drop(reason):
                self._counters.drop(reason)
            case Reset(connection_id, reason):
                self._counters.drop(reason)
                self._send_reset(service, connection_id, datagram, caller)

    def _forward(
        self,
        service: Service,
        target: ToUpstream,
        datagram: bytes,
        caller: HostPort,
    ) -> None:
        upstream = target.upstream
        header = ForwardHeader(
            hops=0,
            caller=caller,
            entry=self._own_address,
            service=service.ident,
            upstream=upstream.ident,
            version=self._table.version,
        )
        sealed = self._envelopes.seal_forward(header, datagram)
        if not self._send(sealed, upstream.address.host_port):
            self._counters.drop(EntryDropReason.SEND_FAILED)
            return
        self._counters.forwarded += 1
        if target.is_new_connection:
            self._counters.first_packets += 1
            self._reachability.record_first_packet(upstream.ident)

    def _send_reset(
        self,
        service: Service,
        connection_id: bytes,
        datagram: bytes,
        caller: HostPort,
    ) -> None:
        token = self._ids.reset_token(connection_id)
        reset = stateless_reset(token, datagram, self._node.rng.randbytes)
        if reset is not None:
            self._listeners[service.ident].send(reset, caller)

    def _receive_reply(self, sealed: bytes, _: HostPort) -> None:
        opened = self._envelopes.open_reply(sealed)
        if opened is None:
            self._counters.drop(EntryDropReason.FORGED_ENVELOPE)
            return
        header, datagram = opened
        self._reachability.record_reply(header.upstream)
        if not datagram:
            return
        listener = self._listeners.get(header.service)
        if listener is None:
            self._counters.drop(EntryDropReason.UNKNOWN_SERVICE)
            return
        if listener.send(datagram, header.caller):
            self._counters.returned += 1
        else:
            self._counters.drop(EntryDropReason.SEND_FAILED)


def _discard(_datagram: bytes, _address: HostPort) -> bool:
    return False
