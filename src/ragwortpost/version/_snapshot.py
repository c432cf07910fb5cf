"""One accepted version of the settings tree, resolved and immutable."""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, NewType

from ragwortpost.version._policy import AdminState, Policy
from ragwortpost.version._value_parsers import SocketAddress

# Six bytes that name a service or an upstream on the wire.
ShortId = NewType('ShortId', bytes)

SHORT_ID_BYTES: Final = 6


def short_id(name: str) -> ShortId:
    """Return the wire id of a service's or an upstream's name."""
    digest = hashlib.blake2b(name.encode(), digest_size=SHORT_ID_BYTES)
    return ShortId(digest.digest())


@dataclass(frozen=True)
class Upstream:
    """One upstream with its effective policy."""

    # Full name: service, data centre and number, parted by slashes.
    name: str
    # The wire id of the name.
    ident: ShortId
    # The service it belongs to.
    service: str
    # The data centre it stands in.
    data_centre: str
    # Where its agent takes envelopes (UDP) and peers' calls (TCP).
    address: SocketAddress
    # Its limits after inheritance.
    policy: Policy

    @property
    def eligible(self) -> bool:
        """Whether new flows and new work may go there."""
        return self.policy.state is AdminState.IN


@dataclass(frozen=True)
class Service:
    """One service with its upstreams."""

    # The service's name.
    name: str
    # The wire id of the name.
    ident: ShortId
    # Where callers send their packets.
    address: SocketAddress
    # All upstreams, whatever their state, sorted by name.
    upstreams: Sequence[Upstream]


@dataclass(frozen=True)
class Snapshot:
    """The settings tree of one version."""

    # The platform's version; zero only for the empty snapshot at a start.
    version: int
    # The published bytes, passed on to peers as they are.
    body: bytes
    # Services by name.
    services: Mapping[str, Service]
    # Upstreams of all services by wire id.
    upstreams: Mapping[ShortId, Upstream]

    def upstream(self, name: str) -> Upstream | None:
        """Return the upstream of a full name, if it is in the tree."""
        return self.upstreams.get(short_id(name))


EMPTY_SNAPSHOT: Final = Snapshot(0, b'', {}, {})
