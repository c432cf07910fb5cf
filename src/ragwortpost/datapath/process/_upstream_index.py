"""Keeps the upstreams of each class of flows ordered by load, in an entry.

A load report updates the place of one upstream. What changes with time alone
is checked when an upstream is selected, and for all upstreams now and then.
"""

import random
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from ragwortpost._clock import Clock
from ragwortpost.datapath.connection import Candidate, LoadIndex, load_score
from ragwortpost.datapath.process._fleet_state import FleetState
from ragwortpost.datapath.version import FleetIndex, UpstreamEntry

# All upstreams are evaluated again after this time, e.g. as a warm-up ends or a
# load report is outdated.
REBUILD_SECONDS: Final = 0.5
# Upstreams that may get no flows at the moment are evaluated again after this
# time, which is shorter than a tick.
RETRY_SECONDS: Final = 0.015
# Classes that no flow has used for this time are removed: a change of a route's
# target adds a class.
CLASS_IDLE_SECONDS: Final = 30.0


@dataclass(frozen=True, slots=True)
class FlowClass:
    """Flows for which the same upstreams are candidates."""

    service: str
    # Seconds within which the route's requests should be answered.
    target: float
    # Whether its service also has less urgent routes.
    urgent: bool
    # Whether only upstreams with a free slot are candidates.
    idle: bool = False


# Returns the candidate that an upstream is, or none if it gets no flows.
Evaluate: TypeAlias = Callable[[UpstreamEntry, FlowClass], Candidate | None]


@dataclass(slots=True)
class _ClassIndex:
    """The candidates of one class of flows."""

    loads: LoadIndex
    # The fleet whose upstreams were evaluated.
    fleet: FleetIndex
    built_at: float
    # Agents whose load was reported since the last selection.
    changed: set[str] = field(default_factory=set)
    # Agents of upstreams that may get no flows at the moment.
    unavailable: set[str] = field(default_factory=set)
    # Monotonic seconds at which these were evaluated.
    retried_at: float = 0
    # Monotonic seconds of the last selection.
    used_at: float = 0


class UpstreamIndex:
    """The candidates of all classes of flows."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        rng: random.Random,
        evaluate: Evaluate,
    ) -> None:
        """Initialize with the view and the evaluation of upstreams."""
        self._clock = clock
        self._state = state
        self._rng = rng
        self._evaluate = evaluate
        self._classes: dict[FlowClass, _ClassIndex] = {}

    def __len__(self) -> int:
        """Return the number of classes that flows have used recently."""
        return len(self._classes)

    def on_load_change(self, agent: str) -> None:
        """Record that the load of an agent has changed."""
        for index in self._classes.values():
            index.changed.add(agent)

    def select(
        self, flow_class: FlowClass, tried: Collection[str]
    ) -> Candidate | None:
        """Return the least loaded upstream with room that was not tried."""
        index = self._refresh(flow_class)
        found = index.loads.best(tried)
        while found is not None:
            # Its place may be outdated by the time that has passed.
            candidate = self._update(index, flow_class, found.agent)
            if candidate is not None and _is_as_good(candidate, found):
                return candidate
            found = index.loads.best(tried)
        return None

    def _refresh(self, flow_class: FlowClass) -> _ClassIndex:
        now = self._clock.monotonic()
        fleet = self._state.fleet
        index = self._classes.get(flow_class)
        if (
            index is None
            or not _has_same_rules(index.fleet, fleet)
            or now - index.built_at >= REBUILD_SECONDS
        ):
            index = _ClassIndex(LoadIndex(self._rng), fleet, now)
            index.used_at = now
            self._classes[flow_class] = index
            self._expire(now)
            for upstream in fleet.upstreams.get(flow_class.service, ()):
                self._update(index, flow_class, upstream.host)
            return index
        if index.fleet is not fleet:
            index.changed.update(_changed_hosts(index.fleet, fleet))
            index.fleet = fleet
        index.used_at = now
        if now - index.retried_at >= RETRY_SECONDS:
            index.retried_at = now
            index.changed |= index.unavailable
            index.unavailable.clear()
        for agent in index.changed:
            self._update(index, flow_class, agent)
        index.changed.clear()
        return index

    def _expire(self, now: float) -> None:
        """Remove the classes that no flow has used recently."""
        for flow_class, index in tuple(self._classes.items()):
            if now - index.used_at > CLASS_IDLE_SECONDS:
                self._classes.pop(flow_class)

    def _update(
        self, index: _ClassIndex, flow_class: FlowClass, agent: str
    ) -> Candidate | None:
        """Evaluate an upstream; return its candidate if there is one."""
        upstream = self._state.fleet.upstreams_by_host.get(agent)
        if upstream is None or upstream.service != flow_class.service:
            index.loads.discard(agent)
            return None
        candidate = self._evaluate(upstream, flow_class)
        if candidate is None:
            index.loads.discard(agent)
            index.unavailable.add(agent)
            return None
        index.loads.put(candidate)
        return candidate


def _has_same_rules(before: FleetIndex, after: FleetIndex) -> bool:
    """Return whether only single upstreams may get other flows."""
    return (
        before.configuration is after.configuration
        and before.drained_data_centres == after.drained_data_centres
    )


def _changed_hosts(before: FleetIndex, after: FleetIndex) -> Iterator[str]:
    """Yield the hosts whose upstreams differ.

    After a mass restart the view changes many times a second, each time in few
    upstreams.
    """
    for host, upstream in after.upstreams_by_host.items():
        if before.upstreams_by_host.get(host) is not upstream:
            yield host


def _is_as_good(candidate: Candidate, found: Candidate) -> bool:
    if load_score(candidate) > load_score(found):
        return False
    return candidate.limit is None or candidate.load < candidate.limit
