"""An entry's lookups: which agent holds a flow that the entry does not know."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection import (
    FEW_AGENTS,
    FlowKey,
    Inquiries,
    Packet,
    Question,
    Search,
    Searches,
    whom_to_ask,
)
from ragwortpost.datapath.process._messages import (
    FlowQueryReply,
    ForwardPurpose,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector

# Seconds for registrars to name a flow's holder before all agents are asked.
REGISTRAR_SECONDS: Final = 0.04
# Seconds after which a search is reported whose agents leave it open: far above
# a round trip, and below what a caller waits.
STALLED_SECONDS: Final = 0.3
# Silent agents named in such a report.
NAMED_AGENTS: Final = 5


@dataclass(frozen=True)
class FlowLocatorPorts:
    """What lookups reach agents and callers through."""

    # Sends a caller's packet to an agent.
    forward: Callable[[Packet, str, ForwardPurpose], None]
    # Asks an agent about flows.
    inquire: Callable[[Question], None]
    # Tells the caller of a packet that nobody holds its flow.
    give_up: Callable[[Packet], None]


class FlowLocator:
    """The searches of one entry."""

    def __init__(
        self,
        context: NodeContext,
        choice: UpstreamSelector,
        ports: FlowLocatorPorts,
    ) -> None:
        """Prepare; nothing is asked before the first packet."""
        self._clock = context.clock
        self._state = context.state
        self._log = context.log
        self._events = context.metrics.events
        self._choice = choice
        self._ports = ports
        self._searches = Searches()
        self._inquiries = Inquiries()

    def __len__(self) -> int:
        """Return the number of flows looked for."""
        return len(self._searches)

    def find(self, packet: Packet, *, denied_by: Iterable[str] = ()) -> None:
        """Look for the holder of a packet's flow; it gets the packet."""
        self._events['searched'] += 1
        search = self._searches.begin(packet, self._clock.monotonic())
        search.denied.update(denied_by)
        self._ask(search)
        self._send_inquiries()

    def note_held(self, flow: FlowKey) -> Search | None:
        """End the search for a flow whose holder has answered."""
        return self._searches.end(flow)

    def note_not_held(self, flow: FlowKey, agent: str) -> None:
        """Take in that an agent does not hold a flow."""
        self._deny(flow, agent)
        self._send_inquiries()

    def receive_query_reply(self, answer: FlowQueryReply, agent: str) -> None:
        """Take in what an agent says of the flows it was asked about."""
        for flow in answer.possibly_held:
            search = self._searches.get(flow)
            if search is not None:
                self._ports.forward(search.packet, agent, ForwardPurpose.LOOKUP)
        for denied in answer.denied:
            self._deny(denied, agent)
        self._send_inquiries()

    def tick(self) -> None:
        """Ask all agents where registrars were silent; forget old searches."""
        now = self._clock.monotonic()
        for search in self._searches.overdue(now - REGISTRAR_SECONDS):
            search.wide = True
            self._ask(search)
        self._send_inquiries()
        for stalled in self._searches.stalled(now - STALLED_SECONDS):
            self._report(stalled)
        self._searches.expire(now)

    def _report(self, search: Search) -> None:
        silent = sorted(search.asked - search.denied)
        self._log.flow(
            'search_stalled',
            search.packet.flow,
            agents=silent[:NAMED_AGENTS],
            silent=len(silent),
            denied=len(search.denied),
            revision=self._state.revision,
        )

    def _deny(self, flow: FlowKey, agent: str) -> None:
        search = self._searches.get(flow)
        if search is None:
            return
        search.denied.add(agent)
        if search.asked <= search.denied:
            self._ask(search)

    def _ask(self, search: Search) -> None:
        """Ask the agents that may hold a flow and were not asked yet."""
        flow = search.packet.flow
        service = self._state.fleet.service_of(flow)
        if service is None:
            return
        holders = self._choice.holders(service)
        left = whom_to_ask(
            search,
            self._choice.registrars(service, flow),
            holders,
            self._choice.other_holders(service),
        )
        if holders and not left:
            self._searches.end(flow)
            self._ports.give_up(search.packet)
        asked = [agent for agent in left if agent not in search.asked]
        search.asked.update(asked)
        for agent in asked:
            if not search.wide:
                self._ports.forward(
                    search.packet, agent, ForwardPurpose.RELAYABLE_LOOKUP
                )
            elif len(asked) <= FEW_AGENTS:
                self._ports.forward(search.packet, agent, ForwardPurpose.LOOKUP)
            else:
                self._inquiries.add(agent, service, flow)

    def _send_inquiries(self) -> None:
        for question in self._inquiries.due(self._clock.monotonic()):
            self._ports.inquire(question)
