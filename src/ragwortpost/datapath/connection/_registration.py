"""Registration of flows with their registrars.

An agent registers its longer-lived flows with a few agents of its service,
chosen by rendezvous hashing over the view, so that any entry finds the holder
without querying every agent.
"""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from ragwortpost.datapath.connection._packet import FlowKey

# Registrars of each flow: two, since one may be down.
REGISTRAR_COUNT: Final = 2
# Age at which a flow is registered. Flows that carry a single request have
# ended by then.
REGISTRATION_DELAY_SECONDS: Final = 0.3


def registrars_of(flow: FlowKey, hosts: Iterable[str]) -> list[str]:
    """Return the addresses of the agents that a flow is registered with."""
    return heapq.nsmallest(
        REGISTRAR_COUNT,
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(flow + host.encode()),
    )


class RegistrationQueue:
    """New flows that are not registered yet, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._flows: deque[tuple[float, FlowKey]] = deque()

    def add(self, flow: FlowKey, now: float) -> None:
        """Add a new flow."""
        self._flows.append((now, flow))

    def pop_due(self, now: float) -> Iterator[FlowKey]:
        """Remove and yield the flows that are old enough to be registered."""
        while (
            self._flows
            and now - self._flows[0][0] >= REGISTRATION_DELAY_SECONDS
        ):
            yield self._flows.popleft()[1]
