"""Detects, in an agent, that its upstream fails the requests it gets.

An agent does not read responses. An upstream that fails requests without
working on them responds far sooner, or with far less, than it usually does. It
also looks idle, so that placing by load would send it more than any other.
"""

import math
from typing import Final

# Quantile of response times and lengths that counts as the usual minimum, and
# the step, in the logarithm, by which a response moves the estimate.
_USUAL_QUANTILE: Final = 0.05
_ESTIMATE_STEP: Final = 0.1
# A response is an outlier below this share of the usual minimum. One in a
# thousand responses is, with times spread by half of their mean.
OUTLIER_SHARE: Final = 0.25
# Responses from which the usual minimum is known well enough.
MIN_RESPONSES: Final = 20
# Weight of a response in the share of outliers, and the share from which an
# upstream is suspected: two outliers in a row.
SAMPLE_WEIGHT: Final = 0.25
SUSPECT_SHARE: Final = 0.4
# Without responses, the share halves in this time, so that a suspected upstream
# gets a new flow, and the chance to respond as usual, after some seconds.
HALF_LIFE_SECONDS: Final = 3.0
# Outliers in a row after which they are the usual responses: the work has
# changed.
MAX_OUTLIERS: Final = 200
# Clocks of upstreams' machines may have a resolution of a millisecond.
_MIN_SECONDS: Final = 0.0001


class UsualMinimum:
    """Estimates a low quantile of a positive quantity, step by step."""

    def __init__(self) -> None:
        """Start without an estimate."""
        self._log_estimate: float | None = None

    def is_outlier(self, sample: float) -> bool:
        """Return whether a sample is far below the estimate."""
        if self._log_estimate is None:
            return False
        return math.log(sample) < self._log_estimate + math.log(OUTLIER_SHARE)

    def learn(self, sample: float) -> None:
        """Move the estimate towards a sample."""
        log_sample = math.log(sample)
        if self._log_estimate is None:
            self._log_estimate = log_sample
        elif log_sample < self._log_estimate:
            self._log_estimate -= _ESTIMATE_STEP * (1 - _USUAL_QUANTILE)
        else:
            self._log_estimate += _ESTIMATE_STEP * _USUAL_QUANTILE


class ResponseOutliers:
    """The recent share of outliers among the responses of one upstream."""

    def __init__(self) -> None:
        """Start without responses."""
        self._seconds = UsualMinimum()
        self._lengths = UsualMinimum()
        self._learned = 0
        self._in_a_row = 0
        self._share: float = 0
        # Monotonic seconds of the latest response.
        self._updated_at: float = 0

    def on_response(self, seconds: float, length: int, now: float) -> None:
        """Record a response.

        ``seconds`` is the time since its request, and ``length`` the bytes of
        its first packet.
        """
        seconds = max(seconds, _MIN_SECONDS)
        is_outlier = self._learned >= MIN_RESPONSES and (
            self._seconds.is_outlier(seconds)
            or self._lengths.is_outlier(length)
        )
        share = self.share(now)
        self._share = share + SAMPLE_WEIGHT * (is_outlier - share)
        self._updated_at = now
        self._in_a_row = self._in_a_row + 1 if is_outlier else 0
        if is_outlier and self._in_a_row < MAX_OUTLIERS:
            return
        self._learned += 1
        self._seconds.learn(seconds)
        self._lengths.learn(length)

    def share(self, now: float) -> float:
        """Return the share of outliers among the latest responses."""
        idle = now - self._updated_at
        return self._share * math.exp2(-idle / HALF_LIFE_SECONDS)

    def is_suspected(self, now: float) -> bool:
        """Return whether the upstream seems to fail its requests."""
        return self.share(now) >= SUSPECT_SHARE
