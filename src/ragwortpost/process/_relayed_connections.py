"""First packets that an agent passed on a short while ago.

A caller repeats its first packet; what was passed on once must be passed on
again, even if there is room by then, or two agents answer one flow.
"""

from typing import Final

from ragwortpost._clock import Clock

LIFETIME_SECONDS: Final = 10.0
MAX_KEPT: Final = 10000


class RelayedConnections:
    """A bounded memory of flow ids, oldest forgotten first."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._until: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of flow ids kept."""
        return len(self._until)

    def note(self, flow_id: bytes) -> None:
        """Keep a flow id for a while."""
        now = self._clock.monotonic()
        self._until.pop(flow_id, None)
        self._until[flow_id] = now + LIFETIME_SECONDS
        while self._until:
            oldest = next(iter(self._until))
            if len(self._until) <= MAX_KEPT and self._until[oldest] > now:
                return
            self._until.pop(oldest)

    def was_passed(self, flow_id: bytes) -> bool:
        """Whether a flow id was passed on a short while ago."""
        until = self._until.get(flow_id)
        return until is not None and until > self._clock.monotonic()
