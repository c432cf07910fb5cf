"""Which upstreams' agents an entry takes for dead, by its own traffic.

The VM list lags behind a crash. A first packet always gets an answer, so an
agent that leaves one unanswered is avoided for new flows, but for a probe
now and then.
"""

from collections.abc import Set as AbstractSet
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.version import ShortId

UNANSWERED_SECONDS: Final = 0.25
PROBE_INTERVAL_SECONDS: Final = 1.0


class AgentReachability:
    """The agents that answer, by upstream; nothing is kept of a flow."""

    def __init__(self, clock: Clock) -> None:
        """Start by trusting every agent."""
        self._clock = clock
        self._unanswered_since: dict[ShortId, float] = {}
        self._last_probed: dict[ShortId, float] = {}

    def record_first_packet(self, upstream: ShortId) -> None:
        """Note that a first packet went to an upstream's agent."""
        now = self._clock.monotonic()
        self._unanswered_since.setdefault(upstream, now)
        self._last_probed[upstream] = now

    def record_reply(self, upstream: ShortId) -> None:
        """Note that an upstream's agent sent something."""
        self._unanswered_since.pop(upstream, None)

    def suspects(self) -> AbstractSet[ShortId]:
        """Return the upstreams that new flows should avoid now."""
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
        """Drop what is kept of upstreams that are not in the tree any more."""
        for upstream in self._unanswered_since.keys() - present:
            self._unanswered_since.pop(upstream)
        for absent in self._last_probed.keys() - present:
            self._last_probed.pop(absent)
