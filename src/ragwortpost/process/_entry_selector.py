"""Selects the entry through which an agent sends to a caller.

Datagrams go back through the entry that forwarded the caller's last packet,
unless that entry has become unresponsive while others have not, or the caller
acknowledges nothing that was sent through it.
"""

import random
from collections.abc import Sequence
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.connection import HostPort

# An entry is unresponsive if its last datagram is older by more than this than
# the latest one from any entry.
UNRESPONSIVE_SECONDS: Final = 0.5
MAX_TRACKED_ENTRIES: Final = 10000


class EntrySelector:
    """Selects entries by the time of their last datagram to this agent."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Initialize with no datagram received from any entry."""
        self._clock = clock
        self._rng = rng
        self._last_received: dict[HostPort, float] = {}
        self._started = clock.monotonic()
        self._latest_received = self._started
        self._retries = 0

    def record_datagram_from(self, entry: HostPort) -> None:
        """Record that a datagram from an entry was received."""
        self._latest_received = self._clock.monotonic()
        self._last_received.pop(entry, None)
        self._last_received[entry] = self._latest_received
        if len(self._last_received) > MAX_TRACKED_ENTRIES:
            self._last_received.pop(next(iter(self._last_received)))

    def select(
        self,
        last_entry: HostPort,
        live_entries: Sequence[HostPort],
        probe_count: int,
    ) -> HostPort:
        """Return the entry to send through.

        ``last_entry`` forwarded the caller's last packet, ``live_entries`` are
        those of the VM list, and ``probe_count`` is the number of probe
        timeouts since the caller's last acknowledgement. After a timeout, every
        other call returns the live entry that sent the latest datagram, and the
        rest return each live entry in turn, unresponsive or not: few entries
        send datagrams often enough to tell which of them work.
        """
        if probe_count:
            return self._select_for_retry(live_entries) or last_entry
        if not self._is_unresponsive(last_entry):
            return last_entry
        responsive = [
            entry for entry in live_entries if not self._is_unresponsive(entry)
        ]
        return self._rng.choice(responsive) if responsive else last_entry

    def any_unresponsive(self, live_entries: Sequence[HostPort]) -> bool:
        """Return whether a live entry is unresponsive while others are not.

        An entry that has sent nothing yet is treated as if it had sent a
        datagram when this process started.
        """
        limit = self._latest_received - UNRESPONSIVE_SECONDS
        return any(
            self._last_received.get(entry, self._started) < limit
            for entry in live_entries
        )

    def _select_for_retry(
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
