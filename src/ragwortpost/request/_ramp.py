"""Slow start: the share of capacity that a new upstream may use."""

from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.version import Policy

_FULL_SHARE: Final = 1.0


class Ramp:
    """Share of capacity that grows linearly after a start until it is full."""

    def __init__(self, clock: Clock) -> None:
        """Initialize for an upstream that starts now."""
        self._clock = clock
        self._started_at = clock.monotonic()
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """Number of restarts of the ramp."""
        return self._restarts

    def restart(self) -> None:
        """Start again, as for an upstream that has just started."""
        self._started_at = self._clock.monotonic()
        self._restarts += 1

    def share(self, policy: Policy) -> float:
        """Return the current share of capacity, in (0, 1]."""
        ramp_seconds = policy.ramp.total_seconds()
        age_seconds = self._clock.monotonic() - self._started_at
        if age_seconds >= ramp_seconds:
            return _FULL_SHARE
        return (
            policy.ramp_start
            + (_FULL_SHARE - policy.ramp_start) * age_seconds / ramp_seconds
        )
