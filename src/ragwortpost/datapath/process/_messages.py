"""Messages that packet-level entries and agents exchange in datagrams."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final, TypeAlias

import xxhash

from ragwortpost.datapath.connection import FlowKey, RouteKey
from ragwortpost.datapath.process._layouts import (
    UNREPORTED_LAYOUTS,
    LayoutRange,
)
from ragwortpost.datapath.version import Changes, StateVersion

ServiceTag: TypeAlias = int


class ForwardPurpose(IntEnum):
    """Why an entry forwards a packet to an agent."""

    # The packet opens a new flow that the entry assigned to the upstream.
    NEW_FLOW = 1
    # The entry has cached the agent as the holder of the packet's flow.
    KNOWN_FLOW = 2
    # The entry has cached no holder of the packet's flow. Relayed packets have
    # this purpose as well.
    LOOKUP = 3
    # As LOOKUP; an agent whose upstream does not hold the flow relays the
    # packet to the registered holder, if there is one.
    RELAYABLE_LOOKUP = 4


class ForwardOutcome(IntEnum):
    """What an agent reports about the flow of a forwarded packet."""

    # The upstream accepted the new flow.
    OPENED = 1
    # The upstream holds the flow.
    HELD = 2
    # The upstream does not hold the flow.
    NOT_HELD = 3
    # The agent or the upstream refused the new flow.
    REFUSED = 4


@dataclass(frozen=True, slots=True)
class Forward:
    """A caller's packet forwarded to an agent."""

    # Why the packet is forwarded.
    purpose: ForwardPurpose
    # The service that the route of a new flow leads to; for any other packet,
    # the service of the agent, or ``NO_ROUTE``.
    service: ServiceTag
    # The packet as the caller sent it.
    raw: bytes
    # Address of the entry to reply to; empty for the sender.
    entry: str = ''


@dataclass(frozen=True, slots=True)
class Registration:
    """Sent by a holder to a registrar: flows that its upstream holds."""

    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """An agent's reply to a forwarded packet."""

    # What became of the packet's flow.
    outcome: ForwardOutcome
    # Requests that await the upstream's response, and first requests expected
    # soon.
    load: int
    # Version of the agent's view.
    version: StateVersion
    flow: FlowKey
    # The packet, if its purpose was KNOWN_FLOW and the flow is not held; else
    # empty.
    raw: bytes
    # Milliseconds that the upstream takes for each request, zero if unknown.
    pace_ms: int = 0


@dataclass(frozen=True, slots=True)
class FlowQuery:
    """Queries an agent for the flows that its upstream may hold."""

    # The service of the agent. Only agents of earlier builds compare it.
    service: ServiceTag
    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class FlowQueryReply:
    """An agent's reply to :class:`FlowQuery`."""

    # Requests that await the upstream's response, and first requests expected
    # soon.
    load: int
    # Flows that the upstream does not hold.
    denied: tuple[FlowKey, ...]
    # Flows that the upstream holds or may hold; the entry forwards a packet of
    # each to find out.
    possibly_held: tuple[FlowKey, ...]
    # Milliseconds that the upstream takes for each request, zero if unknown.
    pace_ms: int = 0


@dataclass(frozen=True, slots=True)
class InventoryQuery:
    """Queries an agent for all flows that its upstream holds."""

    # The service of the agent. Only agents of earlier builds compare it.
    service: ServiceTag
    # Identifies the query among those of one entry.
    number: int


@dataclass(frozen=True, slots=True)
class Inventory:
    """One part of an agent's reply to :class:`InventoryQuery`."""

    # The number of the query.
    number: int
    # Requests that await the upstream's response, and first requests expected
    # soon.
    load: int
    # Milliseconds that the upstream takes for each request, zero if unknown.
    pace_ms: int
    # Whether the upstream holds no other flows; else it may hold flows from
    # before the start of its agent.
    complete: bool
    # Index of this part and number of all parts; no parts if the upstream holds
    # too many flows for an inventory.
    part: int
    parts: int
    # Hashes of the held flows, each of 32 bits.
    flow_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RoomDemand:
    """Sent by an entry to an agent: flows that wait for an upstream."""

    # The service that the flows lead to.
    service: ServiceTag
    # Number of waiting flows; zero withdraws an earlier demand.
    waiting: int
    # The most urgent priority among them.
    priority: int
    # Milliseconds until the earliest of their deadlines.
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class RoomGrant:
    """Sent by an agent to an entry: room for new flows of its upstream."""

    # Number of new flows that the agent will admit from the entry.
    flows: int
    # Milliseconds after which the agent gives the room to others.
    lifetime_ms: int
    # Requests that await the upstream's response, and first requests expected
    # soon.
    load: int
    # Milliseconds that the upstream takes for each request, zero if unknown.
    pace_ms: int


@dataclass(frozen=True, slots=True)
class Digest:
    """Periodic status message of a process, sent by gossip."""

    # Whether the receiver should send its own digest back.
    wants_reply: bool
    # Role of the process, a value of NodeRole.
    role: str
    data_centre: str
    # The service of its upstream; empty for an entry.
    service: str
    # Version of its view.
    version: StateVersion
    # Milliseconds since its view was last confirmed as the store's state.
    view_age_ms: int
    # Whether it reads the store successfully.
    reading: bool
    # Whether it is shutting down.
    leaving: bool
    # Requests that await its upstream's response, and first requests expected
    # soon.
    load: int
    # Addresses of entries that it recently received digests from, with its
    # own if it is an entry.
    entries: tuple[str, ...]
    # Milliseconds that its upstream takes for each request, zero if unknown.
    pace_ms: int = 0
    # Hash of the documents of its view.
    fingerprint: int = 0
    # The layouts of messages that it reads.
    layouts: LayoutRange = UNREPORTED_LAYOUTS
    # Routes that its upstream has served lately, while it has no view.
    served_routes: tuple[RouteKey, ...] = ()


Message: TypeAlias = (
    Forward
    | ForwardReply
    | Registration
    | FlowQuery
    | FlowQueryReply
    | InventoryQuery
    | Inventory
    | RoomDemand
    | RoomGrant
    | Digest
    | Changes
)


def service_tag(service: str) -> ServiceTag:
    """Return the hash that identifies a service in messages."""
    return xxhash.xxh64_intdigest(service.encode())


# The tag of a flow whose route the configuration does not have.
NO_ROUTE: Final = service_tag('')
