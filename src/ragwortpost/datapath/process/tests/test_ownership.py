"""Model check of flow ownership: entries, agents, registrars, losses.

A random history of restarts, silences and moves of the routers is played; a
flow that its upstream holds is never reset, its packets are delivered to no
other upstream (one that can't know returns each flow's packet once), and once
all agents answer, the next packet reaches the holder.
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
    caller_packet,
    flow_key,
    opening_packet,
)
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version.tests.documents import upstream

MANY_AGENTS: Final = 11
FLOW_COUNT: Final = 5


class OwnershipMachine(RuleBasedStateMachine):
    """One history of a service."""

    def __init__(self) -> None:
        """Start without a fleet."""
        super().__init__()
        self.network = Network(upstream(1))
        self.holders: dict[FlowKey, str] = {}
        self.restarts: dict[str, int] = {}
        self.entries = 1

    @initialize(agents=st.sampled_from([3, MANY_AGENTS]))
    def begin(self, agents: int) -> None:
        """Start a small fleet, or one with registrars."""
        numbers = range(1, agents + 1)
        self.network = Network(*(upstream(number) for number in numbers))
        self.hosts = [entry.host for entry in self.network.entries]

    @rule(number=st.integers(0, FLOW_COUNT - 1))
    def open_flow(self, number: int) -> None:
        """Open a flow, if it is not open, while all agents answer."""
        flow = flow_key(number)
        if flow in self.holders or self.network.unreachable:
            return
        self.network.send_packet(opening_packet(flow))
        self.holders[flow] = self.network.holder(flow)
        self.send(flow, ENTRY)

    @rule(number=st.integers(0, FLOW_COUNT - 1), data=st.data())
    def send_on_flow(self, number: int, data: st.DataObject) -> None:
        """Send a packet through any entry."""
        flow = flow_key(number)
        entry = data.draw(st.sampled_from(sorted(self.network.entry_nodes)))
        if flow not in self.holders:
            return
        upstream_side = self.network.upstreams[self.holders[flow]]
        before = len(upstream_side.received)
        self.send(flow, entry)
        if not self.network.unreachable:
            self.network.advance(0.05)
            assert len(upstream_side.received) > before

    @rule()
    def route_through_new_entry(self) -> None:
        """Add an entry that knows no flow."""
        if self.entries < 4:
            self.entries += 1
            self.network.add_entry(f'10.0.1.{self.entries}')

    @rule(data=st.data())
    def restart_agent(self, data: st.DataObject) -> None:
        """Let an agent forget all that it knows."""
        host = data.draw(st.sampled_from(self.hosts))
        entry = self.network.entries[self.hosts.index(host)]
        self.restarts[host] = self.restarts.get(host, 0) + 1
        self.network.start_agent(entry, restarted=True)

    @rule(data=st.data())
    def disconnect_agent(self, data: st.DataObject) -> None:
        """Cut one agent off."""
        self.network.unreachable.add(data.draw(st.sampled_from(self.hosts)))

    @rule()
    def reconnect_agents(self) -> None:
        """Let all agents answer, and be heard."""
        self.network.unreachable.clear()
        self.network.advance(1.0)

    @rule(seconds=st.sampled_from([0.05, 0.4, 2.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.network.advance(seconds)

    @invariant()
    def no_held_flow_is_reset(self) -> None:
        """A reset needs every agent's denial."""
        reset = {packet.flow for packet in self.network.resets}
        assert not reset & set(self.holders)

    @invariant()
    def other_upstreams_get_a_packet_at_most_once(self) -> None:
        """Only an agent that can't know offers a packet, once a restart."""
        for flow, holder in self.holders.items():
            for host, other in self.network.upstreams.items():
                if host == holder:
                    continue
                got = sum(packet.flow == flow for packet in other.received)
                assert got <= self.restarts.get(host, 0)

    def send(self, flow: FlowKey, entry: str) -> None:
        """Send a caller's packet of an open flow."""
        first = self.network.upstreams[self.holders[flow]].flows[flow]
        packet = caller_packet(flow, length=20, acknowledged=first + 1)
        self.network.send_packet(packet, entry)


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(max_examples=60, stateful_step_count=30)
