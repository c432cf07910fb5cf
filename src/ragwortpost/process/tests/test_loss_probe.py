"""Tests of the probes that an agent sends while an entry is silent."""

import asyncio
from collections.abc import Sequence
from typing import cast

from ragwortpost.connection import CallerConnection, HostPort
from ragwortpost.process._entry_selector import EntrySelector
from ragwortpost.process._loss_probe import (
    FLOWS_PER_ROUND,
    ROUND_SECONDS,
    LossProbe,
)


class FakeSelector:
    """Says whether an entry is silent."""

    def __init__(self, *, silent: bool) -> None:
        self.silent = silent

    def any_silent(self, _: Sequence[HostPort]) -> bool:
        return self.silent


class FakeFlow:
    """Counts its probes."""

    def __init__(self) -> None:
        self.probes = 0

    def probe(self) -> None:
        self.probes += 1


def probe_for(
    rounds: int,
    flows: Sequence[FakeFlow],
    *,
    silent: bool = True,
) -> None:
    """Run the probes of some rounds."""
    probe = LossProbe(
        cast(EntrySelector, FakeSelector(silent=silent)),
        lambda: [('10.0.0.1', 7001)],
        lambda: cast(Sequence[CallerConnection], flows),
    )

    async def run() -> None:
        task = asyncio.create_task(probe.run())
        await asyncio.sleep((rounds + 0.5) * ROUND_SECONDS)
        task.cancel()

    asyncio.run(run())


class TestLossProbe:
    """Who is probed, and how often."""

    def test_nobody_while_all_entries_are_heard(self) -> None:
        flows = [FakeFlow(), FakeFlow()]
        probe_for(1, flows, silent=False)
        assert [flow.probes for flow in flows] == [0, 0]

    def test_a_few_flows_in_each_round(self) -> None:
        flows = [FakeFlow(), FakeFlow()]
        probe_for(2, flows)
        assert [flow.probes for flow in flows] == [2, 2]

    def test_of_many_all_have_their_turn(self) -> None:
        flows = [FakeFlow() for _ in range(2 * FLOWS_PER_ROUND)]
        probe_for(2, flows)
        assert [flow.probes for flow in flows] == [1] * len(flows)
