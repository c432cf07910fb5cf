"""One accepted version of the settings tree, resolved and immutable."""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, NewType

from ragwortpost.version._policy import AdminState, Policy
from ragwortpost.version._value_parsers import SocketAddress

# Six-byte id of a service or an upstream on the wire.
ShortId = NewType('ShortId', bytes)

SHORT_ID_BYTES: Final = 6


def short_id(name: str) -> ShortId:
    """Return the short id of a service or upstream name."""
    digest = hashlib.blake2b(name.encode(), digest_size=SHORT_ID_BYTES)
    return ShortId(digest.digest())


@dataclass(frozen=True)
class Upstream:
    """One upstream with its effective policy."""

    # Full name: service, data centre and own name, separated by slashes.
    name: str
    # Short id of the name.
    ident: ShortId
    # Service that it belongs to.
    service: str
    # Data centre where it runs.
    data_centre: str
    # Where its agent receives envelopes (UDP) and calls from peers (TCP).
    address: SocketAddress
    # Limits after inheritance.
    policy: Policy

    @property
    def eligible(self) -> bool:
        """Whether the settings let it accept new connections and new work."""
        return self.policy.state is AdminState.IN


@dataclass(frozen=True)
class Service:
    """One service with its upstreams."""

    # Service name.
    name: str
    # Short id of the name.
    ident: ShortId
    # Where callers send their packets.
    address: SocketAddress
    # All upstreams in any state, sorted by name.
    upstreams: Sequence[Upstream]


@dataclass(frozen=True)
class Snapshot:
    """The settings of one version."""

    # The platform's version; zero only for the empty initial snapshot.
    version: int
    # Published bytes, sent to peers unchanged.
    body: bytes
    # Services by name.
    services: Mapping[str, Service]
    # Upstreams of all services by short id.
    upstreams: Mapping[ShortId, Upstream]

    def upstream(self, name: str) -> Upstream | None:
        """Return the upstream with a full name, if there is one."""
        return self.upstreams.get(short_id(name))


EMPTY_SNAPSHOT: Final = Snapshot(0, b'', {}, {})
