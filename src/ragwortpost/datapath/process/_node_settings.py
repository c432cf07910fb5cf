"""The settings of one process of the data path."""

from dataclasses import dataclass
from enum import Enum

from ragwortpost._datagrams import HostPort


class NodeRole(Enum):
    """The programs of the data path."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclass(frozen=True)
class UpstreamSide:
    """What an agent needs to reach its upstream."""

    # The service that the upstream belongs to.
    service: str
    # Where the upstream receives packets.
    upstream: HostPort
    # Where the upstream sends its packets.
    outbound: HostPort


@dataclass(frozen=True)
class NodeSettings:
    """All that a process learns from its settings."""

    # The VM's name.
    name: str
    # The VM's IPv4 address.
    host: str
    # Its data centre.
    data_centre: str
    # Where the platform asks whether the process is ready.
    readiness: HostPort
    # The port at which entries receive callers' packets and callers theirs.
    packet_port: int
    # The port at which processes of the system reach each other.
    peer_port: int
    # The port at which operators ask for metrics and status.
    admin_port: int
    # Addresses of some entries, perhaps outdated.
    seeds: tuple[str, ...]
    # Address of the platform's store.
    store: HostPort
    # Whether the whole system starts for the first time.
    first_start: bool
    # Megabits a second that the VM's link carries.
    link_megabits: float
    # Seconds between the request to stop and the kill.
    stop_seconds: float
    # The upstream beside an agent; none for an entry.
    upstream_side: UpstreamSide | None
