"""An agent's answers to entries that look up flows."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Final, TypeAlias

from ragwortpost.datapath.connection import (
    MAX_INVENTORY_FLOWS,
    AnswerDeferral,
    HeldFlows,
    Ownership,
    UnconfirmedPackets,
    flow_hash,
)
from ragwortpost.datapath.process._fixed_layouts import HASHES_PER_DATAGRAM
from ragwortpost.datapath.process._messages import (
    FlowQuery,
    FlowQueryReply,
    Inventory,
    InventoryQuery,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._upstream_presence import UpstreamPresence

LookupQuery: TypeAlias = FlowQuery | InventoryQuery

_MS: Final = 1000


@dataclass(frozen=True)
class AgentFlows:
    """The flows of one agent's upstream."""

    held: HeldFlows
    unconfirmed: UnconfirmedPackets
    # Whether the upstream may still hold any.
    presence: UpstreamPresence


class QueryResponder:
    """Answers queries for flows, as soon as the agent can.

    While the agent does not know whether its upstream started with it, answers
    are deferred.
    """

    def __init__(
        self,
        context: NodeContext,
        flows: AgentFlows,
        send: Callable[[FlowQueryReply | Inventory, str], None],
    ) -> None:
        """Initialize with the agent's flows; ``send`` answers an entry."""
        self._clock = context.clock
        self._events = context.metrics.events
        self._flows = flows
        self._send = send
        self._deferral = AnswerDeferral[LookupQuery](self._clock.monotonic())

    def decide(self) -> None:
        """Answer all deferred queries: the upstream's start is known now."""
        self._deferral.decide()
        self.answer_due()

    def answer_due(self) -> None:
        """Answer deferred queries if the time for deferral has ended."""
        for entry, query in self._deferral.pop_due(self._clock.monotonic()):
            self._answer(query, entry)

    def receive(self, query: LookupQuery, entry: str) -> None:
        """Answer an entry's query, or defer the answer."""
        undecided = self._deferral.is_undecided(self._clock.monotonic())
        if self._flows.held.is_complete or not undecided:
            self._answer(query, entry)
            return
        # An entry that requests the inventory again needs one answer.
        key = query.service if isinstance(query, InventoryQuery) else query
        self._deferral.defer(key, entry, query)

    def _answer(self, query: LookupQuery, entry: str) -> None:
        if isinstance(query, FlowQuery):
            self._send(self._flow_reply(query), entry)
            return
        for part in self._inventory(query):
            self._send(part, entry)

    def _flow_reply(self, query: FlowQuery) -> FlowQueryReply:
        """Return which of the queried flows the upstream may hold."""
        denied, possibly_held = [], []
        is_gone = self._flows.presence.is_gone
        for flow in query.flows:
            match self._flows.held.ownership_of(flow):
                case Ownership.NOT_HELD:
                    denied.append(flow)
                case Ownership.UNKNOWN if is_gone:
                    denied.append(flow)
                case _:
                    possibly_held.append(flow)
        self._events['not_held'] += len(denied)
        load, pace_ms = self._load_and_pace()
        return FlowQueryReply(
            load, tuple(denied), tuple(possibly_held), pace_ms
        )

    def _inventory(self, query: InventoryQuery) -> Iterator[Inventory]:
        """Yield the parts of an inventory of all flows.

        It lists the flows of unconfirmed deliveries as well, since the upstream
        may be about to answer them.
        """
        held = self._flows.held
        hashes = [
            *held.flow_hashes,
            *map(flow_hash, self._flows.unconfirmed.flows),
        ]
        load, pace_ms = self._load_and_pace()
        whole = Inventory(
            query.number,
            load,
            pace_ms,
            held.is_complete or self._flows.presence.is_gone,
            part=0,
            parts=0,
            flow_hashes=(),
        )
        if len(hashes) > MAX_INVENTORY_FLOWS:
            yield whole
            return
        starts = range(0, max(1, len(hashes)), HASHES_PER_DATAGRAM)
        for part, start in enumerate(starts):
            listed = tuple(hashes[start : start + HASHES_PER_DATAGRAM])
            yield replace(
                whole, part=part, parts=len(starts), flow_hashes=listed
            )

    def _load_and_pace(self) -> tuple[int, int]:
        """Return the load and the pace in milliseconds that replies report."""
        now = self._clock.monotonic()
        held = self._flows.held
        return held.load(now), int(held.pace(now) * _MS)
