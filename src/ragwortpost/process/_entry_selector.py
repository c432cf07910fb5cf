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

UNRESPONSIVE_SECONDS: Final = 0.5
MAX_TRACKED_ENTRIES: Final = 10000


class EntrySelector:
    """The entries that an agent hears from, with the time of the last word."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without having heard of any."""
        self._clock = clock
        self._rng = rng
        self._last_received: dict[HostPort, float] = {}
        self._started = clock.monotonic()
        self._latest_received = self._started
        self._retries = 0

    def record_entry(self, entry: HostPort) -> None:
        """Note that a datagram came through an entry."""
        self._latest_received = self._clock.monotonic()
        self._last_received.pop(entry, None)
        self._last_received[entry] = self._latest_received
        if len(self._last_received) > MAX_TRACKED_ENTRIES:
            self._last_received.pop(next(iter(self._last_received)))

    def choose(
        self,
        last_entry: HostPort,
        live_entries: Sequence[HostPort],
        probe_count: int,
    ) -> HostPort:
        """Return the entry to answer through.

        ``last_entry`` forwarded the caller's last packet, ``live_entries`` are
        those of the VM list, and ``probe_count`` counts the loss probes that
        the caller has not acknowledged. While there are any, every other
        datagram goes through the entry that was received from last, and the
        rest through each live entry in turn, unresponsive or not: with few
        datagrams per entry, silence does not tell which ones work.
        """
        if probe_count:
            return self._choose_for_retry(live_entries) or last_entry
        if not self._is_unresponsive(last_entry):
            return last_entry
        responsive = [
            entry for entry in live_entries if not self._is_unresponsive(entry)
        ]
        return self._rng.choice(responsive) if responsive else last_entry

    def any_unresponsive(self, live_entries: Sequence[HostPort]) -> bool:
        """Return whether an entry in service is silent while others talk.

        One that was never heard counts as silent since this process started.
        """
        limit = self._latest_received - UNRESPONSIVE_SECONDS
        return any(
            self._last_received.get(entry, self._started) < limit
            for entry in live_entries
        )

    def _choose_for_retry(
        self, live_entries: Sequence[HostPort]
    ) -> HostPort | None:
        self._retries += 1
        known = [
            entry for entry in live_entries if entry in self._last_received
        ]
        if known and self._retries % 2:
            return max(known, key=self._last_received.__getitem__)
        return (
            live_entries[self._retries // 2 % len(live_entries)]
            if live_entries
            else None
        )

    def _is_unresponsive(self, entry: HostPort) -> bool:
        received = self._last_received.get(entry)
        if received is None:
            return False
        return self._latest_received - received > UNRESPONSIVE_SECONDS
