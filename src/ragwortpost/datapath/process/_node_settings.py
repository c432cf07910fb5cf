"""Settings of one process of the packet-level data path."""

from dataclasses import dataclass
from enum import Enum

from ragwortpost._datagrams import HostPort


class NodeRole(Enum):
    """Role of a process in the data path."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclass(frozen=True)
class UpstreamSide:
    """The upstream beside an agent and the sockets between the two."""

    # Service that the upstream belongs to.
    service: str
    # Address at which the upstream receives packets.
    upstream: HostPort
    # Address of the agent to which the upstream sends its packets.
    outbound: HostPort


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one process."""

    # Name of the VM.
    name: str
    # IPv4 address of the VM.
    host: str
    # Data centre of the VM.
    data_centre: str
    # Address at which the process answers the platform's readiness probes.
    readiness: HostPort
    # Port at which entries receive callers' packets; callers receive packets at
    # the same port number.
    packet_port: int
    # Port at which processes exchange datagrams (UDP) and pull views (TCP).
    peer_port: int
    # Port of the admin endpoints.
    admin_port: int
    # Addresses of entries to contact first; some may be outdated.
    seeds: tuple[str, ...]
    # Address of the platform's store.
    store: HostPort
    # Whether the whole system starts for the first time, so that no upstream
    # can hold flows from before.
    first_start: bool
    # Bandwidth of the VM's network link, in Mbit/s.
    link_megabits: float
    # Seconds that the platform allows between the stop signal and the kill.
    stop_seconds: float
    # Upstream beside an agent; None for an entry.
    upstream_side: UpstreamSide | None
    # Processor cores that the process may use.
    processor_cores: float = 1.0
