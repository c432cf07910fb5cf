"""Decides how long a new flow may wait at an entry for an upstream with room.

It answers the load of a burst and of the crowd that returns after a mass
restart: more flows arrive than upstreams finish. A flow whose turn would come
too late is refused at once, so that its caller can do something else, and so
that the upstreams work only on requests that are still of use.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection._upstream_selection import (
    BACKLOG_TARGET_SHARE,
)

# Flows are counted as admitted for this time.
RATE_WINDOW_SECONDS: Final = 1.0
# Minimum time over which a rate is computed.
MIN_WINDOW_SECONDS: Final = 0.05
# Fewer admitted flows than this do not show a rate.
MIN_ADMITTED: Final = 5
# A congestion that lasts for longer is not the jitter of a few requests.
LASTING_SECONDS: Final = 0.5
# Share of a route's timeout for which a new flow may wait for an upstream while
# the rate is unknown; the rest is left for its request.
MAX_WAIT_SHARE: Final = 0.6
# Maximum wait of a new flow: callers abandon it after 1.4 s, and the outcome
# has to reach them before.
MAX_WAIT_SECONDS: Final = 1.3
# Minimum time between two decisions about one waiting flow.
MIN_REVIEW_SECONDS: Final = 0.02
# Share of a route's target that a flow may spend waiting; the rest is left for
# its request, which still has to queue at an upstream.
TARGET_SHARE: Final = 1 - BACKLOG_TARGET_SHARE


@dataclass(frozen=True, slots=True)
class WaitLimits:
    """What a route allows its new flows."""

    # Seconds after which the caller abandons the request.
    timeout: float
    # Seconds within which the request should be answered.
    target: float


@dataclass(frozen=True, slots=True)
class Congestion:
    """How long flows of one queue have been waiting, and how fast it drains."""

    # Seconds for which some flow has been waiting without a break.
    seconds: float
    # Waiting flows that upstreams accept per second; none if it is not known.
    rate: float | None
    # Whether a crowd returns after a mass restart: a caller that is refused
    # then asks again at once, which costs more than its wait.
    returning: bool = False


class AdmissionRate:
    """The rate at which upstreams accept the waiting flows of one queue.

    It is measured only while flows wait: otherwise it is the rate at which
    callers open flows.
    """

    def __init__(self) -> None:
        """Start without waiting flows."""
        self._admitted_at: deque[float] = deque()
        self._congested_since: float | None = None

    def set_congested(self, now: float, *, congested: bool) -> None:
        """Record whether flows wait."""
        if not congested:
            self._congested_since = None
            self._admitted_at.clear()
        elif self._congested_since is None:
            self._congested_since = now

    def record(self, now: float) -> None:
        """Record that an upstream accepted a flow."""
        if self._congested_since is not None:
            self._admitted_at.append(now)

    def congestion(self, now: float) -> Congestion:
        """Return the current congestion."""
        if self._congested_since is None:
            return Congestion(0, None)
        oldest = now - RATE_WINDOW_SECONDS
        while self._admitted_at and self._admitted_at[0] < oldest:
            self._admitted_at.popleft()
        rate = None
        if len(self._admitted_at) >= MIN_ADMITTED:
            observed = now - max(oldest, self._congested_since)
            rate = len(self._admitted_at) / max(observed, MIN_WINDOW_SECONDS)
        return Congestion(now - self._congested_since, rate)


def max_wait(limits: WaitLimits) -> float:
    """Return the seconds for which a new flow may wait in a short congestion.

    The caller's first packet starts the wait.
    """
    return min(limits.timeout * MAX_WAIT_SHARE, MAX_WAIT_SECONDS)


def should_refuse(
    limits: WaitLimits,
    waited: float,
    ahead: int,
    congestion: Congestion,
) -> bool:
    """Return whether a new flow that finds no room is refused.

    ``waited`` is the time since the caller's first packet in seconds and
    ``ahead`` the number of flows that wait before it. In a lasting congestion,
    a flow is refused once its request would miss the target, and as soon as its
    turn is known to come too late; a short one is waited out, as with
    controlled delay (CoDel, RFC 8289).
    """
    longest = max_wait(limits)
    if congestion.returning:
        return waited >= longest
    useful = useful_wait(limits)
    if congestion.seconds > LASTING_SECONDS:
        longest = useful
    if waited >= longest:
        return True
    if congestion.rate is None:
        return False
    return waited + (ahead + 1) / congestion.rate > useful


def useful_wait(limits: WaitLimits) -> float:
    """Return the seconds of wait that leave a request its target."""
    return min(limits.target * TARGET_SHARE, max_wait(limits))


def refusal_time(
    limits: WaitLimits, started_at: float, now: float, *, returning: bool
) -> float:
    """Return when it is decided again whether a waiting flow is refused.

    ``started_at`` is the time of the caller's first packet. A flow that is not
    refused at that time gets another one, at the end of its longest wait at the
    latest.
    """
    longest = max_wait(limits)
    if returning:
        return started_at + longest
    useful = useful_wait(limits)
    review = max(started_at + useful, now + max(useful, MIN_REVIEW_SECONDS))
    return min(review, started_at + longest)
