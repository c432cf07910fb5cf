"""The documents in the platform's store, independent of their format."""

from dataclasses import dataclass
from typing import TypeAlias

from ragwortpost.datapath.connection import RouteKey


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's new flows that a service gets."""

    # The service's name.
    service: str
    # Its weight relative to the other shares of the route.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A service address and the services behind it."""

    # The service address and port that callers send to.
    key: RouteKey
    # The operators' name for the route.
    name: str
    # Seconds after which callers abandon a request.
    timeout: float
    # Seconds within which a request should be answered.
    target: float
    # The services that new flows are assigned to; at least one.
    shares: tuple[ServiceShare, ...]
    # The urgency of its requests: lower numbers are more urgent.
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Limits of each upstream of a service."""

    # The service's name.
    name: str
    # Limit of the flows that an upstream holds.
    connection_limit: int
    # Seconds that an upstream warms up after its start.
    warm_up_seconds: float
    # Limit of new flows per second during warm-up; none if there is no limit.
    warm_up_rate: float | None


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' latest configuration, complete."""

    # Increases with each configuration, not always by one.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # All services.
    services: tuple[ServicePolicy, ...]
    # Seconds after which a flow without packets may be discarded.
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class TakenOut:
    """A data centre that operators drained: it gets no new flows."""

    # The data centre's name.
    data_centre: str
    # Store revision at which operators drained it; later writes of the same
    # order keep it. Zero if it is not known.
    created: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """The latest state that an upstream has published."""

    # Its identity. A restart changes it, unless the upstream is started under
    # the same one.
    ident: str
    # The service that it belongs to.
    service: str
    # IPv4 address of its VM, where its agent runs too.
    host: str
    # Its data centre.
    data_centre: str
    # Requests that it processes concurrently.
    slots: int
    # Whether it is shutting down and accepts no new flows.
    leaving: bool
    # Seconds of warm-up left when it published this state.
    warm_up_left: float
    # Unix time of its start, in milliseconds. With the identity it identifies
    # an incarnation.
    born: int
    # Number of the states that this incarnation has published. A write that
    # changes nothing else does not change the revision of the record.
    sequence: int = 0


Document: TypeAlias = Configuration | TakenOut | UpstreamEntry
