"""Detects, in an agent, that its upstream no longer responds.

Otherwise, an upstream that crashed beside a running agent would look idle and
attract new flows, and callers of lost flows would wait for a reset while their
packets are delivered to an upstream that no longer runs.
"""

from typing import Final

# Time for an upstream to accept or return an opening packet. That needs no
# application work, so this is far above the usual time.
UPSTREAM_ACCEPT_TIMEOUT_SECONDS: Final = 0.1
# Interval of new flows that probe an unresponsive upstream.
PROBE_INTERVAL_SECONDS: Final = 0.25
# An upstream has stopped responding after this time without a packet from it
# and this number of deliveries: a running one returns packets of flows that it
# does not hold.
NO_RESPONSE_SECONDS: Final = 0.2
NO_RESPONSE_DELIVERIES: Final = 3


class UpstreamLiveness:
    """Counts and times the deliveries since the upstream's last packet."""

    def __init__(self) -> None:
        """Start with an upstream that is assumed to respond."""
        self._unanswered = 0
        self._first_unanswered: float | None = None
        self._first_unanswered_new_flow: float | None = None
        self._last_new_flow: float = 0

    def record_delivery(self, now: float, *, opens: bool) -> None:
        """Record that a packet was delivered to the upstream."""
        self._unanswered += 1
        if self._first_unanswered is None:
            self._first_unanswered = now
        if not opens:
            return
        self._last_new_flow = now
        if self._first_unanswered_new_flow is None:
            self._first_unanswered_new_flow = now

    def record_response(self) -> None:
        """Record that the upstream sent a packet."""
        self._unanswered = 0
        self._first_unanswered = None
        self._first_unanswered_new_flow = None

    def should_skip_new_flow(self, now: float) -> bool:
        """Return whether the agent should not deliver a new flow now.

        An unresponsive upstream gets one per probe interval.
        """
        first = self._first_unanswered_new_flow
        if first is None or now - first < UPSTREAM_ACCEPT_TIMEOUT_SECONDS:
            return False
        return now - self._last_new_flow < PROBE_INTERVAL_SECONDS

    def has_stopped_responding(self, now: float) -> bool:
        """Return whether the upstream is presumed not to run any more."""
        if (
            self._first_unanswered is None
            or self._unanswered < NO_RESPONSE_DELIVERIES
        ):
            return False
        return now - self._first_unanswered >= NO_RESPONSE_SECONDS
