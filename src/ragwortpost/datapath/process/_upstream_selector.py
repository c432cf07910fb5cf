"""Selects upstreams for new flows."""

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

from ragwortpost.datapath.connection import (
    Candidate,
    FlowKey,
    RefusalPauses,
    backlog_limit,
    route_key_of,
    slowdown,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._peer_directory import Peer
from ragwortpost.datapath.process._upstream_index import (
    FlowClass,
    UpstreamIndex,
)
from ragwortpost.datapath.version import FleetIndex, UpstreamEntry

# An agent without a digest or reply for this time gets no new flows while
# others can take them. Exceeds two gossip rounds.
UNRESPONSIVE_SECONDS: Final = 1.0
# A reported load older than this is outdated: one more new flow is tried at an
# agent that reported a full queue. Agents that have room grant it much sooner.
MAX_LOAD_AGE_SECONDS: Final = 0.5
# The median pace of a service's upstreams is computed again after this time.
MEDIAN_PACE_SECONDS: Final = 0.2
# What changes with the view or in seconds is computed again after this time.
FLEET_SUMMARY_SECONDS: Final = 0.1
# Maximum agents that are told how many flows wait. Each of them that has room
# grants it, so that further ones would only reserve room in vain.
MAX_DEMAND_AGENTS: Final = 16
# Agents of other data centres are told as well while there are fewer than this
# in the entry's own.
MIN_DEMAND_AGENTS: Final = 8


@dataclass(frozen=True, slots=True)
class _ServiceSummary:
    """State of a service's upstreams that is computed at intervals."""

    computed_at: float
    fleet: FleetIndex
    # Whether an upstream runs, even if it is full.
    has_upstream: bool
    # The agents that are told how many flows wait.
    demand_agents: Sequence[str]


class UpstreamSelector:
    """Selects upstreams by view, liveness and load."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize with the view and the peer directory of a process."""
        self._clock = context.clock
        self._data_centre = context.settings.data_centre
        self._state = context.state
        self._directory = context.directory
        # Time of the computation and the median, by service.
        self._median_paces: dict[str, tuple[float, float]] = {}
        self._host = context.settings.host
        self._pauses = RefusalPauses()
        self._summaries: dict[str, _ServiceSummary] = {}
        self._index = UpstreamIndex(
            context.clock, context.state, context.rng, self._evaluate
        )
        context.directory.subscribe_loads(self._index.on_load_change)

    def select(
        self, flow: FlowKey, service: str, tried: Collection[str]
    ) -> Candidate | None:
        """Return the upstream for a new flow of a service, if one has room."""
        fleet = self._state.fleet
        target = fleet.routes[route_key_of(flow)].target
        flow_class = FlowClass(service, target, fleet.is_urgent(flow))
        return self._index.select(flow_class, tried)

    def select_idle(self, service: str) -> Candidate | None:
        """Return an upstream with a free slot for a waiting flow, if any."""
        flow_class = FlowClass(service, math.inf, urgent=False, idle=True)
        return self._index.select(flow_class, ())

    def service_of(self, agent: str) -> str | None:
        """Return the service of an agent's upstream, if it takes new flows."""
        fleet = self._state.fleet
        upstream = fleet.upstreams_by_host.get(agent)
        if upstream is None or not fleet.accepts_new_flows(upstream):
            return None
        return upstream.service

    def has_free_slot(self, agent: str) -> bool:
        """Return whether an agent has reported a free slot."""
        upstream = self._state.fleet.upstreams_by_host.get(agent)
        peer = self._directory.peers.get(agent)
        if upstream is None or peer is None:
            return False
        return peer.load < max(1, upstream.slots)

    def record_acceptance(self, agent: str) -> None:
        """Record that an agent's upstream has accepted a new flow."""
        self._pauses.clear(agent)

    def record_refusal(self, agent: str) -> None:
        """Record that an agent refused a new flow."""
        if self.has_free_slot(agent):
            self._pauses.record(agent, self._clock.monotonic())
            self._index.on_load_change(agent)

    def has_upstream(self, service: str) -> bool:
        """Return whether an upstream of a service runs, even if it is full."""
        return self._summary(service).has_upstream

    def demand_agents(self, service: str) -> Sequence[str]:
        """Return the agents that are told how many flows wait."""
        return self._summary(service).demand_agents

    def is_unresponsive(self, agent: str) -> bool:
        """Return whether no digest or reply of an agent arrived recently."""
        peer = self._directory.peers.get(agent)
        if peer is None:
            return True
        return (
            self._clock.monotonic() - peer.last_received_at
            > UNRESPONSIVE_SECONDS
        )

    def _summary(self, service: str) -> _ServiceSummary:
        now = self._clock.monotonic()
        fleet = self._state.fleet
        summary = self._summaries.get(service)
        if (
            summary is None
            or summary.fleet is not fleet
            or now - summary.computed_at >= FLEET_SUMMARY_SECONDS
        ):
            running = [
                upstream
                for upstream in fleet.upstreams.get(service, ())
                if fleet.accepts_new_flows(upstream)
                and not self.is_unresponsive(upstream.host)
            ]
            agents = self._choose_demand_agents(running)
            summary = _ServiceSummary(now, fleet, bool(running), agents)
            self._summaries[service] = summary
        return summary

    def _choose_demand_agents(
        self, running: Iterable[UpstreamEntry]
    ) -> Sequence[str]:
        """Return local agents, and some others if these are few.

        Entries choose different ones, and each the same ones at any time.
        """
        ranked = sorted(
            running,
            key=lambda upstream: (
                upstream.data_centre != self._data_centre,
                xxhash.xxh64_intdigest(
                    f'{self._host} {upstream.host}'.encode()
                ),
            ),
        )
        local = sum(
            upstream.data_centre == self._data_centre for upstream in ranked
        )
        count = min(max(local, MIN_DEMAND_AGENTS), MAX_DEMAND_AGENTS)
        return tuple(upstream.host for upstream in ranked[:count])

    def _evaluate(
        self, upstream: UpstreamEntry, flow_class: FlowClass
    ) -> Candidate | None:
        """Return an upstream's candidate, or none if it gets no new flows."""
        if (
            not self._state.fleet.accepts_new_flows(upstream)
            or not self._is_available(upstream.host)
            or self._is_lapsed_and_unresponsive(upstream)
        ):
            return None
        peer = self._directory.peers.get(upstream.host)
        pace = peer.pace if peer else 0
        if flow_class.idle:
            limit = max(1, upstream.slots)
            load = peer.load if peer else 0
        else:
            limit = backlog_limit(
                upstream.slots,
                pace,
                flow_class.target,
                urgent=flow_class.urgent,
            )
            load = self._estimated_load(peer, limit)
        return Candidate(
            agent=upstream.host,
            is_local=upstream.data_centre == self._data_centre,
            load=load,
            slots=upstream.slots,
            warming_up=self._state.warm_up_left(upstream.ident) > 0,
            agent_unresponsive=self.is_unresponsive(upstream.host),
            slowdown=slowdown(pace, self._median_pace(upstream.service)),
            limit=limit,
        )

    def _median_pace(self, service: str) -> float:
        """Return the median pace of a service's upstreams, zero if unknown."""
        now = self._clock.monotonic()
        computed_at, median = self._median_paces.get(service, (-math.inf, 0))
        if now - computed_at < MEDIAN_PACE_SECONDS:
            return median
        peers = self._directory.peers
        paces = sorted(
            peers[upstream.host].pace
            for upstream in self._state.fleet.upstreams.get(service, ())
            if upstream.host in peers and peers[upstream.host].pace
        )
        median = paces[len(paces) // 2] if paces else 0
        self._median_paces[service] = (now, median)
        return median

    def _estimated_load(self, peer: Peer | None, limit: int) -> float:
        if peer is None:
            return 0
        if (
            self._clock.monotonic() - peer.load_updated_at
            > MAX_LOAD_AGE_SECONDS
        ):
            return min(peer.load, limit - 1)
        return peer.load

    def _is_lapsed_and_unresponsive(self, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream lapsed and its agent is unresponsive."""
        if not self._state.is_lapsed(upstream.ident):
            return False
        return self.is_unresponsive(upstream.host)

    def _is_available(self, agent: str) -> bool:
        peer = self._directory.peers.get(agent)
        if peer is not None and peer.digest.leaving:
            return False
        now = self._clock.monotonic()
        if self._pauses.is_paused(agent, now):
            return False
        if self._directory.has_timed_out(agent, now):
            return False
        # An unresponsive agent gets one new flow per RETRY_AFTER_SECONDS, and
        # more once it replies.
        attempted = self._directory.has_recent_attempt(agent, now)
        return not (attempted and self.is_unresponsive(agent))
