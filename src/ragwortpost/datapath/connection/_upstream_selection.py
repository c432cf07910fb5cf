"""Selects the upstream of a new flow, in an entry.

Upstreams may have few slots, so that a random choice soon builds a queue: the
least loaded upstream is selected, preferably in the entry's own data centre.
To survive the load after a mass restart, no upstream gets more than a short
queue; flows that find all queues full wait at the entry.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

# Penalties are added to the load score, in units of all slots of an upstream.
# An upstream in another data centre: a local one with less than half of its
# slots in use is preferred to it.
REMOTE_PENALTY: Final = 0.5
# An upstream that is still slow after its start.
WARM_UP_PENALTY: Final = 0.5
# An upstream whose agent is unresponsive.
UNRESPONSIVE_PENALTY: Final = 100.0
# Requests in progress or queued for each slot of an upstream, at most. The
# last one waits for as long as about four requests take, the most that a
# latency objective allows.
BACKLOG_PER_SLOT: Final = 4
# Requests for each slot that flows of more urgent routes may add to a backlog
# that those of other routes have filled.
URGENT_RESERVE_PER_SLOT: Final = 2
# Requests for each slot by which the backlog that room is granted for is
# shorter. A flow that has waited has less time left for the backlog, and grants
# refill it without delay: with four requests, 1.5 times the capacity was
# answered in time less often (0.54 of the callers instead of 0.63).
GRANT_MARGIN_PER_SLOT: Final = 1
# Share of a route's target in which the requests in progress or queued at a
# slow upstream should finish.
BACKLOG_TARGET_SHARE: Final = 0.8
# An upstream is slow if it takes this many times as long for a request as the
# median upstream. Smaller differences are within the spread of requests.
SLOW_FACTOR: Final = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that a new flow may be assigned to."""

    # Address of its agent.
    agent: str
    # Whether it is in the entry's own data centre.
    is_local: bool
    # Its load: requests in progress or expected, as last reported by its agent,
    # and new flows that this entry has assigned to it since.
    load: float
    # Requests that it processes concurrently.
    slots: int
    # Whether it has just started and is warming up.
    warming_up: bool
    # Whether the entry received no message from its agent recently.
    agent_unresponsive: bool
    # How many times as long it takes for a request as the median upstream, at
    # least one.
    slowdown: float = 1
    # Load at which it gets no more flows of this route; none for that of its
    # slots.
    limit: int | None = None


def backlog_limit(
    slots: int,
    pace: float = 0,
    target: float = math.inf,
    *,
    urgent: bool = False,
) -> int:
    """Return how many requests an upstream may have, queued ones included.

    ``pace`` is the time in seconds that it takes for each of them, zero if
    unknown. One that can't finish so many within the target gets fewer. Flows
    whose route is more urgent than others of their service have a reserve.
    """
    slots = max(1, slots)
    limit = BACKLOG_PER_SLOT * slots
    if urgent:
        limit += URGENT_RESERVE_PER_SLOT * slots
    if pace <= 0 or target * BACKLOG_TARGET_SHARE >= limit * pace:
        return limit
    return max(slots, int(target * BACKLOG_TARGET_SHARE / pace))


def grant_limit(slots: int, limit: int) -> int:
    """Return the backlog up to which room is granted.

    ``limit`` is that for new flows that have not waited.
    """
    slots = max(1, slots)
    return max(slots, limit - GRANT_MARGIN_PER_SLOT * slots)


def slowdown(pace: float, median_pace: float) -> float:
    """Return how many times as slow as the median an upstream is.

    Returns one unless it is clearly slower.
    """
    if median_pace <= 0 or pace < SLOW_FACTOR * median_pace:
        return 1
    return pace / median_pace


def load_score(candidate: Candidate) -> float:
    """Return the load per slot, with the penalties; lower is better.

    The load of a slow upstream counts for as many requests as others finish
    meanwhile, and so does the new request itself.
    """
    load = candidate.load / max(1, candidate.slots)
    score = (load + 1) * candidate.slowdown - 1
    if not candidate.is_local:
        score += REMOTE_PENALTY
    if candidate.warming_up:
        score += WARM_UP_PENALTY
    if candidate.agent_unresponsive:
        score += UNRESPONSIVE_PENALTY
    return score


def select_upstream(
    candidates: Sequence[Candidate],
    tried: Collection[str],
    rng: random.Random,
) -> Candidate | None:
    """Return the least loaded candidate that was not tried and has room.

    Ties are broken at random, so that entries with equal views don't all
    select the same upstream.
    """
    eligible = [
        candidate
        for candidate in candidates
        if has_room(candidate) and candidate.agent not in tried
    ]
    if not eligible:
        return None
    return min(
        eligible,
        key=lambda candidate: (load_score(candidate), rng.random()),
    )


def select_local_first(
    local: Sequence[Candidate],
    remote: Callable[[], Sequence[Candidate]],
    tried: Collection[str],
    rng: random.Random,
) -> Candidate | None:
    """Select an upstream, and compute remote candidates only if needed.

    A local candidate whose score is below the remote penalty wins over every
    remote one, so most selections look at a single data centre.
    """
    selected = select_upstream(local, tried, rng)
    if selected is not None and load_score(selected) < REMOTE_PENALTY:
        return selected
    return select_upstream([*local, *remote()], tried, rng)


def has_room(candidate: Candidate) -> bool:
    """Return whether a candidate may get another flow."""
    if candidate.limit is None:
        return candidate.load < backlog_limit(candidate.slots)
    return candidate.load < candidate.limit
