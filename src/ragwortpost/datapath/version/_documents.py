"""What the platform publishes, as the product names it."""

from dataclasses import dataclass
from typing import TypeAlias

from ragwortpost.datapath.connection import RouteKey


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that serves a part of a route's new flows."""

    # The service's name.
    service: str
    # Its part relative to the other shares.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A service address and what serves it."""

    # The address and port that callers send to.
    key: RouteKey
    # The operators' name for it.
    name: str
    # Seconds after which callers give a request up.
    timeout: float
    # Seconds within which callers want a response.
    target: float
    # Where new flows go; at least one.
    shares: tuple[ServiceShare, ...]


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What every upstream of a service bears."""

    # The service's name.
    name: str
    # Flows that an upstream may hold.
    connection_limit: int
    # Seconds for which an upstream is cold after a start.
    warm_up_seconds: float
    # New flows a second that a cold upstream bears; none if it bears all.
    warm_up_rate: float | None


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' newest configuration, in full."""

    # Grows with each configuration, not always by one.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # All services.
    services: tuple[ServicePolicy, ...]
    # Seconds after which a flow without packets may be discarded.
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class TakenOut:
    """A data centre whose upstreams are to get nothing."""

    # The data centre's name.
    data_centre: str


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """What an upstream last said of itself."""

    # Its identity; the same again only if it started under the same one.
    ident: str
    # The service that it belongs to.
    service: str
    # IPv4 address of its VM, where its agent runs too.
    host: str
    # Its data centre.
    data_centre: str
    # Requests that it works on at once.
    slots: int
    # Whether it will stop soon and takes no new work.
    leaving: bool
    # Seconds for which it stays cold.
    warm_up_left: float
    # Unix milliseconds of its start.
    born: int


Document: TypeAlias = Configuration | TakenOut | UpstreamEntry
