"""Whether the upstream beside an agent answers what it is offered.

Answers two loads: new flows that entries place at an upstream which crashed
while its agent lives on, idle and so attractive; and packets of lost flows,
offered to an upstream that is not there any more, whose silence would keep
their callers waiting.
"""

from typing import Final

# Seconds for an upstream to accept or return an opening packet; it does so
# without any work, so this is far above the usual time.
ACCEPT_TIMEOUT_SECONDS: Final = 0.1
# Seconds between two new flows that are offered to a silent upstream.
PROBE_INTERVAL_SECONDS: Final = 0.25
# Seconds without any packet of the upstream, and packets offered meanwhile,
# after which it is gone: one that lives returns those that are not its own.
DEAD_AFTER_SECONDS: Final = 0.2
DEAD_AFTER_DELIVERIES: Final = 3


class UpstreamLiveness:
    """What an upstream has left unanswered since it was last heard."""

    def __init__(self) -> None:
        """Start with an upstream that has left nothing unanswered."""
        self._unanswered = 0
        self._first_unanswered: float | None = None
        self._first_new_flow: float | None = None
        self._last_new_flow: float = 0

    def record_delivery(self, now: float, *, opens: bool) -> None:
        """Note that a packet was offered to the upstream."""
        self._unanswered += 1
        if self._first_unanswered is None:
            self._first_unanswered = now
        if not opens:
            return
        self._last_new_flow = now
        if self._first_new_flow is None:
            self._first_new_flow = now

    def record_response(self) -> None:
        """Note that the upstream sent a packet."""
        self._unanswered = 0
        self._first_unanswered = None
        self._first_new_flow = None

    def withholds_new_flow(self, now: float) -> bool:
        """Return whether the upstream should get no new flow now.

        A silent one gets one now and then, to see whether it is back.
        """
        first = self._first_new_flow
        if first is None or now - first < ACCEPT_TIMEOUT_SECONDS:
            return False
        return now - self._last_new_flow < PROBE_INTERVAL_SECONDS

    def is_dead(self, now: float) -> bool:
        """Return whether the upstream has answered nothing for long."""
        if (
            self._first_unanswered is None
            or self._unanswered < DEAD_AFTER_DELIVERIES
        ):
            return False
        return now - self._first_unanswered >= DEAD_AFTER_SECONDS
