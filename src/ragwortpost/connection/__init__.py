"""Callers' connections and the routing of packets, for the QUIC data path.

Entries route packets to agents, and agents terminate the connections. The
packet-level data path (datapath/) leaves connections to the upstreams and
forwards their packets as they are.
"""

from ragwortpost._datagrams import HostPort
from ragwortpost.connection._caller_connection import (
    CallerConnection,
    DatagramSender,
    OpenEventStream,
    RequestServer,
    Response,
)
from ragwortpost.connection._connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
)
from ragwortpost.connection._envelope import (
    MAX_HOPS,
    EnvelopeCodec,
    ForwardHeader,
    ReplyHeader,
    relayed_header,
)
from ragwortpost.connection._incoming_request import IncomingRequest
from ragwortpost.connection._packet import (
    MAX_DATAGRAM_BYTES,
    PacketHeader,
    read_header,
)
from ragwortpost.connection._quic import RoutedQuicConnection
from ragwortpost.connection._routing import (
    Drop,
    DropReason,
    Reset,
    RoutingDecision,
    RoutingTable,
    ToUpstream,
)
from ragwortpost.connection._stateless import (
    connection_refused,
    stateless_reset,
)

__all__ = [
    'CONNECTION_ID_BYTES',
    'MAX_DATAGRAM_BYTES',
    'MAX_HOPS',
    'CallerConnection',
    'ConnectionIdCodec',
    'DatagramSender',
    'Drop',
    'DropReason',
    'EnvelopeCodec',
    'ForwardHeader',
    'HostPort',
    'IncomingRequest',
    'OpenEventStream',
    'PacketHeader',
    'ReplyHeader',
    'RequestServer',
    'Reset',
    'Response',
    'RoutedQuicConnection',
    'RoutingDecision',
    'RoutingTable',
    'ToUpstream',
    'connection_refused',
    'read_header',
    'relayed_header',
    'stateless_reset',
]
