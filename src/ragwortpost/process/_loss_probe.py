"""Recovers what callers sent through an entry that has fallen silent.

The fabric may go on handing packets to an entry that no longer forwards them.
A caller whose request was lost there backs off, and several of its probes may
be lost as well. While an entry is silent, the agent asks its callers for a sign
of life: the acknowledgement of what arrives after a gap makes a caller send
again what was lost.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from ragwortpost.connection import CallerConnection, HostPort
from ragwortpost.process._entry_selector import EntrySelector

# Above a caller's first probe timeout,
# far below the time for which callers wait.
ROUND_SECONDS: Final = 0.5
# Flows probed in one round, in turn; bounds the cost at an agent that holds
# many to a hundred datagrams a second.
CONNECTIONS_PER_ROUND: Final = 50


class LossProbe:
    """Probes the callers of one agent while an entry is silent."""

    def __init__(
        self,
        entries: EntrySelector,
        live_entries: Callable[[], Sequence[HostPort]],
        connections: Callable[[], Sequence[CallerConnection]],
    ) -> None:
        """Probe the connections returned by ``connections``."""
        self._entries = entries
        self._live_entries = live_entries
        self._connections = connections
        self._queue: deque[CallerConnection] = deque()

    async def run(self) -> None:
        """Probe in rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            if self._entries.any_unresponsive(self._live_entries()):
                for connection in self._next_connections():
                    connection.probe()

    def _next_connections(self) -> Iterator[CallerConnection]:
        """Yield the connections of this round; all have their turn."""
        connections = self._connections()
        if not self._queue:
            self._queue.extend(connections)
        present = set(connections)
        for _ in range(min(CONNECTIONS_PER_ROUND, len(self._queue))):
            connection = self._queue.popleft()
            if connection in present:
                yield connection
