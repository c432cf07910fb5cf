"""Recovers packets that callers sent through an unresponsive entry.

The network may keep delivering packets to an entry that forwards them no more.
A caller whose request was lost there backs off, and several of its probes may
be lost too. While an entry is unresponsive, the agent therefore probes its
callers: the acknowledgement of a packet received after a gap makes the caller
retransmit what was lost.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from ragwortpost.connection import CallerConnection, HostPort
from ragwortpost.process._entry_selector import EntrySelector

# Interval between probes of one connection: above a caller's first probe
# timeout and far below the time for which callers wait. It is longer if there
# are more connections than fit in a round.
ROUND_SECONDS: Final = 0.5
# Probed in turn; limits the cost at an agent with many connections to 100
# datagrams a second.
CONNECTIONS_PER_ROUND: Final = 50


class LossProbe:
    """Probes the callers of one agent while an entry is unresponsive."""

    def __init__(
        self,
        entry_selector: EntrySelector,
        live_entries: Callable[[], Sequence[HostPort]],
        connections: Callable[[], Sequence[CallerConnection]],
    ) -> None:
        """Initialize with the selector and the live entries and connections."""
        self._entry_selector = entry_selector
        self._live_entries = live_entries
        self._connections = connections
        self._queue: deque[CallerConnection] = deque()

    async def run(self) -> None:
        """Probe in rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            if self._entry_selector.any_unresponsive(self._live_entries()):
                for connection in self._next_connections():
                    connection.probe()

    def _next_connections(self) -> Iterator[CallerConnection]:
        """Yield the connections of this round; later rounds take the next."""
        connections = self._connections()
        if not self._queue:
            self._queue.extend(connections)
        present = set(connections)
        for _ in range(min(CONNECTIONS_PER_ROUND, len(self._queue))):
            connection = self._queue.popleft()
            if connection in present:
                yield connection
