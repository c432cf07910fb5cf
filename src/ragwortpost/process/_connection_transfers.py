"""Gives the flows of an agent that stops to agents that go on."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from absl import logging

from ragwortpost._clock import Clock
from ragwortpost.connection import CallerConnection
from ragwortpost.process._connection_table import ConnectionTable
from ragwortpost.version import Fleet, ShortId, Upstream, first_upstream
from ragwortpost.wire.peer_pb2 import MovedFlow

QUIET_SECONDS: Final = 2.0
LINGER_SECONDS: Final = 2.0
MAX_AT_ONCE: Final = 32

Give = Callable[[Upstream, MovedFlow], Awaitable[bool]]


@dataclass
class TransferCounters:
    """Totals since the process started."""

    # Flows that another agent went on with.
    moved: int = 0
    # Flows that could not be moved and were closed.
    closed: int = 0


class ConnectionTransfers:
    """Moves flows to the successor that entries choose too.

    When the upstream is gone from the tree, entries send its connection ids
    to the first upstream in the order of the id; so that is where they go.
    """

    def __init__(
        self,
        clock: Clock,
        ident: ShortId,
        service: str,
        flows: ConnectionTable,
        give: Give,
    ) -> None:
        """Prepare to give the flows of ``flows`` away."""
        self._clock = clock
        self._ident = ident
        self._service = service
        self._flows = flows
        self._give = give
        self._fleet = Fleet()
        self._successors: dict[bytes, Upstream] = {}
        self._counters = TransferCounters()
        self._turn = asyncio.Semaphore(MAX_AT_ONCE)

    @property
    def counters(self) -> TransferCounters:
        """Totals since the process started."""
        return self._counters

    def apply(self, fleet: Fleet) -> None:
        """Use the upstreams of another view from now on."""
        self._fleet = fleet

    def successor_of(self, connection_id: bytes) -> Upstream | None:
        """Return where a connection id of a moved flow leads now."""
        return self._successors.get(connection_id)

    async def move_all(
        self, forward: Callable[[CallerConnection, Upstream], None]
    ) -> None:
        """Move all flows; ``forward`` passes on what came in meanwhile."""
        moves = [self._move(flow, forward) for flow in self._flows.flows]
        await asyncio.gather(*moves)
        logging.info(
            'event=moved flows=%d closed=%d',
            self._counters.moved,
            self._counters.closed,
        )
        if self._counters.moved:
            await asyncio.sleep(LINGER_SECONDS)

    async def _move(
        self,
        flow: CallerConnection,
        forward: Callable[[CallerConnection, Upstream], None],
    ) -> None:
        async with self._turn:
            others = self._fleet.other_accepting_upstreams(
                self._service, self._ident
            )
            successor = first_upstream(self._ident, others)
            if successor is None or not await self._move_to(flow, successor):
                self._counters.closed += 1
                flow.cancel_transfer()
                flow.close('leaving')
                return
            for connection_id in self._flows.ids_of(flow):
                self._successors[connection_id] = successor
            forward(flow, successor)
            self._counters.moved += 1

    async def _move_to(
        self, flow: CallerConnection, successor: Upstream
    ) -> bool:
        state = await flow.export_state(self._clock.monotonic() + QUIET_SECONDS)
        if state is None:
            return False
        state.service = self._service
        return await self._give(successor, state)
