"""Estimates, in an agent, how long its upstream takes for each request.

An upstream that has become slow may hold no more requests than the others, so
the number of requests does not show it. The time between responses of a busy
upstream does.
"""

from typing import Final

# Weight of a new sample in the mean: about the last ten requests count.
SAMPLE_WEIGHT: Final = 0.2
# Without responses, the estimate halves in this time. An upstream that gets no
# requests because it was slow is tried again after some seconds.
HALF_LIFE_SECONDS: Final = 1.0
# A request without a response for this time no longer counts as in service: its
# upstream may have restarted, and its caller may have given up silently.
LOST_SECONDS: Final = 2.0


class ServicePace:
    """The mean time between the responses of one busy upstream.

    Each response is a sample: the time since the later one of the previous
    response and the request's last packet.
    """

    def __init__(self) -> None:
        """Start without an estimate."""
        self._in_progress = 0
        # Monotonic seconds since which the request in service has been waiting
        # for its response.
        self._busy_since = float(0)
        self._last_response_at = float(0)
        self._mean = float(0)

    def on_request(self, now: float, *, continues: bool) -> None:
        """Record a packet of a request; ``continues`` if not its first."""
        if not continues:
            self._in_progress += 1
        if self._in_progress == 1:
            self._busy_since = now

    def on_response(self, requested_at: float, now: float) -> None:
        """Record that the response of a request has started.

        ``requested_at`` is the time of the request's last packet.
        """
        sample = now - max(self._last_response_at, requested_at)
        if self._mean:
            self._mean += SAMPLE_WEIGHT * (sample - self._mean)
        else:
            self._mean = sample
        self._last_response_at = now
        self.on_abandoned(now)

    def on_abandoned(self, now: float) -> None:
        """Record that no response of a request is expected any more."""
        self._in_progress = max(0, self._in_progress - 1)
        self._busy_since = now

    def seconds(self, now: float) -> float:
        """Return the estimated seconds for each request, zero if unknown.

        A request that has been in service for longer than the mean raises the
        estimate, unless it must be presumed lost.
        """
        in_service = now - self._busy_since
        if self._in_progress and in_service < LOST_SECONDS:
            return max(self._mean, in_service)
        idle_seconds = max(0, now - self._last_response_at)
        decay: float = 0.5 ** (idle_seconds / HALF_LIFE_SECONDS)
        return self._mean * decay
