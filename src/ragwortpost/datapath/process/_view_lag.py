"""Measures for how long a process has known of later states than its own."""

from dataclasses import dataclass
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.version import ORIGIN, StateVersion

# Time after which a missing state is logged: pushed changes and pulls have
# failed by then.
OVERDUE_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class MissingState:
    """A state of the store that the view has not reached."""

    # The version of the state.
    version: StateVersion
    # The address of the peer that reported it, or 'store'.
    source: str
    # Monotonic time of the report, in seconds.
    since: float


class ViewLag:
    """The first report of a state that the view has not reached yet."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Start without reports."""
        self._clock = clock
        self._log = log
        self._missing: MissingState | None = None
        self._logged: MissingState | None = None
        self._latest = ORIGIN

    @property
    def missing(self) -> MissingState | None:
        """The state that the view has lacked for longest, if it lacks any."""
        return self._missing

    @property
    def latest(self) -> StateVersion:
        """The latest version that was reported."""
        return self._latest

    @property
    def seconds(self) -> float:
        """Time since the missing state was reported, zero if none is."""
        if self._missing is None:
            return 0
        return self._clock.monotonic() - self._missing.since

    def record_report(
        self, version: StateVersion, own: StateVersion, source: str
    ) -> None:
        """Record that the store has reached a version."""
        self._latest = max(self._latest, version)
        if version > own and self._missing is None:
            self._missing = MissingState(
                version, source, self._clock.monotonic()
            )

    def record_progress(self, own: StateVersion) -> None:
        """Record the version that the view has reached."""
        missing = self._missing
        if missing is None or own < missing.version:
            return
        self._missing = None
        # Reports that arrived meanwhile count from now on.
        self.record_report(self._latest, own, missing.source)

    def log_overdue(self, own: StateVersion) -> None:
        """Log once that a state has been missing for too long."""
        missing = self._missing
        if missing is None or missing is self._logged:
            return
        if self.seconds < OVERDUE_SECONDS:
            return
        self._logged = missing
        self._log.write(
            'view_behind',
            era=own.era,
            revision=own.revision,
            missing_era=missing.version.era,
            missing_revision=missing.version.revision,
            source=missing.source,
        )
