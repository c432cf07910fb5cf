"""First packets that an agent passed on a short while ago.

A caller repeats its first packet; what was passed on once must be passed on
again, even if there is room by then, or two agents answer one flow.
"""

from typing import Final

from ragwortpost._clock import Clock

LIFETIME_SECONDS: Final = 10.0
MAX_TRACKED: Final = 10000


class RelayedConnections:
    """A bounded memory of flow ids, oldest_id forgotten first."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._expires_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of flow ids kept."""
        return len(self._expires_at)

    def record(self, connection_id: bytes) -> None:
        """Keep a flow id for a while."""
        now = self._clock.monotonic()
        self._expires_at.pop(connection_id, None)
        self._expires_at[connection_id] = now + LIFETIME_SECONDS
        while self._expires_at:
            oldest_id = next(iter(self._expires_at))
            if (
                len(self._expires_at) <= MAX_TRACKED
                and self._expires_at[oldest_id] > now
            ):
                return
            self._expires_at.pop(oldest_id)

    def was_relayed(self, connection_id: bytes) -> bool:
        """Whether a flow id was passed on a short while ago."""
        expires_at = self._expires_at.get(connection_id)
        return expires_at is not None and expires_at > self._clock.monotonic()
