"""Selects the upstream for each datagram that an entry receives.

Entries keep no state per connection: the connection id of an established
connection encodes its upstream, and a new connection is assigned by the
rendezvous order of its first connection id.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

from ragwortpost.connection._connection_id import ConnectionIdCodec
from ragwortpost.connection._packet import read_header
from ragwortpost.version import (
    AdminState,
    Fleet,
    RendezvousOrder,
    Service,
    ShortId,
    Upstream,
)

# RFC 9000, section 7.2: a client's first destination id is at least this long.
_MIN_CALLER_ID_BYTES: Final = 8
# RFC 9000, section 14.1: a client's first datagram is at least this long.
_MIN_INITIAL_BYTES: Final = 1200


class DropReason(Enum):
    """Why a datagram is dropped or its connection reset."""

    # Not a QUIC packet, or too short for the first one of a connection.
    MALFORMED = 'malformed'
    # A short-header packet whose connection id was not issued by an agent.
    FORGED_ID = 'forged_id'
    # No upstream of the service accepts connections.
    NO_UPSTREAM = 'no_upstream'
    # The connection id encodes an upstream of another service.
    WRONG_SERVICE = 'wrong_service'
    # The settings state of the connection's upstream is ``out``.
    UPSTREAM_OUT = 'taken_out'


@dataclass(frozen=True, slots=True)
class ToUpstream:
    """Forward the datagram to the agent of an upstream."""

    # The selected upstream.
    upstream: Upstream
    # Whether it was selected for a new connection.
    is_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class Drop:
    """Drop the datagram."""

    # Why it is dropped.
    reason: DropReason


@dataclass(frozen=True, slots=True)
class Reset:
    """Reset the connection because no upstream can continue it."""

    # The connection id that the caller used.
    connection_id: bytes
    # Why the connection cannot continue.
    reason: DropReason


RoutingDecision: TypeAlias = ToUpstream | Drop | Reset


class RoutingTable:
    """Routes datagrams by one version of the settings and of the VM list."""

    def __init__(self, fleet: Fleet, codec: ConnectionIdCodec) -> None:
        """Initialize with a view and the codec of the connection ids."""
        self._snapshot: Final = fleet.snapshot
        self._codec: Final = codec
        self._upstream_orders: Final[Mapping[str, RendezvousOrder]] = {
            name: RendezvousOrder(fleet.accepting_upstreams(name))
            for name in fleet.snapshot.services
        }

    @property
    def version(self) -> int:
        """The settings version."""
        return self._snapshot.version

    def route(
        self,
        service: Service,
        datagram: bytes,
        avoid: Container[ShortId] = (),
    ) -> RoutingDecision:
        """Return the route of a datagram sent to ``service``.

        New connections are assigned to an upstream in ``avoid`` only if there
        is no other.
        """
        header = read_header(datagram)
        if header is None:
            return Drop(DropReason.MALFORMED)
        upstream_id = self._codec.upstream_of(header.destination)
        if upstream_id is not None:
            return self._route_established(
                service, upstream_id, header.destination
            )
        if not header.is_long:
            return Drop(DropReason.FORGED_ID)
        if len(header.destination) < _MIN_CALLER_ID_BYTES:
            return Drop(DropReason.MALFORMED)
        if len(datagram) < _MIN_INITIAL_BYTES:
            return Drop(DropReason.MALFORMED)
        return self._route_new(service, header.destination, avoid)

    def _route_established(
        self,
        service: Service,
        upstream_id: ShortId,
        connection_id: bytes,
    ) -> RoutingDecision:
        upstream = self._snapshot.upstreams.get(upstream_id)
        if upstream is None:
            return self._route_to_successor(service, upstream_id, connection_id)
        if upstream.service != service.name:
            return Drop(DropReason.WRONG_SERVICE)
        if upstream.policy.state is AdminState.OUT:
            return Reset(connection_id, DropReason.UPSTREAM_OUT)
        return ToUpstream(upstream)

    def _route_to_successor(
        self,
        service: Service,
        upstream_id: ShortId,
        connection_id: bytes,
    ) -> RoutingDecision:
        # The connections of a removed upstream are transferred to this one.
        successor = self._upstream_orders[service.name].first(upstream_id)
        if successor is None:
            return Reset(connection_id, DropReason.NO_UPSTREAM)
        return ToUpstream(successor)

    def _route_new(
        self,
        service: Service,
        connection_id: bytes,
        avoid: Container[ShortId],
    ) -> RoutingDecision:
        upstream = self._upstream_orders[service.name].first(
            connection_id, avoid
        )
        if upstream is None:
            return Drop(DropReason.NO_UPSTREAM)
        return ToUpstream(upstream, is_new_connection=True)
