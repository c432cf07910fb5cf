"""What processes of the system tell each other in datagrams."""

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

import xxhash

from ragwortpost.datapath.connection import FlowKey
from ragwortpost.datapath.version import Changes

ServiceTag: TypeAlias = int


class ForwardPurpose(IntEnum):
    """Why an entry sends a packet to an agent."""

    # It opens a flow that the entry placed there.
    NEW_FLOW = 1
    # It belongs to a flow that the entry saw there.
    KNOWN_FLOW = 2
    # It belongs to a flow that the entry looks for.
    LOOKUP = 3
    # The same; the agent passes it on if it knows who holds the flow.
    RELAYABLE_LOOKUP = 4


class ForwardOutcome(IntEnum):
    """What an agent tells an entry of a flow."""

    # The upstream accepted it.
    OPENED = 1
    # The upstream holds it.
    HELD = 2
    # The upstream does not hold it.
    NOT_HELD = 3
    # The agent does not take it as a new flow.
    REFUSED = 4


@dataclass(frozen=True, slots=True)
class Forward:
    """A caller's packet on its way to an agent."""

    # Why it is sent there.
    purpose: ForwardPurpose
    # The service that it is for.
    service: ServiceTag
    # The packet as the caller sent it.
    raw: bytes
    # The entry that waits for the answer; empty for the sender itself.
    entry: str = ''


@dataclass(frozen=True, slots=True)
class Registration:
    """Flows that the sender's upstream holds."""

    # The flows.
    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """An agent's answer to a forwarded packet."""

    # What became of it.
    outcome: ForwardOutcome
    # Requests that the upstream works on.
    load: int
    # The revision of the agent's view.
    revision: int
    # The flow.
    flow: FlowKey
    # The packet, where the agent did not deliver it.
    raw: bytes


@dataclass(frozen=True, slots=True)
class FlowQuery:
    """An entry's question which of some flows an agent's upstream holds."""

    # The service that the flows' route leads to.
    service: ServiceTag
    # The flows.
    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class FlowQueryReply:
    """An agent's answer to a query."""

    # Requests that the upstream works on.
    load: int
    # Flows that the upstream does not hold.
    denied: tuple[FlowKey, ...]
    # Flows of which a packet would tell.
    possibly_held: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """What a process says of itself now and then."""

    # Whether it wants a digest in return.
    wants_reply: bool
    # Its role.
    role: str
    # Its data centre.
    data_centre: str
    # The service of its upstream; empty for an entry.
    service: str
    # The revision of its view.
    revision: int
    # Milliseconds since its view was known to be the store's.
    view_age_ms: int
    # Whether it reads the store and the store answers it.
    reading: bool
    # Whether it is about to stop.
    leaving: bool
    # Requests that its upstream works on.
    load: int
    # Addresses of the entries that it heard of lately.
    entries: tuple[str, ...]


Message: TypeAlias = (
    Forward
    | ForwardReply
    | Registration
    | FlowQuery
    | FlowQueryReply
    | Digest
    | Changes
)


def service_tag(service: str) -> ServiceTag:
    """Return the number that stands for a service between processes."""
    return xxhash.xxh64_intdigest(service.encode())
