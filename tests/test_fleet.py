"""The real programs against the stand-ins of the users' platform."""

import asyncio
from pathlib import Path

import pytest

from standin.fleet.demo import Demo


class TestFleetDemo:
    """A stop, a kill, a join, a leaving upstream and an outage."""

    @pytest.mark.timeout(90)
    def test_every_promise_holds(self, tmp_path: Path) -> None:
        demo = Demo(tmp_path)
        assert asyncio.run(demo.run()) == []
        assert demo.tally.counts['answered'] > 1000
