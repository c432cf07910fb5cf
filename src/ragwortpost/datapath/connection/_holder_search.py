"""Search for the holders of many flows of one service by inventories.

All agents of the service are asked first. Lookups that all of them have denied
need the denials of the other services' agents as well: the route may have led
there when the flow was opened.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import chain, takewhile
from typing import TypeAlias

from ragwortpost.datapath.connection._flow_lookups import FlowLookup
from ragwortpost.datapath.connection._inventories import flow_hash
from ragwortpost.datapath.connection._inventory_watermarks import (
    NO_POSITION,
    Denials,
    InventoryPart,
    InventoryWatermarks,
)
from ragwortpost.datapath.connection._packet import FlowKey

_Queue: TypeAlias = dict[FlowKey, FlowLookup]
# Chooses lookups by a condition: ``filter``, or ``takewhile`` for a queue in
# the order of their start.
_Choose: TypeAlias = Callable[
    [Callable[[FlowLookup], bool], Iterable[FlowLookup]], Iterable[FlowLookup]
]


@dataclass(frozen=True, slots=True)
class PossibleHolders:
    """The agents that may hold flows of one service."""

    # Agents of the service.
    own: tuple[str, ...]
    # Agents of other services.
    others: tuple[str, ...]


class HolderSearch:
    """The lookups of one service that await inventories."""

    def __init__(self) -> None:
        """Start without lookups."""
        # Lookups that agents of the service have to deny, and those that all
        # of these have denied; both in the order of their positions.
        self._in_service: _Queue = {}
        self._in_others: _Queue = {}
        self._by_hash: defaultdict[int, _Queue] = defaultdict(dict)
        self._watermarks = InventoryWatermarks()
        self._last_position = NO_POSITION
        # Latest start of a lookup that other services' agents have to deny.
        self._last_in_others = NO_POSITION
        # The lookups that each agent has denied by a reply that names them.
        self._denied_by: defaultdict[str, _Queue] = defaultdict(dict)
        self._holders = PossibleHolders((), ())

    def __len__(self) -> int:
        """Return the number of lookups."""
        return len(self._in_service) + len(self._in_others)

    def add(self, lookup: FlowLookup) -> None:
        """Add a lookup, or begin it anew for the caller's next packet."""
        self.remove(lookup)
        lookup.began = self._take_position(lookup)
        lookup.listed_by.clear()
        flow = lookup.packet.flow
        self._in_service[flow] = lookup
        self._by_hash[flow_hash(flow)][flow] = lookup
        for agent in lookup.denied:
            self._denied_by[agent][flow] = lookup

    def remove(self, lookup: FlowLookup) -> None:
        """Remove a lookup if it is waiting."""
        flow = lookup.packet.flow
        for agent in lookup.denied:
            self._denied_by[agent].pop(flow, None)
        self._in_service.pop(flow, None)
        self._in_others.pop(flow, None)
        hashed = flow_hash(flow)
        same_hash = self._by_hash.get(hashed)
        if same_hash is not None:
            same_hash.pop(flow, None)
            if not same_hash:
                self._by_hash.pop(hashed)

    def record_denial(self, lookup: FlowLookup, agent: str) -> None:
        """Record that an agent has denied a flow by a reply that names it."""
        lookup.denied.add(agent)
        self._denied_by[agent][lookup.packet.flow] = lookup

    def withdraw_denial(self, lookup: FlowLookup, agent: str) -> None:
        """Discard a denial: a later inventory of the agent lists the flow."""
        lookup.denied.discard(agent)
        self._denied_by[agent].pop(lookup.packet.flow, None)

    def names_flows(self, agent: str) -> bool:
        """Return whether an agent is queried by naming flows."""
        return self._watermarks.names_flows(agent)

    def update_holders(self, holders: PossibleHolders) -> None:
        """Replace the agents that may hold flows."""
        if holders == self._holders:
            return
        self._holders = holders
        self._watermarks.retain(frozenset((*holders.own, *holders.others)))
        for agent in tuple(self._denied_by):
            if not self._denied_by[agent]:
                self._denied_by.pop(agent)

    def due_requests(self, now: float) -> Sequence[str]:
        """Return the agents whose inventories are to be requested now."""
        positions = [self._last_in_others if self._in_others else NO_POSITION]
        if self._in_service:
            latest = next(reversed(self._in_service.values()))
            positions.append(latest.began)
        due = self._due(self._holders.own, max(positions), now)
        others = self._due(self._holders.others, positions[0], now)
        return [*due, *others]

    def record_request(self, agent: str, number: int, now: float) -> None:
        """Record the request for an agent's inventory."""
        self._watermarks.record_request(agent, number, self._last_position, now)

    def expects(self, agent: str, number: int) -> bool:
        """Return whether an agent's inventory with a number is awaited."""
        return self._watermarks.expects(agent, number)

    def receive(
        self, agent: str, part: InventoryPart, flow_hashes: Iterable[int]
    ) -> Sequence[FlowLookup]:
        """Record a part of an inventory; return the lookups that it lists."""
        self._watermarks.receive(agent, part)
        listed = self._by_hash.keys() & frozenset(flow_hashes)
        return [
            lookup
            for hashed in listed
            for lookup in self._by_hash[hashed].values()
        ]

    def pop_unnamed(self) -> Iterator[tuple[str, FlowLookup]]:
        """Yield each lookup once for each agent that needs flows named."""
        both = (self._in_service, self._in_others)
        for agent in self._holders.own:
            yield from self._unnamed(agent, both)
        for other in self._holders.others:
            yield from self._unnamed(other, both[1:])

    def pop_denied(self) -> Iterator[FlowLookup]:
        """Remove and yield the lookups that all possible holders denied.

        While no agent of the service is known, none is yielded.
        """
        if self._in_service:
            self._move_denied()
        if self._in_others and self._holders.own:
            denials = self.denials()
            for lookup in self._denied(filter, self._in_others, denials):
                self.remove(lookup)
                yield lookup

    def denials(self) -> Denials:
        """Return which lookups all possible holders have denied."""
        holders = self._holders
        return self._watermarks.denials((*holders.own, *holders.others))

    def _move_denied(self) -> None:
        """Move the lookups that the service's agents have all denied."""
        if self._holders.own:
            denials = self._watermarks.denials(self._holders.own)
            moved = self._denied(takewhile, self._in_service, denials)
        else:
            moved = tuple(self._in_service.values())
        for denied in moved:
            flow = denied.packet.flow
            self._in_service.pop(flow)
            self._take_position(denied)
            self._in_others[flow] = denied
            self._last_in_others = max(self._last_in_others, denied.began)

    def _denied(
        self, choose: _Choose, queue: _Queue, denials: Denials
    ) -> Sequence[FlowLookup]:
        """Return the lookups of a queue that all agents have denied.

        Examines those that every agent's inventory denies, chosen by their
        start, and of the others those that one of the agents with the lowest
        watermark has denied by name: all these agents must have done so.
        """
        lowest = denials.lowest
        by_inventories = choose(
            lambda lookup: lookup.began <= lowest, queue.values()
        )
        by_name = min(
            (self._denied_by[agent] for agent in denials.lowest_agents),
            key=len,
        )
        candidates = chain(
            by_inventories,
            (lookup for flow, lookup in by_name.items() if flow in queue),
        )
        denied = {
            lookup.packet.flow: lookup
            for lookup in candidates
            if denials.all_deny(lookup)
        }
        return tuple(denied.values())

    def _unnamed(
        self, agent: str, queues: Iterable[_Queue]
    ) -> Iterator[tuple[str, FlowLookup]]:
        if not self._watermarks.names_flows(agent):
            return
        named_up_to = self._watermarks.advance_named(agent, self._last_position)
        for lookup in chain.from_iterable(
            _after(queue, named_up_to) for queue in queues
        ):
            if agent not in lookup.denied:
                yield agent, lookup

    def _due(
        self, agents: Iterable[str], position: int, now: float
    ) -> Iterator[str]:
        if position == NO_POSITION:
            return
        for agent in agents:
            if self._watermarks.is_due(agent, position, now):
                yield agent

    def _take_position(self, lookup: FlowLookup) -> int:
        self._last_position += 1
        lookup.position = self._last_position
        return self._last_position


def _after(queue: _Queue, position: int) -> Iterator[FlowLookup]:
    """Yield the lookups of a queue after a position, last first."""
    for lookup in reversed(queue.values()):
        if lookup.position <= position:
            return
        yield lookup
