"""Detects unreachable agents from an entry's own traffic.

The VM list lags behind a crash. An agent always replies to a first packet, so
one that leaves it unanswered is avoided for new connections. If no first packet
was sent to it for a while, the next one may be, as a probe.
"""

from collections.abc import Set as AbstractSet
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.version import ShortId

UNANSWERED_SECONDS: Final = 0.25
PROBE_INTERVAL_SECONDS: Final = 1.0


class AgentReachability:
    """Tracks unanswered first packets by upstream, not by connection."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with every agent considered reachable."""
        self._clock = clock
        self._unanswered_since: dict[ShortId, float] = {}
        self._last_probed: dict[ShortId, float] = {}

    def record_first_packet(self, upstream: ShortId) -> None:
        """Record that a first packet was sent to an upstream's agent."""
        now = self._clock.monotonic()
        self._unanswered_since.setdefault(upstream, now)
        self._last_probed[upstream] = now

    def record_reply(self, upstream: ShortId) -> None:
        """Record that a datagram from an upstream's agent was received."""
        self._unanswered_since.pop(upstream, None)

    def suspects(self) -> AbstractSet[ShortId]:
        """Return the upstreams that new connections should avoid for now."""
        if not self._unanswered_since:
            return frozenset()
        now = self._clock.monotonic()
        return {
            upstream
            for upstream, since in self._unanswered_since.items()
            if now - since > UNANSWERED_SECONDS
            and now - self._last_probed[upstream] < PROBE_INTERVAL_SECONDS
        }

    def discard_absent(self, present: AbstractSet[ShortId]) -> None:
        """Discard the state of upstreams that the settings no longer list."""
        for upstream in self._unanswered_since.keys() - present:
            self._unanswered_since.pop(upstream)
        for absent in self._last_probed.keys() - present:
            self._last_probed.pop(absent)
