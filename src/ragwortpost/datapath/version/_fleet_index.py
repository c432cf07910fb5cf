"""Routes, services and upstreams of a view, indexed for lookups."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from ragwortpost.datapath.connection import FlowKey, RouteKey, route_key_of
from ragwortpost.datapath.version._changes import Record
from ragwortpost.datapath.version._documents import (
    Configuration,
    Route,
    ServicePolicy,
    TakenOut,
    UpstreamEntry,
)

# Number of values of a 64-bit hash.
_HASH_MODULUS = 1 << 64


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """The routes, services and upstreams of one state of the view."""

    # The current configuration; none before the first one is received.
    configuration: Configuration | None
    # Routes by service address and port.
    routes: Mapping[RouteKey, Route]
    # Services by name.
    services: Mapping[str, ServicePolicy]
    # Upstreams by service name.
    upstreams: Mapping[str, Sequence[UpstreamEntry]]
    # Upstreams by VM address.
    upstreams_by_host: Mapping[str, UpstreamEntry]
    # Data centres that operators drained.
    drained_data_centres: frozenset[str]
    # The least urgent priority of the routes that lead to each service.
    least_urgent_priorities: Mapping[str, int]

    def service_of(self, flow: FlowKey) -> str | None:
        """Return the service of a flow, or none if it has no route.

        It depends on the flow and the configuration only, so that copies of a
        flow's first packet get the same service at every entry.
        """
        route = self.routes.get(route_key_of(flow))
        if route is None:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh64_intdigest(flow) / _HASH_MODULUS * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service

    def is_urgent(self, flow: FlowKey) -> bool:
        """Return whether a flow's service also has less urgent routes."""
        route = self.routes.get(route_key_of(flow))
        if route is None:
            return False
        return any(
            route.priority < self.least_urgent_priorities[share.service]
            for share in route.shares
        )

    def accepts_new_flows(self, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream may be assigned new flows."""
        if upstream.leaving:
            return False
        return upstream.data_centre not in self.drained_data_centres


EMPTY_INDEX = FleetIndex(None, {}, {}, {}, {}, frozenset(), {})


def build_index(records: Iterable[Record], previous: FleetIndex) -> FleetIndex:
    """Index the records of a view.

    Of several upstreams with the same VM address, those whose service the
    configuration names go first, and then the one that started last. Routes
    and services are taken from ``previous`` unless the records have another
    configuration.
    """
    configuration = previous.configuration
    found_upstreams = []
    drained_data_centres = []
    for record in records:
        match record.document:
            case Configuration() as found:
                configuration = found
            case TakenOut(data_centre):
                drained_data_centres.append(data_centre)
            case UpstreamEntry() as upstream:
                found_upstreams.append(upstream)
    routes, services = previous.routes, previous.services
    if (
        configuration is not None
        and configuration is not previous.configuration
    ):
        routes = {route.key: route for route in configuration.routes}
        services = {policy.name: policy for policy in configuration.services}
    # An item of another writer, with a service nobody has, hides no upstream.
    found_upstreams.sort(
        key=lambda upstream: (upstream.service in services, upstream.born)
    )
    upstreams_by_host = {
        upstream.host: upstream for upstream in found_upstreams
    }
    upstreams = defaultdict(list)
    for upstream in upstreams_by_host.values():
        upstreams[upstream.service].append(upstream)
    return FleetIndex(
        configuration,
        routes,
        services,
        upstreams,
        upstreams_by_host,
        frozenset(drained_data_centres),
        _least_urgent_priorities(routes.values()),
    )


def _least_urgent_priorities(routes: Iterable[Route]) -> Mapping[str, int]:
    priorities: dict[str, int] = {}
    for route in routes:
        for share in route.shares:
            known = priorities.get(share.service, route.priority)
            priorities[share.service] = max(known, route.priority)
    return priorities
