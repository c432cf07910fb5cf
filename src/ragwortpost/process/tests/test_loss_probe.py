"""Tests of the probes that an agent sends while an entry is unresponsive.

Without them, callers whose packets were lost at that entry retransmit late. Too
many probes at once would burden an agent with many connections.
"""

import asyncio
from collections.abc import Sequence
from typing import cast

from ragwortpost.connection import CallerConnection, HostPort
from ragwortpost.process._entry_selector import EntrySelector
from ragwortpost.process._loss_probe import (
    CONNECTIONS_PER_ROUND,
    ROUND_SECONDS,
    LossProbe,
)


class FakeSelector:
    """A selector that reports a fixed state."""

    def __init__(self, *, unresponsive: bool) -> None:
        self.unresponsive = unresponsive

    def any_unresponsive(self, _: Sequence[HostPort]) -> bool:
        return self.unresponsive


class FakeConnection:
    """A connection that counts its probes."""

    def __init__(self) -> None:
        self.probes = 0

    def probe(self) -> None:
        self.probes += 1


def run_probe(
    rounds: int,
    connections: Sequence[FakeConnection],
    *,
    unresponsive: bool = True,
) -> None:
    """Run the loss probe for a number of rounds."""
    probe = LossProbe(
        cast(EntrySelector, FakeSelector(unresponsive=unresponsive)),
        lambda: [('10.0.0.1', 7001)],
        lambda: cast(Sequence[CallerConnection], connections),
    )

    async def run() -> None:
        task = asyncio.create_task(probe.run())
        await asyncio.sleep((rounds + 0.5) * ROUND_SECONDS)
        task.cancel()

    asyncio.run(run())


class TestLossProbe:
    """Selection and frequency of the probed connections."""

    def test_none_while_all_entries_respond(self) -> None:
        connections = [FakeConnection(), FakeConnection()]
        run_probe(1, connections, unresponsive=False)
        assert [connection.probes for connection in connections] == [0, 0]

    def test_few_connections_in_every_round(self) -> None:
        connections = [FakeConnection(), FakeConnection()]
        run_probe(2, connections)
        assert [connection.probes for connection in connections] == [2, 2]

    def test_many_connections_in_turn(self) -> None:
        connections = [
            FakeConnection() for _ in range(2 * CONNECTIONS_PER_ROUND)
        ]
        run_probe(2, connections)
        assert [connection.probes for connection in connections] == [1] * len(
            connections
        )
