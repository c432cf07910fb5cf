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
PROBE_SECONDS: Final = 1.0


class AgentReachability:
    """The agents that answer, by upstream; nothing is kept of a flow."""

    def __init__(self, clock: Clock) -> None:
        """Start by trusting every agent."""
        self._clock = clock
        self._unanswered: dict[ShortId, float] = {}
        self._probed: dict[ShortId, float] = {}

    def sent_first(self, upstream: ShortId) -> None:
        """Note that a first packet went to an upstream's agent."""
        now = self._clock.monotonic()
        self._unanswered.setdefault(upstream, now)
        self._probed[upstream] = now

    def answered(self, upstream: ShortId) -> None:
        """Note that an upstream's agent sent something."""
        self._unanswered.pop(upstream, None)

    def suspects(self) -> AbstractSet[ShortId]:
        """Return the upstreams that new flows should avoid now."""
        if not self._unanswered:
            return frozenset()
        now = self._clock.monotonic()
        return {
            upstream
            for upstream, since in self._unanswered.items()
            if now - since > UNANSWERED_SECONDS
            and now - self._probed[upstream] < PROBE_SECONDS
        }

    def forget_absent(self, present: AbstractSet[ShortId]) -> None:
        """Drop what is kept of upstreams that are not in the tree any more."""
        for upstream in self._unanswered.keys() - present:
            self._unanswered.pop(upstream)
        for gone in self._probed.keys() - present:
            self._probed.pop(gone)
