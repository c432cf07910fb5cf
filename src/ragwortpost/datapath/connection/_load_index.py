"""The upstreams that have room for a class of flows, ordered by load score.

Selecting one of them costs the same for any number of upstreams.
"""

import random
from collections.abc import Collection
from heapq import heapify, heappop, heappush
from typing import Final, TypeAlias

from ragwortpost.datapath.connection._upstream_selection import (
    Candidate,
    has_room,
    load_score,
)

# Outdated elements are removed once there are this many for each candidate.
_MAX_OUTDATED_FACTOR: Final = 4
_MIN_COMPACTED: Final = 64

# Load score, a random number that breaks ties, a serial number, the candidate.
_Ranked: TypeAlias = tuple[float, float, int, Candidate]


class LoadIndex:
    """Candidates by agent, least loaded first.

    Ties are broken at random, so that entries with equal views don't all
    select the same upstream.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start empty."""
        self._rng = rng
        self._heap: list[_Ranked] = []
        self._serials: dict[str, int] = {}
        self._next_serial = 0

    def put(self, candidate: Candidate) -> None:
        """Add or replace a candidate; one without room is removed."""
        if not has_room(candidate):
            self.discard(candidate.agent)
            return
        self._next_serial += 1
        self._serials[candidate.agent] = self._next_serial
        heappush(
            self._heap,
            (
                load_score(candidate),
                self._rng.random(),
                self._next_serial,
                candidate,
            ),
        )
        limit = _MIN_COMPACTED + _MAX_OUTDATED_FACTOR * len(self._serials)
        if len(self._heap) > limit:
            self._heap = [
                ranked for ranked in self._heap if self._is_current(ranked)
            ]
            heapify(self._heap)

    def discard(self, agent: str) -> None:
        """Remove the candidate of an agent, if there is one."""
        self._serials.pop(agent, None)

    def best(self, tried: Collection[str]) -> Candidate | None:
        """Return the least loaded candidate that was not tried."""
        skipped = []
        best = None
        while self._heap and best is None:
            ranked = self._heap[0]
            if not self._is_current(ranked):
                heappop(self._heap)
            elif ranked[3].agent in tried:
                skipped.append(heappop(self._heap))
            else:
                best = ranked[3]
        for ranked in skipped:
            heappush(self._heap, ranked)
        return best

    def _is_current(self, ranked: _Ranked) -> bool:
        return self._serials.get(ranked[3].agent) == ranked[2]
