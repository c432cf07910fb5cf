"""The view arranged for the decisions: routes, services, upstreams."""

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

_HASH_SPAN = 1 << 64


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """One state of routes, services and upstreams."""

    # The configuration in force; none before the first one.
    configuration: Configuration | None
    # Routes by the address that callers send to.
    routes: Mapping[RouteKey, Route]
    # Services by name.
    services: Mapping[str, ServicePolicy]
    # Upstreams by service.
    upstreams: Mapping[str, Sequence[UpstreamEntry]]
    # Upstreams by the address of their VM.
    upstreams_by_host: Mapping[str, UpstreamEntry]
    # Data centres that operators took out.
    drained_data_centres: frozenset[str]

    def service_of(self, flow: FlowKey) -> str | None:
        """Return the service that a new flow goes to, none without a route.

        Copies of a flow's first packet get the same answer anywhere.
        """
        route = self.routes.get(route_key_of(flow))
        if route is None:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh64_intdigest(flow) / _HASH_SPAN * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service

    def accepts_new_flows(self, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream may get new flows."""
        if upstream.leaving:
            return False
        return upstream.data_centre not in self.drained_data_centres


EMPTY_INDEX = FleetIndex(None, {}, {}, {}, {}, frozenset())


def build_index(records: Iterable[Record], previous: FleetIndex) -> FleetIndex:
    """Return the fleet that records describe.

    Where a VM is named by several upstreams, the one that started last is
    there now.
    """
    configuration = previous.configuration
    entries = []
    drained_data_centres = []
    for record in records:
        match record.document:
            case Configuration() as found:
                configuration = found
            case TakenOut(data_centre):
                drained_data_centres.append(data_centre)
            case UpstreamEntry() as entry:
                entries.append(entry)
    entries.sort(key=lambda one: one.born)
    upstreams_by_host = {entry.host: entry for entry in entries}
    upstreams = defaultdict(list)
    for entry in upstreams_by_host.values():
        upstreams[entry.service].append(entry)
    routes, services = previous.routes, previous.services
    if (
        configuration is not None
        and configuration is not previous.configuration
    ):
        routes = {route.key: route for route in configuration.routes}
        services = {one.name: one for one in configuration.services}
    return FleetIndex(
        configuration,
        routes,
        services,
        upstreams,
        upstreams_by_host,
        frozenset(drained_data_centres),
    )
