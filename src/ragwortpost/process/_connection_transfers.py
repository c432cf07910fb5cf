"""Gives the connections of an agent that stops to agents that go on."""

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

QUIESCE_SECONDS: Final = 2.0
LINGER_SECONDS: Final = 2.0
MAX_CONCURRENT: Final = 32

SendState = Callable[[Upstream, MovedFlow], Awaitable[bool]]


@dataclass
class TransferCounters:
    """Totals since the process started."""

    # Flows that another agent went on with.
    moved: int = 0
    # Flows that could not be moved and were closed.
    closed: int = 0


class ConnectionTransfers:
    """Moves connections to the successor that entries choose too.

    When the upstream is gone from the tree, entries send its connection ids
    to the first upstream in the order of the id; so that is where they go.
    """

    def __init__(
        self,
        clock: Clock,
        ident: ShortId,
        service: str,
        connections: ConnectionTable,
        send_state: SendState,
    ) -> None:
        """Prepare to give the connections of ``connections`` away."""
        self._clock = clock
        self._ident = ident
        self._service = service
        self._connections = connections
        self._send_state = send_state
        self._fleet = Fleet()
        self._successors: dict[bytes, Upstream] = {}
        self._counters = TransferCounters()
        self._limit = asyncio.Semaphore(MAX_CONCURRENT)

    @property
    def counters(self) -> TransferCounters:
        """Totals since the process started."""
        return self._counters

    def apply(self, fleet: Fleet) -> None:
        """Use the upstreams of another view from now on."""
        self._fleet = fleet

    def successor_of(self, connection_id: bytes) -> Upstream | None:
        """Return where a connection id of a moved connection leads now."""
        return self._successors.get(connection_id)

    async def transfer_all(
        self, relay: Callable[[CallerConnection, Upstream], None]
    ) -> None:
        """Move all connections; ``relay`` passes on what came in meanwhile."""
        transfers = [
            self._transfer(connection, relay)
            for connection in self._connections.connections
        ]
        await asyncio.gather(*transfers)
        logging.info(
            'event=moved flows=%d closed=%d',
            self._counters.moved,
            self._counters.closed,
        )
        if self._counters.moved:
            await asyncio.sleep(LINGER_SECONDS)

    async def _transfer(
        self,
        connection: CallerConnection,
        relay: Callable[[CallerConnection, Upstream], None],
    ) -> None:
        async with self._limit:
            others = self._fleet.other_accepting_upstreams(
                self._service, self._ident
            )
            successor = first_upstream(self._ident, others)
            if successor is None or not await self._transfer_to(
                connection, successor
            ):
                self._counters.closed += 1
                connection.cancel_transfer()
                connection.close('leaving')
                return
            for connection_id in self._connections.ids_of(connection):
                self._successors[connection_id] = successor
            relay(connection, successor)
            self._counters.moved += 1

    async def _transfer_to(
        self, connection: CallerConnection, successor: Upstream
    ) -> bool:
        state = await connection.export_state(
            self._clock.monotonic() + QUIESCE_SECONDS
        )
        if state is None:
            return False
        state.service = self._service
        return await self._send_state(successor, state)
