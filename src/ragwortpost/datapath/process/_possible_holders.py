"""The agents that may hold flows, derived from the view and the directory."""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import chain
from typing import Final

from ragwortpost.datapath.connection import (
    FlowKey,
    PossibleHolders,
    RegistrarTable,
    route_key_of,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeRole
from ragwortpost.datapath.process._peer_directory import Peer
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector
from ragwortpost.datapath.version import EMPTY_INDEX, FleetIndex, UpstreamEntry

# An agent that the view does not list, or whose upstream has lapsed, is assumed
# to have stopped with its upstream after this time without a digest or reply:
# the view may be outdated.
HOLDER_TIMEOUT_SECONDS: Final = 2.0
# The same time for an agent that a fresh view does not list. A new upstream
# takes at most this long to appear in all views.
UNLISTED_HOLDER_TIMEOUT_SECONDS: Final = 0.5
# Time for which derived data is used while the view and the set of peers stay
# the same: an agent becomes unresponsive without an event. It is the interval
# of ticks.
MAX_AGE_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class _Derived:
    """Data derived from one state of the view and the directory."""

    # What it is derived from.
    fleet: FleetIndex
    peers: int
    derived_at: float
    # Possible holders of each service's flows, without those of others.
    hosts: Mapping[str, Mapping[str, None]]
    # Addresses of all these.
    live: frozenset[str] = frozenset()
    # Results for the services that were asked about.
    holders: dict[str, PossibleHolders] = field(default_factory=dict)


class HolderDirectory:
    """Possible holders and registrars of each service's flows.

    No call iterates over all upstreams or peers unless the view or the peers
    have changed or a tick has passed.
    """

    def __init__(
        self, context: NodeContext, selector: UpstreamSelector
    ) -> None:
        """Initialize with the view and the peer directory of a process."""
        self._clock = context.clock
        self._state = context.state
        self._directory = context.directory
        self._data_centre = context.settings.data_centre
        self._selector = selector
        self._derived = _Derived(EMPTY_INDEX, 0, 0, {})
        self._registrars: Mapping[str, RegistrarTable] = {}
        self._registrar_fleet = EMPTY_INDEX
        context.directory.subscribe_loads(self._on_message)

    def registrars(self, service: str, flow: FlowKey) -> Sequence[str]:
        """Return the agents that a flow of a service is registered with."""
        fleet = self._state.fleet
        if fleet is not self._registrar_fleet:
            self._registrar_fleet = fleet
            self._registrars = {
                name: self._registrar_table(name, upstreams)
                for name, upstreams in fleet.upstreams.items()
            }
        table = self._registrars.get(service)
        return table.registrars_of(flow) if table else ()

    def refresh(self) -> None:
        """Derive all data again when it is next used."""
        self._derived = replace(self._derived, derived_at=-math.inf)

    def possible_holders(self, service: str) -> PossibleHolders:
        """Return all agents that may hold flows of a service."""
        derived = self._current()
        holders = derived.holders.get(service)
        if holders is None:
            own = derived.hosts.get(service, {})
            others = {
                host: None
                for hosts in derived.hosts.values()
                for host in hosts
                if host not in own
            }
            holders = PossibleHolders(tuple(own), tuple(others))
            derived.holders[service] = holders
        return holders

    def holders_without_view(
        self, flow: FlowKey
    ) -> tuple[Sequence[str], Sequence[str]]:
        """Return local and remote agents that may hold a flow.

        They are the known agents of services whose agents report that they
        serve the flow's route.
        """
        peers = self._directory.peers
        local: list[str] = []
        remote: list[str] = []
        for service in self._directory.services_of(route_key_of(flow)):
            for host in self.possible_holders(service).own:
                digest = peers[host].digest
                is_local = digest.data_centre == self._data_centre
                (local if is_local else remote).append(host)
        return local, remote

    def _on_message(self, host: str) -> None:
        """Derive all data again if an agent has become responsive.

        A flow that this agent may hold must not be reset without its denial.
        """
        peer = self._directory.peers.get(host)
        if peer is None or host in self._derived.live:
            return
        if peer.digest.role == NodeRole.AGENT.value:
            self.refresh()

    def _registrar_table(
        self, service: str, upstreams: Sequence[UpstreamEntry]
    ) -> RegistrarTable:
        """Return a table for a service, the same as before if it may stay."""
        hosts = tuple(upstream.host for upstream in upstreams)
        table = self._registrars.get(service)
        if table is not None and table.has_hosts(hosts):
            return table
        return RegistrarTable(hosts)

    def _current(self) -> _Derived:
        derived = self._derived
        now = self._clock.monotonic()
        if (
            derived.fleet is not self._state.fleet
            or derived.peers != len(self._directory.peers)
            or now - derived.derived_at >= MAX_AGE_SECONDS
        ):
            derived = self._derive(now)
            self._derived = derived
        return derived

    def _derive(self, now: float) -> _Derived:
        fleet = self._state.fleet
        hosts: defaultdict[str, dict[str, None]] = defaultdict(dict)
        for service, upstreams in fleet.upstreams.items():
            for upstream in upstreams:
                if not self._is_lapsed_and_unresponsive(upstream):
                    hosts[service][upstream.host] = None
        peers = self._directory.peers
        listed = fleet.upstreams_by_host if self._state.is_fresh else peers
        for host, peer in peers.items():
            if _is_live_agent(peer, now, unlisted=host not in listed):
                hosts[peer.digest.service][host] = None
        return _Derived(
            fleet,
            len(peers),
            now,
            hosts,
            frozenset(chain.from_iterable(hosts.values())),
        )

    def _is_lapsed_and_unresponsive(self, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream lapsed and its agent is unresponsive."""
        if not self._state.is_lapsed(upstream.ident):
            return False
        return self._selector.is_unresponsive(upstream.host)


def _is_live_agent(peer: Peer, now: float, *, unlisted: bool) -> bool:
    """Return whether a peer is a responsive agent."""
    if peer.digest.role != NodeRole.AGENT.value:
        return False
    timeout = (
        UNLISTED_HOLDER_TIMEOUT_SECONDS if unlisted else HOLDER_TIMEOUT_SECONDS
    )
    return now - peer.last_received_at < timeout
