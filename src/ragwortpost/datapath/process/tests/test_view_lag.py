"""Tests of the time for which a process has known of a later state.

Guards against a process that is behind and reports that it is not.
"""

from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime

from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._view_lag import OVERDUE_SECONDS, ViewLag
from ragwortpost.datapath.version.tests.documents import at


@dataclass
class ManualClock:
    """A clock that a test sets."""

    seconds: float = 0

    def monotonic(self) -> float:
        return self.seconds

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.seconds, UTC)


def make_lag() -> tuple[ViewLag, ManualClock, Counter[str]]:
    clock, events = ManualClock(), Counter[str]()
    return ViewLag(clock, EventLog(clock, events)), clock, events


class TestViewLag:
    """The lag counts from the first report of a state that is missing."""

    def test_reported_state_that_was_reached_is_not_missing(self) -> None:
        lag, _, _ = make_lag()
        lag.record_report(at(5), at(5), 'peer')
        assert lag.missing is None
        assert not lag.seconds

    def test_later_reports_do_not_restart_the_lag(self) -> None:
        lag, clock, _ = make_lag()
        for revision in (6, 7, 8):
            lag.record_report(at(revision), at(5), 'peer')
            clock.seconds += 1
        assert lag.seconds == 3
        assert lag.latest == at(8)

    def test_progress_restarts_the_lag_until_the_latest_report(self) -> None:
        lag, clock, _ = make_lag()
        lag.record_report(at(6), at(5), 'peer')
        lag.record_report(at(8), at(5), 'peer')
        clock.seconds = 2
        lag.record_progress(at(6))
        assert not lag.seconds
        clock.seconds = 3
        assert lag.seconds == 1
        lag.record_progress(at(8))
        assert lag.missing is None

    def test_state_of_a_later_era_is_missing(self) -> None:
        lag, _, _ = make_lag()
        lag.record_report(at(2, era=1), at(5), 'peer')
        assert lag.missing is not None

    def test_overdue_state_is_logged_once(self) -> None:
        lag, clock, events = make_lag()
        lag.record_report(at(6), at(5), 'peer')
        lag.log_overdue(at(5))
        assert not events
        clock.seconds = OVERDUE_SECONDS
        lag.log_overdue(at(5))
        lag.log_overdue(at(5))
        assert events == {'view_behind': 1}
