"""Whether the upstream beside an agent answers what it is offered.

Answers two loads: new flows that entries place at an upstream which crashed
while its agent lives on, idle and so attractive; and packets of lost flows,
offered to an upstream that is not there any more, whose silence would keep
their callers waiting.
"""

from typing import Final

# Seconds for an upstream to accept or return an opening packet; it does so
# without any work, so this is far above the usual time.
OPENING_SECONDS: Final = 0.1
# Seconds between two new flows that are offered to a silent upstream.
RETRY_SECONDS: Final = 0.25
# Seconds without any packet of the upstream, and packets offered meanwhile,
# after which it is gone: one that lives returns those that are not its own.
GONE_SECONDS: Final = 0.2
GONE_OFFERS: Final = 3


class UpstreamWatch:
    """What an upstream has left unanswered since it was last heard."""

    def __init__(self) -> None:
        """Start with an upstream that has left nothing unanswered."""
        self._offers = 0
        self._first: float | None = None
        self._first_opening: float | None = None
        self._last_opening: float = 0

    def note_offer(self, now: float, *, opens: bool) -> None:
        """Note that a packet was offered to the upstream."""
        self._offers += 1
        if self._first is None:
            self._first = now
        if not opens:
            return
        self._last_opening = now
        if self._first_opening is None:
            self._first_opening = now

    def note_sign(self) -> None:
        """Note that the upstream sent a packet."""
        self._offers = 0
        self._first = None
        self._first_opening = None

    def ignores_openings(self, now: float) -> bool:
        """Return whether the upstream should get no new flow now.

        A silent one gets one now and then, to see whether it is back.
        """
        first = self._first_opening
        if first is None or now - first < OPENING_SECONDS:
            return False
        return now - self._last_opening < RETRY_SECONDS

    def is_gone(self, now: float) -> bool:
        """Return whether the upstream has answered nothing for long."""
        if self._first is None or self._offers < GONE_OFFERS:
            return False
        return now - self._first >= GONE_SECONDS
