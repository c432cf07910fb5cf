"""Accepted flows whose caller has not completed the handshake yet.

The first request is expected right after the handshake, so each of these flows
counts as a request. Under overload, some callers have timed out meanwhile; a
flow stops counting after a timeout that is estimated from observed delays, as
in a retransmission timer.
"""

from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Bounds of the timeout: a round trip to a distant caller, and the granularity
# of a timer.
MAX_TIMEOUT_SECONDS: Final = 0.25
MIN_TIMEOUT_SECONDS: Final = 0.02
# Weights of a new delay in the mean and in the deviation, and the factor of
# the deviation in the timeout, as in TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
DEVIATION_FACTOR: Final = 4


class ExpectedRequests:
    """The accepted flows of one upstream that await the handshake's end."""

    def __init__(self) -> None:
        """Start without flows and without observed delays."""
        self._accepted_at: dict[FlowKey, float] = {}
        self._mean: float | None = None
        self._deviation: float = 0

    @property
    def timeout(self) -> float:
        """Seconds after which a first request is no longer expected."""
        if self._mean is None:
            return MAX_TIMEOUT_SECONDS
        timeout = self._mean + DEVIATION_FACTOR * self._deviation
        return min(max(timeout, MIN_TIMEOUT_SECONDS), MAX_TIMEOUT_SECONDS)

    def add(self, flow: FlowKey, now: float) -> None:
        """Add a flow that the upstream has accepted."""
        self._accepted_at[flow] = now

    def on_established(self, flow: FlowKey, delay: float) -> None:
        """Remove a flow whose caller completed the handshake.

        The delay, in seconds since the acceptance, updates the timeout.
        """
        self._accepted_at.pop(flow, None)
        if self._mean is None:
            self._mean = delay
            self._deviation = delay / 2
            return
        error = delay - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow that has ended."""
        self._accepted_at.pop(flow, None)

    def count(self, now: float) -> int:
        """Return the number of flows whose first request is still expected."""
        limit = now - self.timeout
        while self._accepted_at:
            flow = next(iter(self._accepted_at))
            if self._accepted_at[flow] >= limit:
                break
            self._accepted_at.pop(flow)
        return len(self._accepted_at)
