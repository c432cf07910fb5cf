"""Stateful property test of flow ownership.

Random sequences of agent restarts, agent outages and rerouted packets check
that a held flow is never reset and that its packets reach no other upstream
(except once after each restart of that upstream's agent, which then has lost
the state of its flows). While all agents respond, the next packet of a flow
reaches its holder.
"""

from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ragwortpost.datapath.connection import FlowKey
from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version.tests.documents import upstream

MANY_AGENTS: Final = 11
FLOW_COUNT: Final = 5


class OwnershipMachine(RuleBasedStateMachine):
    """Random sequence of events in the fleet of one service."""

    def __init__(self) -> None:
        """Initialize without flows; :meth:`begin` builds the fleet."""
        super().__init__()
        self.network = Network(upstream(1))
        self.holders: dict[FlowKey, str] = {}
        self.restarts: dict[str, int] = {}
        self.entries = 1

    @initialize(agents=st.sampled_from([3, MANY_AGENTS]))
    def begin(self, agents: int) -> None:
        """Build a small fleet, or one with registrars."""
        numbers = range(1, agents + 1)
        self.network = Network(*(upstream(number) for number in numbers))
        self.hosts = [document.host for document in self.network.documents]

    @rule(number=st.integers(0, FLOW_COUNT - 1))
    def open_flow(self, number: int) -> None:
        """Open a flow that is not open yet, if all agents are reachable."""
        flow = flow_key(number)
        if flow in self.holders or self.network.unreachable:
            return
        self.network.send_packet(opening_packet(flow))
        self.holders[flow] = self.network.holder(flow)
        self.send(flow, ENTRY)

    @rule(number=st.integers(0, FLOW_COUNT - 1), data=st.data())
    def send_on_flow(self, number: int, data: st.DataObject) -> None:
        """Send a packet of an open flow through any entry."""
        flow = flow_key(number)
        entry = data.draw(st.sampled_from(sorted(self.network.entry_nodes)))
        if flow not in self.holders:
            return
        holder = self.network.upstreams[self.holders[flow]]
        received_before = len(holder.received)
        self.send(flow, entry)
        if not self.network.unreachable:
            self.network.advance(0.05)
            assert len(holder.received) > received_before

    @rule()
    def route_through_new_entry(self) -> None:
        """Add an entry with an empty cache."""
        if self.entries < 4:
            self.entries += 1
            self.network.add_entry(f'10.0.1.{self.entries}')

    @rule(data=st.data())
    def restart_agent(self, data: st.DataObject) -> None:
        """Restart an agent, which loses its state."""
        host = data.draw(st.sampled_from(self.hosts))
        document = self.network.documents[self.hosts.index(host)]
        self.restarts[host] = self.restarts.get(host, 0) + 1
        self.network.start_agent(document, restarted=True)

    @rule(data=st.data())
    def disconnect_agent(self, data: st.DataObject) -> None:
        """Make one agent unreachable."""
        self.network.unreachable.add(data.draw(st.sampled_from(self.hosts)))

    @rule()
    def reconnect_agents(self) -> None:
        """Make all agents reachable and deliver their digests."""
        self.network.unreachable.clear()
        self.network.advance(1.0)

    @rule(seconds=st.sampled_from([0.05, 0.4, 2.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.network.advance(seconds)

    @invariant()
    def no_held_flow_is_reset(self) -> None:
        """Check that no held flow is reset: its holder never denies it."""
        reset = {packet.flow for packet in self.network.resets}
        assert not reset & set(self.holders)

    @invariant()
    def other_upstreams_get_a_packet_at_most_once(self) -> None:
        """Check that others get at most one packet for each agent restart."""
        for flow, holder in self.holders.items():
            for host, other in self.network.upstreams.items():
                if host == holder:
                    continue
                received = sum(packet.flow == flow for packet in other.received)
                assert received <= self.restarts.get(host, 0)

    def send(self, flow: FlowKey, entry: str) -> None:
        """Send a caller's packet of an open flow through an entry."""
        first = self.network.upstreams[self.holders[flow]].flows[flow]
        packet = make_packet(flow, length=20, acknowledged=first + 1)
        self.network.send_packet(packet, entry)


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(max_examples=60, stateful_step_count=30)
