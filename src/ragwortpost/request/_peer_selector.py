"""Selects the peer that a request is handed off to.

Here a peer is the agent of another upstream of the service.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.version import Upstream

_ESTIMATE_LIFETIME_SECONDS: Final = 2.0
# Assumed for a peer without a recent estimate.
_DEFAULT_FREE_SLOTS: Final = 1


@dataclass(frozen=True, slots=True)
class _SlotEstimate:
    """A peer's free slots as last reported, less those used since."""

    # Number of free slots.
    free_slots: int
    # Monotonic time of the last change in seconds.
    updated_at: float


class PeerSelector:
    """Picks the peer with more free slots of two (power of two choices).

    The free slots are estimates; the peer itself admits or refuses a request.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Initialize with the clock and the random generator."""
        self._clock = clock
        self._rng = rng
        self._estimates: dict[str, _SlotEstimate] = {}

    def record_free_slots(self, upstream: str, free_slots: int) -> None:
        """Record the free slots that a peer reported."""
        self._estimates[upstream] = _SlotEstimate(
            free_slots, self._clock.monotonic()
        )

    def count_used_slot(self, upstream: str) -> None:
        """Count one slot of a peer as used until its next report."""
        self.record_free_slots(upstream, max(0, self.free_slots(upstream) - 1))

    def free_slots(self, upstream: str) -> int:
        """Return the estimated free slots of a peer, or the default."""
        estimate = self._estimates.get(upstream)
        if estimate is None:
            return _DEFAULT_FREE_SLOTS
        if (
            self._clock.monotonic() - estimate.updated_at
            > _ESTIMATE_LIFETIME_SECONDS
        ):
            return _DEFAULT_FREE_SLOTS
        return estimate.free_slots

    def select(
        self,
        candidates: Sequence[Upstream],
        tried: Collection[str],
    ) -> Upstream | None:
        """Return the one with more free slots of two random untried peers."""
        untried = [peer for peer in candidates if peer.name not in tried]
        if not untried:
            return None
        sampled = self._rng.sample(untried, min(2, len(untried)))
        return max(sampled, key=lambda peer: self.free_slots(peer.name))

    def remove_absent(self, present: Collection[str]) -> None:
        """Drop the estimates of upstreams no longer in the settings."""
        for name in self._estimates.keys() - set(present):
            self._estimates.pop(name)
