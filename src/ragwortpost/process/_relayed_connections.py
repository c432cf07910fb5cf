"""Tracks the connections whose first packet an agent relayed.

Callers retransmit their first packet. One that was relayed has to be relayed
again, even if this agent has capacity by then; otherwise two agents would
accept the same connection.
"""

from typing import Final

from ragwortpost._clock import Clock

LIFETIME_SECONDS: Final = 10.0
MAX_TRACKED: Final = 10000


class RelayedConnections:
    """The connection ids, chosen by callers, of relayed first packets.

    Expired ids are dropped, and the oldest ones if there are too many.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize an empty set."""
        self._clock = clock
        self._expires_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of connection ids held."""
        return len(self._expires_at)

    def record(self, connection_id: bytes) -> None:
        """Add a connection id, or renew the expiry of a known one."""
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
        """Return whether a connection id was recorded and has not expired."""
        expires_at = self._expires_at.get(connection_id)
        return expires_at is not None and expires_at > self._clock.monotonic()
