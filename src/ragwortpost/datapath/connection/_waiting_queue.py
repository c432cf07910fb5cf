"""The new flows of one service that wait at an entry, in order.

More urgent priorities come first. Within a priority, flows that can still be
served within their target come first, and then the earliest deadline.
The flows of a priority are a sorted list and not a heap, so that the number of
flows before a new one is known also where it is not the last.
"""

import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Final, TypeAlias

from ragwortpost.datapath.connection._packet import (
    FlowKey,
    RouteKey,
    route_key_of,
)
from ragwortpost.datapath.connection._room_grants import Demand

# A refused caller that returns within this time keeps its place.
RETURN_TIME_SECONDS: Final = 2.0

# Deadline of a flow and its number, which orders equal deadlines by arrival.
Place: TypeAlias = tuple[float, int]
# Its place, the flow, and the time from which it is overdue.
_QueuedFlow: TypeAlias = tuple[Place, FlowKey, float]
_CallerKey: TypeAlias = tuple[bytes, RouteKey]
_ADDRESS_BYTES: Final = 4


class WaitingQueue:
    """The waiting flows of one service.

    Within a priority, flows that can still be served within their target come
    before overdue ones. Otherwise, each of them would wait in an overload until
    it is too late for the target.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._timely: dict[int, list[_QueuedFlow]] = {}
        self._overdue: dict[int, list[_QueuedFlow]] = {}
        self._by_flow: dict[FlowKey, tuple[int, _QueuedFlow]] = {}
        self._counts: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._by_flow)

    @property
    def counts(self) -> Mapping[int, int]:
        """Number of waiting flows, by priority."""
        return self._counts

    def add(
        self,
        flow: FlowKey,
        priority: int,
        place: Place,
        overdue_at: float = math.inf,
    ) -> None:
        """Add a flow that does not wait yet.

        From ``overdue_at`` on, in monotonic seconds, it can't be served within
        its target.
        """
        queued = (place, flow, overdue_at)
        insort(self._timely.setdefault(priority, []), queued)
        self._by_flow[flow] = (priority, queued)
        self._counts[priority] += 1

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow, if it waits."""
        known = self._by_flow.pop(flow, None)
        if known is None:
            return
        priority, queued = known
        if not _remove(self._timely.get(priority, []), queued):
            _remove(self._overdue[priority], queued)
        self._counts[priority] -= 1
        if not self._counts[priority]:
            self._counts.pop(priority)

    def first(self, now: float = -math.inf) -> FlowKey | None:
        """Return the flow whose turn it is, or none if no flow waits."""
        first = self._first(now)
        return None if first is None else first[1]

    def has_before(self, priority: int) -> bool:
        """Return whether a flow of this or a more urgent priority waits."""
        return bool(self._counts) and min(self._counts) <= priority

    def ahead(self, priority: int, place: Place) -> int:
        """Return how many flows of a priority come before a place."""
        timely = self._timely.get(priority, [])
        overdue = self._overdue.get(priority, [])
        at = bisect_left(overdue, (place, b'', 0))
        if at < len(overdue) and overdue[at][0] == place:
            return len(timely) + at
        return bisect_left(timely, (place, b'', 0))

    def demand(self, now: float = -math.inf) -> Demand | None:
        """Return the demand to send to agents, or none if no flow waits."""
        first = self._first(now)
        if first is None:
            return None
        return Demand(len(self), min(self._counts), first[0][0])

    def _first(self, now: float) -> _QueuedFlow | None:
        if not self._counts:
            return None
        priority = min(self._counts)
        timely = self._timely.get(priority, [])
        overdue = self._overdue.setdefault(priority, [])
        while timely and timely[0][2] <= now:
            insort(overdue, timely.pop(0))
        return timely[0] if timely else overdue[0]


def _remove(queue: list[_QueuedFlow], queued: _QueuedFlow) -> bool:
    """Remove a flow from a sorted queue; return whether it was there."""
    at = bisect_left(queue, queued)
    if at == len(queue) or queue[at] != queued:
        return False
    queue.pop(at)
    return True


class RefusalTimes:
    """The times at which it is decided again whether a flow is refused."""

    def __init__(self) -> None:
        """Start empty."""
        self._times: dict[FlowKey, float] = {}
        self._heap: list[tuple[float, FlowKey]] = []

    def schedule(self, flow: FlowKey, at: float) -> None:
        """Set the time of a flow, in monotonic seconds."""
        self._times[flow] = at
        heappush(self._heap, (at, flow))

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow that does not wait any more."""
        self._times.pop(flow, None)

    def pop_due(self, now: float) -> Iterator[FlowKey]:
        """Remove and yield the flows whose time has come."""
        while self._heap and self._heap[0][0] <= now:
            at, flow = heappop(self._heap)
            if self._times.get(flow) == at:
                self._times.pop(flow)
                yield flow


@dataclass(frozen=True, slots=True)
class _Refused:
    """A refused flow of a caller."""

    # Monotonic seconds of the caller's first attempt, and of the refusal.
    arrived_at: float
    refused_at: float


class RefusedCallers:
    """The callers that were refused a moment ago, by address and route."""

    def __init__(self) -> None:
        """Start empty."""
        self._refused: dict[_CallerKey, _Refused] = {}

    def record(self, flow: FlowKey, arrived_at: float, now: float) -> None:
        """Record that a flow was refused that arrived at a time."""
        key = (flow[:_ADDRESS_BYTES], route_key_of(flow))
        self._refused.pop(key, None)
        self._refused[key] = _Refused(arrived_at, now)
        self._expire(now)

    def arrival(self, flow: FlowKey, now: float) -> float:
        """Return the time of arrival that gives a new flow its place.

        A refusal counts for one flow: the caller may have others.
        """
        self._expire(now)
        key = (flow[:_ADDRESS_BYTES], route_key_of(flow))
        refused = self._refused.pop(key, None)
        if refused is None or now - refused.arrived_at > RETURN_TIME_SECONDS:
            return now
        return refused.arrived_at

    def _expire(self, now: float) -> None:
        while self._refused:
            key, refused = next(iter(self._refused.items()))
            if now - refused.refused_at <= RETURN_TIME_SECONDS:
                return
            self._refused.pop(key)
