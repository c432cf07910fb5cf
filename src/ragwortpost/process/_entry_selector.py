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


class EntrySelector:
    """The entries that an agent hears from, with the time of the last word."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without having heard of any."""
        self._clock = clock
        self._rng = rng
        self._heard: dict[HostPort, float] = {}
        self._started = clock.monotonic()
        self._latest = self._started
        self._turn = 0

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
        VM list says, ``attempt`` counts the probes that went unacknowledged
        since. While there are any, every other answer goes through the entry
        heard of last, and the rest through one after another, silent or not:
        few entries are heard from often enough to tell.
        """
        if attempt:
            return self._probe(live) or last
        if not self._is_silent(last):
            return last
        talking = [entry for entry in live if not self._is_silent(entry)]
        return self._rng.choice(talking) if talking else last

    def any_silent(self, live: Sequence[HostPort]) -> bool:
        """Return whether an entry in service is silent while others talk.

        One that was never heard counts as silent since this process started.
        """
        limit = self._latest - SILENCE_SECONDS
        return any(
            self._heard.get(entry, self._started) < limit for entry in live
        )

    def _probe(self, live: Sequence[HostPort]) -> HostPort | None:
        self._turn += 1
        known = [entry for entry in live if entry in self._heard]
        if known and self._turn % 2:
            return max(known, key=self._heard.__getitem__)
        return live[self._turn // 2 % len(live)] if live else None

    def _is_silent(self, entry: HostPort) -> bool:
        heard = self._heard.get(entry)
        if heard is None:
            return False
        return self._latest - heard > SILENCE_SECONDS
