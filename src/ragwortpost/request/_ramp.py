"""How much of its capacity an upstream bears after a start."""

from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.version import Policy

_FULL_SHARE: Final = 1.0


class Ramp:
    """The share of capacity, growing in a line from a start to full."""

    def __init__(self, clock: Clock) -> None:
        """Begin as for an upstream that starts now."""
        self._clock = clock
        self._started_at = clock.monotonic()
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """How often the ramp began again."""
        return self._restarts

    def restart(self) -> None:
        """Begin again: the upstream is as good as new."""
        self._started_at = self._clock.monotonic()
        self._restarts += 1

    def share(self, policy: Policy) -> float:
        """Return the share of capacity borne now, in (0, 1]."""
        length = policy.ramp.total_seconds()
        age = self._clock.monotonic() - self._started_at
        if age >= length:
            return _FULL_SHARE
        return (
            policy.ramp_start + (_FULL_SHARE - policy.ramp_start) * age / length
        )
