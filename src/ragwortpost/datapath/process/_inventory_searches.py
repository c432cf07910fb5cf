"""An entry's searches for holders by inventories, one for each service."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence, Set as AbstractSet
from dataclasses import dataclass
from itertools import count
from typing import Final

from ragwortpost.datapath.connection import (
    FlowLookup,
    HolderSearch,
    InventoryPart,
)
from ragwortpost.datapath.process._messages import Inventory
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._possible_holders import HolderDirectory

# Minimum time between two rounds of requests that packets and replies begin, so
# that they don't iterate over all agents for each of them. Ticks begin further
# rounds.
ROUND_INTERVAL_SECONDS: Final = 0.02
_NUMBER_BITS: Final = 32


@dataclass(frozen=True, slots=True)
class InventoryRequest:
    """A request for the inventory of one agent."""

    # The agent's address.
    agent: str
    # The service of the flows that are looked up.
    service: str
    # Identifies the request.
    number: int


@dataclass(frozen=True)
class SearchPorts:
    """Callbacks through which searches reach agents."""

    request: Callable[[InventoryRequest], None]
    # Queries an agent for the flow of a lookup.
    name_flow: Callable[[str, FlowLookup], None]


class InventorySearches:
    """Requests inventories for the lookups of one entry."""

    def __init__(
        self,
        context: NodeContext,
        holders: HolderDirectory,
        ports: SearchPorts,
    ) -> None:
        """Initialize with the possible holders and the callbacks.

        Requests are numbered from a random number on: an inventory that a
        previous incarnation of the entry requested must not be taken for the
        reply to a later request.
        """
        self._clock = context.clock
        self._holders = holders
        self._ports = ports
        self._numbers = count(context.rng.getrandbits(_NUMBER_BITS))
        self._searches: defaultdict[str, HolderSearch] = defaultdict(
            HolderSearch
        )
        # Monotonic seconds of the last round, by service.
        self._last_rounds: dict[str, float] = {}

    def add(self, lookup: FlowLookup, service: str) -> None:
        """Search for the holder of a flow, or begin its search anew."""
        self.remove(lookup)
        lookup.service = service
        self._searches[service].add(lookup)
        last_round = self._last_rounds.get(service)
        now = self._clock.monotonic()
        if last_round is None or now - last_round >= ROUND_INTERVAL_SECONDS:
            self._run_round(service, self._searches[service])

    def remove(self, lookup: FlowLookup) -> None:
        """End the search for the holder of a flow, if there is one."""
        if lookup.service:
            self._searches[lookup.service].remove(lookup)
            lookup.service = ''

    def record_denial(self, lookup: FlowLookup, agent: str) -> None:
        """Record that an agent has denied a flow by a reply that names it."""
        self._searches[lookup.service].record_denial(lookup, agent)

    def withdraw_denial(self, lookup: FlowLookup, agent: str) -> None:
        """Discard a denial: a later inventory of the agent lists the flow."""
        self._searches[lookup.service].withdraw_denial(lookup, agent)

    def names_flows(self, lookup: FlowLookup, agent: str) -> bool:
        """Return whether an agent is queried for a lookup by naming flows."""
        return self._searches[lookup.service].names_flows(agent)

    def missing(self, lookup: FlowLookup) -> AbstractSet[str]:
        """Return the agents that have not denied a flow."""
        return self._searches[lookup.service].denials().missing(lookup)

    def receive(self, inventory: Inventory, agent: str) -> Sequence[FlowLookup]:
        """Record an agent's inventory; return the lookups that it lists."""
        part = InventoryPart(
            inventory.number,
            inventory.part,
            inventory.parts,
            inventory.complete,
        )
        for search in self._searches.values():
            if search.expects(agent, inventory.number):
                return search.receive(agent, part, inventory.flow_hashes)
        return ()

    def run_rounds(self) -> None:
        """Request the inventories that are due."""
        for service, search in self._searches.items():
            if search:
                self._run_round(service, search)

    def pop_denied(self) -> Iterator[FlowLookup]:
        """Remove and yield the lookups that all possible holders denied."""
        for service, search in self._searches.items():
            if search:
                search.update_holders(self._holders.possible_holders(service))
                yield from search.pop_denied()

    def _run_round(self, service: str, search: HolderSearch) -> None:
        now = self._clock.monotonic()
        self._last_rounds[service] = now
        search.update_holders(self._holders.possible_holders(service))
        for agent in search.due_requests(now):
            number = next(self._numbers) % (1 << _NUMBER_BITS)
            search.record_request(agent, number, now)
            self._ports.request(InventoryRequest(agent, service, number))
        for named_to, lookup in search.pop_unnamed():
            self._ports.name_flow(named_to, lookup)
