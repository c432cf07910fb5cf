"""Which agents remember where a flow is, besides its holder.

An agent registers the flows that live for a while with a few agents of its
service, chosen by rendezvous hashing over the view, so that any entry finds
them without asking every agent.
"""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from ragwortpost.datapath.connection._packet import FlowKey

# Agents that a flow is registered with: one may be away.
REGISTRAR_COUNT: Final = 2
# Seconds that a flow lives before it is registered; one that carries a single
# request is over by then.
REGISTRATION_DELAY_SECONDS: Final = 0.3


def registrars_of(flow: FlowKey, hosts: Iterable[str]) -> list[str]:
    """Return the agents, by address, that a flow is registered with."""
    return heapq.nsmallest(
        REGISTRAR_COUNT,
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(flow + host.encode()),
    )


class RegistrationQueue:
    """Flows that are not registered yet, the oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._flows: deque[tuple[float, FlowKey]] = deque()

    def add(self, flow: FlowKey, now: float) -> None:
        """Note a new flow."""
        self._flows.append((now, flow))

    def pop_due(self, now: float) -> Iterator[FlowKey]:
        """Yield, and forget, the flows that are old enough."""
        while (
            self._flows
            and now - self._flows[0][0] >= REGISTRATION_DELAY_SECONDS
        ):
            yield self._flows.popleft()[1]
