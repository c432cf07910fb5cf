"""Accepted flows whose caller has not sent its first request yet.

Each of them is about to load the upstream, so it counts as a request at hand.
Some callers have given up meanwhile, above all in a rush; how long one is
waited for follows the delays seen, as a retransmission timer does.
"""

from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# Longest and shortest wait for a first request, in seconds: a round trip to a
# distant caller, and a timer's grain.
MAX_TIMEOUT_SECONDS: Final = 0.25
MIN_TIMEOUT_SECONDS: Final = 0.02
# Weights of a new delay in the mean and in the deviation, and deviations
# waited for beyond the mean, of the usual retransmission timer (RFC 6298).
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
DEVIATION_FACTOR: Final = 4


class ExpectedRequests:
    """The flows of one upstream that were accepted and not used so far."""

    def __init__(self) -> None:
        """Start without flows, and without a delay seen."""
        self._accepted: dict[FlowKey, float] = {}
        self._mean: float | None = None
        self._deviation: float = 0

    @property
    def timeout(self) -> float:
        """Seconds for which a first request is waited for."""
        if self._mean is None:
            return MAX_TIMEOUT_SECONDS
        timeout = self._mean + DEVIATION_FACTOR * self._deviation
        return min(max(timeout, MIN_TIMEOUT_SECONDS), MAX_TIMEOUT_SECONDS)

    def add(self, flow: FlowKey, now: float) -> None:
        """Note that the upstream accepted a flow."""
        self._accepted[flow] = now

    def on_established(self, flow: FlowKey, delay: float) -> None:
        """Note that a caller answered the acceptance after a delay."""
        self._accepted.pop(flow, None)
        if self._mean is None:
            self._mean = delay
            self._deviation = delay / 2
            return
        error = delay - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def remove(self, flow: FlowKey) -> None:
        """Note that a flow ended."""
        self._accepted.pop(flow, None)

    def count(self, now: float) -> int:
        """Return the flows whose first request may still come."""
        limit = now - self.timeout
        while self._accepted:
            flow = next(iter(self._accepted))
            if self._accepted[flow] >= limit:
                break
            self._accepted.pop(flow)
        return len(self._accepted)
