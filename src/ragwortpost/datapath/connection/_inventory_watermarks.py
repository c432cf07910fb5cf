"""Which lookups the agents' inventories have denied, in an entry.

Lookups have positions in the order of their start. A complete inventory that
was requested after a lookup started and does not list its flow denies it. So
one number per agent, its watermark, stands for the denials of all lookups up to
that position.

An inventory that is not complete denies nothing. Its agent is queried by naming
the flows, and only its reply about a flow denies that flow.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence, Set as AbstractSet
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from ragwortpost.datapath.connection._flow_lookups import FlowLookup
from ragwortpost.datapath.connection._inventories import InventoryParts

# Minimum time between two requests for the inventory of one agent.
REQUEST_INTERVAL_SECONDS: Final = 0.04
# A request without an inventory after this time is taken to be lost. Far above
# a round trip between data centres.
REPEAT_SECONDS: Final = 0.1
# Interval of requests to an agent whose inventories deny nothing: it may have
# restarted with its upstream or hold fewer flows now.
RECHECK_SECONDS: Final = 1.0
# Unanswered requests remembered for each agent. An agent that answers later
# than this number of repetitions is asked again.
MAX_UNANSWERED_REQUESTS: Final = 20
# Position before that of every lookup.
NO_POSITION: Final = 0


@dataclass(frozen=True, slots=True)
class InventoryPart:
    """What an inventory's part says besides the hashes of flows."""

    # Number of the request that it answers.
    number: int
    part: int
    # Number of all parts; none if the upstream holds too many flows.
    parts: int
    # Whether the upstream holds no other flows.
    complete: bool


@dataclass(slots=True)
class _Request:
    # Position of the latest lookup when the inventory was requested.
    position: int
    parts: InventoryParts = field(default_factory=InventoryParts)


@dataclass(slots=True)
class _AgentState:
    # Requests without an inventory yet, by number, oldest first.
    unanswered: dict[int, _Request] = field(default_factory=dict)
    # Monotonic seconds of the last request.
    requested_at: float = -math.inf
    # Lookups up to this position are denied unless an inventory lists them.
    watermark: int = NO_POSITION
    # Whether it is queried by naming flows.
    names_flows: bool = False
    # Lookups up to this position were named to the agent.
    named_up_to: int = NO_POSITION


class Denials:
    """Which lookups a set of agents has denied."""

    def __init__(self, watermarks: Iterable[tuple[int, str]]) -> None:
        """Initialize with each agent's watermark and address."""
        ascending = sorted(watermarks)
        self._watermarks = [watermark for watermark, _ in ascending]
        self._agents = [agent for _, agent in ascending]
        self._members = frozenset(self._agents)

    @property
    def lowest(self) -> int:
        """The lowest watermark, zero if there are no agents."""
        return self._watermarks[0] if self._watermarks else NO_POSITION

    @property
    def lowest_agents(self) -> Sequence[str]:
        """The agents with the lowest watermark."""
        return self._agents[: bisect_right(self._watermarks, self.lowest)]

    def pending_count(self, lookup: FlowLookup) -> int:
        """Return how many agents deny a lookup by no inventory."""
        return bisect_left(self._watermarks, lookup.began)

    def all_deny(self, lookup: FlowLookup) -> bool:
        """Return whether every agent has denied a lookup's flow.

        Agents whose inventories don't deny it, or list it, must have denied it
        by a reply that names it.
        """
        pending = self.pending_count(lookup)
        denied = lookup.denied
        if pending > len(denied):
            return False
        return self._unlisted(lookup) and denied.issuperset(
            islice(self._agents, pending)
        )

    def missing(self, lookup: FlowLookup) -> AbstractSet[str]:
        """Return the agents that have not denied a lookup's flow."""
        pending = self._agents[: self.pending_count(lookup)]
        listed = self._members & lookup.listed_by
        return (listed | set(pending)) - lookup.denied

    def _unlisted(self, lookup: FlowLookup) -> bool:
        unanswered = lookup.listed_by - lookup.denied
        return not unanswered or self._members.isdisjoint(unanswered)


class InventoryWatermarks:
    """The inventories that one entry has requested and received, by agent."""

    def __init__(self) -> None:
        """Start without any request."""
        self._states: dict[str, _AgentState] = {}

    def is_due(self, agent: str, position: int, now: float) -> bool:
        """Return whether lookups up to a position need a request now."""
        state = self._states.get(agent)
        if state is None:
            return True
        waited = now - state.requested_at
        if state.names_flows:
            return waited >= RECHECK_SECONDS
        if state.watermark >= position:
            return False
        if state.unanswered:
            return waited >= REPEAT_SECONDS
        return waited >= REQUEST_INTERVAL_SECONDS

    def record_request(
        self, agent: str, number: int, position: int, now: float
    ) -> None:
        """Record a request sent after the lookup at a position started."""
        state = self._states.setdefault(agent, _AgentState())
        state.requested_at = now
        state.unanswered[number] = _Request(position)
        if len(state.unanswered) > MAX_UNANSWERED_REQUESTS:
            state.unanswered.pop(next(iter(state.unanswered)))

    def expects(self, agent: str, number: int) -> bool:
        """Return whether an agent's inventory with a number is awaited."""
        state = self._states.get(agent)
        return state is not None and number in state.unanswered

    def receive(self, agent: str, part: InventoryPart) -> None:
        """Record a part of an inventory that is awaited.

        It counts once all its parts have arrived. Earlier requests of the
        agent are no longer awaited then: an inventory that was delayed on the
        way may come from an earlier incarnation of the agent.
        """
        state = self._states[agent]
        request = state.unanswered[part.number]
        if not request.parts.add(part.part, part.parts, complete=part.complete):
            return
        for number in tuple(state.unanswered):
            state.unanswered.pop(number)
            if number == part.number:
                break
        state.names_flows = not (part.parts and request.parts.is_complete)
        state.watermark = NO_POSITION if state.names_flows else request.position

    def names_flows(self, agent: str) -> bool:
        """Return whether an agent is queried by naming flows."""
        state = self._states.get(agent)
        return state is not None and state.names_flows

    def advance_named(self, agent: str, position: int) -> int:
        """Record that lookups up to a position are named to an agent.

        Returns the position up to which they were named before.
        """
        state = self._states[agent]
        previous = state.named_up_to
        state.named_up_to = position
        return previous

    def denials(self, agents: Iterable[str]) -> Denials:
        """Return which lookups the given agents have denied."""
        return Denials((self._watermark(agent), agent) for agent in agents)

    def retain(self, agents: AbstractSet[str]) -> None:
        """Forget all agents but the given ones."""
        for agent in self._states.keys() - agents:
            self._states.pop(agent)

    def _watermark(self, agent: str) -> int:
        state = self._states.get(agent)
        return NO_POSITION if state is None else state.watermark
