"""Tests of the clock that stands still while its process does not run."""

import pytest

from ragwortpost.datapath.process._running_clock import (
    MAX_GAP_SECONDS,
    RunningClock,
)
from ragwortpost.datapath.process.tests.network import ManualClock


class TestRunningClock:
    """Stalls of the process don't count."""

    def test_a_process_that_runs(self) -> None:
        system = ManualClock()
        clock = RunningClock(system)
        start = clock.monotonic()
        for _ in range(100):
            system.time += 0.1
            clock.monotonic()
        assert clock.monotonic() - start == pytest.approx(10)

    def test_a_stall_counts_as_one_gap(self) -> None:
        system = ManualClock()
        clock = RunningClock(system)
        start = clock.monotonic()
        system.time += 30
        assert clock.monotonic() - start == pytest.approx(MAX_GAP_SECONDS)
        system.time += 0.1
        assert clock.monotonic() - start == pytest.approx(MAX_GAP_SECONDS + 0.1)

    def test_the_time_of_day_goes_on(self) -> None:
        system = ManualClock()
        clock = RunningClock(system)
        system.time += 30
        assert clock.now() == system.now()
