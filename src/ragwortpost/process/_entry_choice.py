"""Through which entry an agent answers a caller.

An answer goes back through the entry that the caller's last packet came
through, unless that entry has fallen silent while others are still heard, or
the caller acknowledges nothing that was sent that way.
"""

import random
from collections.abc import Sequence
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.connection import HostPort

SILENCE_SECONDS: Final = 0.5
MAX_ENTRIES: Final = 10000


class EntryChoice:
    """The entries that an agent hears from, with the time of the last word."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without having heard of any."""
        self._clock = clock
        self._rng = rng
        self._heard: dict[HostPort, float] = {}
        self._latest = clock.monotonic()

    def heard(self, entry: HostPort) -> None:
        """Note that a datagram came through an entry."""
        self._latest = self._clock.monotonic()
        self._heard.pop(entry, None)
        self._heard[entry] = self._latest
        if len(self._heard) > MAX_ENTRIES:
            self._heard.pop(next(iter(self._heard)))

    def choose(
        self,
        last: HostPort,
        live: Sequence[HostPort],
        attempt: int,
    ) -> HostPort:
        """Return the entry to answer through.

        ``last`` is the entry of the caller's last packet, ``live`` what the
        VM list says, ``attempt`` counts the answers that went unacknowledged
        since: they go through one entry after another, so that a few dead
        ones can't swallow them all.
        """
        if attempt == 0 and not self._is_silent(last):
            return last
        talking = [entry for entry in live if not self._is_silent(entry)]
        others = [entry for entry in talking if entry != last]
        candidates = others or talking or live
        if not candidates:
            return last
        if attempt == 0:
            return self._rng.choice(candidates)
        return candidates[attempt % len(candidates)]

    def _is_silent(self, entry: HostPort) -> bool:
        heard = self._heard.get(entry)
        if heard is None:
            return False
        return self._latest - heard > SILENCE_SECONDS
