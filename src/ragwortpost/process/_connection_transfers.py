"""Transfers the connections of a stopping agent to other agents."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from absl import logging

from ragwortpost._clock import Clock
from ragwortpost.connection import CallerConnection
from ragwortpost.process._connection_table import ConnectionTable
from ragwortpost.version import Fleet, ShortId, Upstream, ranked_upstreams
from ragwortpost.wire.peer_pb2 import MovedFlow

# Least time that a connection gets to finish its requests and frames, however
# late its transfer begins.
QUIESCE_SECONDS: Final = 2.0
# How long late datagrams are relayed after the transfers.
LINGER_SECONDS: Final = 2.0
MAX_CONCURRENT: Final = 32

# Agents that are asked to continue a connection, at most: the first ones may be
# stopping too.
MAX_SUCCESSORS_TRIED: Final = 3


class AdoptOutcome(Enum):
    """Whether an agent that was sent a connection's state continues it."""

    # The agent continues the connection.
    ACCEPTED = 'accepted'
    # The agent does not continue it, or was never sent the state.
    REFUSED = 'refused'
    # The reply was lost: the agent may continue it.
    UNKNOWN = 'unknown'


SendState = Callable[[Upstream, MovedFlow], Awaitable[AdoptOutcome]]


@dataclass
class TransferCounters:
    """Totals since the process started."""

    # Connections that another agent accepted.
    moved: int = 0
    # Connections that could not be transferred and were closed.
    closed: int = 0


class ConnectionTransfers:
    """Transfers connections to the agent that entries will forward to.

    Once the upstream is removed from the settings, entries forward datagrams
    whose connection id encodes it to the first upstream in the rendezvous order
    of the removed one's id. The same upstream is therefore asked first here.
    Later ones continue a connection under its new ids only.
    """

    def __init__(
        self,
        clock: Clock,
        ident: ShortId,
        service: str,
        connections: ConnectionTable,
        send_state: SendState,
    ) -> None:
        """Initialize with the table and the call that sends a state."""
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
        """Replace the view from which successors are chosen."""
        self._fleet = fleet

    def successor_of(self, connection_id: bytes) -> Upstream | None:
        """Return the upstream that a connection was transferred to, if any."""
        return self._successors.get(connection_id)

    async def transfer_all(
        self,
        relay: Callable[[CallerConnection, Upstream], None],
        deadline: float,
    ) -> None:
        """Transfer all connections, then wait while late packets are relayed.

        Requests that peers run for a connection have until ``deadline``, in
        seconds of the monotonic clock, to finish. ``relay`` sends the datagrams
        that arrived during a transfer to the successor.
        """
        transfers = [
            self._transfer(connection, relay, deadline)
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
        deadline: float,
    ) -> None:
        async with self._limit:
            successor = await self._find_successor(connection, deadline)
            if successor is None:
                self._counters.closed += 1
                connection.cancel_transfer()
                connection.close('leaving')
                return
            for connection_id in self._connections.ids_of(connection):
                self._successors[connection_id] = successor
            relay(connection, successor)
            self._counters.moved += 1

    async def _find_successor(
        self, connection: CallerConnection, deadline: float
    ) -> Upstream | None:
        """Return the upstream whose agent continues a connection, if any."""
        state = await connection.export_state(
            max(deadline, self._clock.monotonic() + QUIESCE_SECONDS)
        )
        if state is None:
            return None
        state.service = self._service
        for successor in self._candidates():
            outcome = await self._send_state(successor, state)
            if outcome is AdoptOutcome.ACCEPTED:
                return successor
            logging.info(
                'event=not_adopted peer=%s outcome=%s',
                successor.name,
                outcome.value,
            )
            if outcome is AdoptOutcome.UNKNOWN:
                # A second agent must not continue the connection as well.
                return None
        return None

    def _candidates(self) -> Sequence[Upstream]:
        others = self._fleet.other_accepting_upstreams(
            self._service, self._ident
        )
        return ranked_upstreams(self._ident, others, MAX_SUCCESSORS_TRIED)
