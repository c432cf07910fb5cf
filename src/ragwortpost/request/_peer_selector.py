"""Chooses the peer agent that serves a request in this agent's stead."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.version import Upstream

_HINT_LIFETIME_SECONDS: Final = 2.0
_DEFAULT_FREE_SLOTS: Final = 1


@dataclass(frozen=True, slots=True)
class _Hint:
    """What a peer last said of its slots."""

    # Slots it had free.
    free_slots: int
    # When it said so, in seconds of the monotonic clock.
    received_at: float


class PeerSelector:
    """Two random choices over the free slots that peers last told of.

    A hint is only a hint: the peer itself admits or refuses.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without any hints."""
        self._clock = clock
        self._rng = rng
        self._hints: dict[str, _Hint] = {}

    def record_free_slots(self, upstream: str, free_slots: int) -> None:
        """Keep what a peer says of its free slots."""
        self._hints[upstream] = _Hint(free_slots, self._clock.monotonic())

    def reserve_slot(self, upstream: str) -> None:
        """Count one slot of a peer as taken until it says otherwise."""
        self.record_free_slots(upstream, max(0, self.free_slots(upstream) - 1))

    def free_slots(self, upstream: str) -> int:
        """Return the free slots of a peer as far as is known."""
        hint = self._hints.get(upstream)
        if hint is None:
            return _DEFAULT_FREE_SLOTS
        if self._clock.monotonic() - hint.received_at > _HINT_LIFETIME_SECONDS:
            return _DEFAULT_FREE_SLOTS
        return hint.free_slots

    def select(
        self,
        candidates: Sequence[Upstream],
        tried: Collection[str],
    ) -> Upstream | None:
        """Return the better of two peers sampled at random, or none if none."""
        untried = [peer for peer in candidates if peer.name not in tried]
        if not untried:
            return None
        sampled = self._rng.sample(untried, min(2, len(untried)))
        return max(sampled, key=lambda peer: self.free_slots(peer.name))

    def remove_absent(self, present: Collection[str]) -> None:
        """Drop the hints of upstreams that are not in the tree any more."""
        for name in self._hints.keys() - set(present):
            self._hints.pop(name)
