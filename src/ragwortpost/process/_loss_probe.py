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

# Seconds between two probes of one flow: above a caller's first probe timeout,
# far below the time for which callers wait.
ROUND_SECONDS: Final = 0.5
# Flows probed in one round, in turn; bounds the cost at an agent that holds
# many to a hundred datagrams a second.
FLOWS_PER_ROUND: Final = 50


class LossProbe:
    """Probes the callers of one agent while an entry is silent."""

    def __init__(
        self,
        entries: EntrySelector,
        live_entries: Callable[[], Sequence[HostPort]],
        flows: Callable[[], Sequence[CallerConnection]],
    ) -> None:
        """Probe the flows returned by ``flows``."""
        self._entries = entries
        self._live_entries = live_entries
        self._flows = flows
        self._turn: deque[CallerConnection] = deque()

    async def run(self) -> None:
        """Probe in rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            if self._entries.any_silent(self._live_entries()):
                for flow in self._next_flows():
                    flow.probe()

    def _next_flows(self) -> Iterator[CallerConnection]:
        """Yield the flows of this round; all have their turn."""
        flows = self._flows()
        if not self._turn:
            self._turn.extend(flows)
        present = set(flows)
        for _ in range(min(FLOWS_PER_ROUND, len(self._turn))):
            flow = self._turn.popleft()
            if flow in present:
                yield flow
