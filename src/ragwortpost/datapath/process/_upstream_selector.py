"""Selects upstreams for new flows."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection import (
    Candidate,
    FlowKey,
    backlog_limit,
    route_key_of,
    select_local_first,
    slowdown,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._peer_directory import Peer
from ragwortpost.datapath.version import UpstreamEntry

# An agent without a digest or reply for this time gets no new flows while
# others can take them. Exceeds two gossip rounds.
UNRESPONSIVE_SECONDS: Final = 1.0
# A reported load older than this is outdated: one more new flow is tried at an
# agent that reported a full queue.
MAX_LOAD_AGE_SECONDS: Final = 0.06
# The median pace of a service's upstreams is computed again after this time.
MEDIAN_PACE_SECONDS: Final = 0.2


@dataclass(frozen=True, slots=True)
class _Requirements:
    """What the route of a new flow requires of its upstream."""

    # Seconds within which the route's requests should be answered.
    target: float
    # Whether its service also has less urgent routes.
    urgent: bool
    # Median pace of the service's upstreams in seconds, zero if unknown.
    median_pace: float


class UpstreamSelector:
    """Selects upstreams by view, liveness and load."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize with the view and the peer directory of a process."""
        self._clock = context.clock
        self._data_centre = context.settings.data_centre
        self._rng = context.rng
        self._state = context.state
        self._directory = context.directory
        # Time of the computation and the median, by service.
        self._median_paces: dict[str, tuple[float, float]] = {}

    def select(
        self, flow: FlowKey, service: str, tried: Collection[str]
    ) -> Candidate | None:
        """Return the upstream for a new flow of a service, if one has room."""
        fleet = self._state.fleet
        requirements = _Requirements(
            fleet.routes[route_key_of(flow)].target,
            fleet.is_urgent(flow),
            self._median_pace(service),
        )
        local, remote = [], []
        for upstream in fleet.upstreams.get(service, ()):
            if upstream.data_centre == self._data_centre:
                local.append(upstream)
            else:
                remote.append(upstream)
        return select_local_first(
            self._candidates(local, requirements),
            lambda: self._candidates(remote, requirements),
            tried,
            self._rng,
        )

    def has_upstream(self, service: str | None) -> bool:
        """Return whether an upstream of a service runs, even if it is full."""
        if service is None:
            return False
        fleet = self._state.fleet
        return any(
            fleet.accepts_new_flows(upstream)
            and not self.is_unresponsive(upstream.host)
            for upstream in fleet.upstreams.get(service, ())
        )

    def is_unresponsive(self, agent: str) -> bool:
        """Return whether no digest or reply of an agent arrived recently."""
        peer = self._directory.peers.get(agent)
        if peer is None:
            return True
        return (
            self._clock.monotonic() - peer.last_received_at
            > UNRESPONSIVE_SECONDS
        )

    def _candidates(
        self, upstreams: Iterable[UpstreamEntry], requirements: _Requirements
    ) -> list[Candidate]:
        """Return the upstreams that may be assigned a new flow."""
        fleet = self._state.fleet
        return [
            self._candidate(upstream, requirements)
            for upstream in upstreams
            if fleet.accepts_new_flows(upstream)
            and self._is_available(upstream.host)
            and not self._is_lapsed_and_unresponsive(upstream)
        ]

    def _candidate(
        self, upstream: UpstreamEntry, requirements: _Requirements
    ) -> Candidate:
        peer = self._directory.peers.get(upstream.host)
        pace = peer.pace if peer else 0
        limit = backlog_limit(
            upstream.slots,
            pace,
            requirements.target,
            urgent=requirements.urgent,
        )
        return Candidate(
            agent=upstream.host,
            is_local=upstream.data_centre == self._data_centre,
            load=self._estimated_load(peer, limit),
            slots=upstream.slots,
            warming_up=self._state.warm_up_left(upstream.ident) > 0,
            agent_unresponsive=self.is_unresponsive(upstream.host),
            slowdown=slowdown(pace, requirements.median_pace),
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
        if self._directory.has_timed_out(agent, now):
            return False
        # An unresponsive agent gets one new flow per RETRY_AFTER_SECONDS, and
        # more once it replies.
        attempted = self._directory.has_recent_attempt(agent, now)
        return not (attempted and self.is_unresponsive(agent))
