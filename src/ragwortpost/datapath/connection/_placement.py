"""An entry's choice of the upstream for a new flow.

Answers a service whose upstreams have few slots each: any unlucky pick makes a
queue, so the least loaded upstream of the entry's own data centre is taken,
and one elsewhere only if every near one would make the request wait.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

# Load added to an upstream in another data centre: half a slot, so that
# a near upstream with a free slot always goes before a far one.
FAR_PENALTY: Final = 0.5
# Load added to an upstream that is still cold: it goes after all others.
COLD_PENALTY: Final = 4.0
# Load added to an upstream whose agent was not heard of for a while.
SILENT_PENALTY: Final = 100.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may take a new flow."""

    # Address of its agent.
    agent: str
    # Whether it is in the entry's own data centre.
    near: bool
    # Requests in work, by the agent's report and this entry's own choices.
    load: float
    # Requests it works on at once.
    slots: int
    # Whether it has just started.
    cold: bool
    # Whether its agent was not heard of for a while.
    silent: bool


def expected_wait(candidate: Candidate) -> float:
    """Return how loaded a candidate is, in units of all its slots."""
    wait = candidate.load / max(1, candidate.slots)
    if not candidate.near:
        wait += FAR_PENALTY
    if candidate.cold:
        wait += COLD_PENALTY
    if candidate.silent:
        wait += SILENT_PENALTY
    return wait


def choose(
    candidates: Sequence[Candidate],
    tried: Collection[str],
    rng: random.Random,
) -> Candidate | None:
    """Return the least loaded candidate that was not tried, if there is one.

    Ties are broken at random, so that entries with equal views don't all
    choose the same upstream.
    """
    fresh = [one for one in candidates if one.agent not in tried]
    if not fresh:
        return None
    return min(fresh, key=lambda one: (expected_wait(one), rng.random()))
