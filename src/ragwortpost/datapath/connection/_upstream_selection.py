"""An entry's choice of the upstream for a new flow.

Answers a service whose upstreams have few slots each: any unlucky pick makes a
queue, so the least loaded upstream is taken, preferably of the entry's own
data centre. Answers the rush after a mass restart, too: no upstream is given
more than a short queue, and flows that find all queues full wait at the entry
for the next one that has room.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

# Load added to an upstream in another data centre, in units of all slots: a
# near upstream with a free slot goes before a far one.
REMOTE_PENALTY: Final = 0.5
# Load added to an upstream that is still slow after its start.
WARM_UP_PENALTY: Final = 0.5
# Load added to an upstream whose agent was not heard of for a while.
UNRESPONSIVE_PENALTY: Final = 100.0
# Requests an upstream may have at hand for each slot. The last one of them
# waits for as long as about four requests take, the most that a latency
# objective leaves room for.
BACKLOG_PER_SLOT: Final = 4


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may take a new flow."""

    # Address of its agent.
    agent: str
    # Whether it is in the entry's own data centre.
    is_local: bool
    # Requests in work, by the agent's report and this entry's own choices.
    load: float
    # Requests it works on at once.
    slots: int
    # Whether it has just started.
    warming_up: bool
    # Whether its agent was not heard of for a while.
    unresponsive: bool


def backlog_limit(slots: int) -> int:
    """Return how many requests an upstream may have at hand."""
    return BACKLOG_PER_SLOT * max(1, slots)


def load_score(candidate: Candidate) -> float:
    """Return how loaded a candidate is, in units of all its slots."""
    score = candidate.load / max(1, candidate.slots)
    if not candidate.is_local:
        score += REMOTE_PENALTY
    if candidate.warming_up:
        score += WARM_UP_PENALTY
    if candidate.unresponsive:
        score += UNRESPONSIVE_PENALTY
    return score


def select_upstream(
    candidates: Sequence[Candidate],
    tried: Collection[str],
    rng: random.Random,
) -> Candidate | None:
    """Return the least loaded candidate that was not tried and has room.

    Ties are broken at random, so that entries with equal views don't all
    choose the same upstream.
    """
    eligible = [
        one
        for one in candidates
        if one.load < backlog_limit(one.slots) and one.agent not in tried
    ]
    if not eligible:
        return None
    return min(
        eligible,
        key=lambda one: (load_score(one), rng.random()),
    )


def select_local_first(
    local: Sequence[Candidate],
    remote: Callable[[], Sequence[Candidate]],
    tried: Collection[str],
    rng: random.Random,
) -> Candidate | None:
    """Select an upstream; look at remote candidates only if need be.

    A near one that waits for less than the border costs goes before every far
    one, however idle, so that most choices look at one data centre only.
    """
    selected = select_upstream(local, tried, rng)
    if selected is not None and load_score(selected) < REMOTE_PENALTY:
        return selected
    return select_upstream([*local, *remote()], tried, rng)
