"""State machine over entries, agents and callers that compete for room.

Guards against an upstream that is committed beyond its room, room that stays
reserved, callers that wait beside an idle upstream or for too long, urgent
flows that are overtaken, and refusals of flows that an upstream has accepted,
in any order of losses and restarts.
"""

from collections.abc import Callable
from dataclasses import replace

from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from hypothesis.strategies import data, integers, sampled_from

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.connection import (
    FlowKey,
    WaitLimits,
    backlog_limit,
    max_wait,
    route_key_of,
)
from ragwortpost.datapath.connection.tests.packets import (
    PlainFormat,
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process._codec import decode
from ragwortpost.datapath.process._messages import Forward, ForwardPurpose
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    ROUTE,
    configuration_record,
    upstream,
)

ENTRIES = (ENTRY, '10.0.1.2')
AGENTS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
LATER_PORT = 8080
LIMITS = WaitLimits(ROUTE.timeout, 1e6)
TICK_SECONDS = 0.02
# Longest time for which a caller may wait beside an idle upstream: that for
# which an agent that did not reply is left out, the longest pause after
# refusals without load, and two ticks.
MAX_IDLE_SECONDS = 0.5 + 0.25 + 2 * TICK_SECONDS
# The lifetimes of a demand and of a grant that is made last.
MAX_RESERVED_SECONDS = 0.5 + 0.15 + TICK_SECONDS


class CheckedNetwork(Network):
    """A network that checks the order in which entries offer flows."""

    def _peer_sender(self, sender: str) -> Callable[[bytes, HostPort], bool]:
        send = super()._peer_sender(sender)

        def check(datagram: bytes, address: HostPort) -> bool:
            match decode(datagram):
                case Forward(ForwardPurpose.NEW_FLOW, _, raw):
                    packet = PlainFormat().from_caller(raw)
                    assert packet is not None
                    self._check_order(sender, packet.flow)
            return send(datagram, address)

        return check

    def _check_order(self, entry: str, flow: FlowKey) -> None:
        flows = self.entry_nodes[entry]._new_flows
        offered = flows.get(flow)
        for waiting in flows._pending.waiting():
            if offered is not None and waiting.number < offered.number:
                assert is_urgent(flow) >= is_urgent(waiting.packet.flow)


def is_urgent(flow: FlowKey) -> bool:
    return route_key_of(flow) == ROUTE.key


class RoomMachine(RuleBasedStateMachine):
    """Callers open and end flows while messages are lost."""

    def __init__(self) -> None:
        super().__init__()
        documents = [upstream(number, slots=1) for number in (1, 2, 3)]
        self.network = CheckedNetwork(*documents)
        later_key = ROUTE.key[:4] + LATER_PORT.to_bytes(2)
        urgent = replace(ROUTE, target=LIMITS.target, priority=1)
        later = replace(urgent, key=later_key, name='queue', priority=2)
        changed = replace(CONFIGURATION, version=9, routes=(urgent, later))
        self.network.publish(configuration_record(0, changed))
        self.network.add_entry(ENTRIES[1])
        self.callers = 0
        self.idle_seconds = dict.fromkeys(ENTRIES, 0.0)

    def accepted(self) -> list[FlowKey]:
        fakes = self.network.upstreams.values()
        return [flow for fake in fakes for flow in fake.flows]

    @rule(
        entry=sampled_from(ENTRIES),
        port=sampled_from((443, LATER_PORT)),
        flows=integers(1, 8),
    )
    def open_flows(self, entry: str, port: int, flows: int) -> None:
        for _ in range(flows):
            self.callers += 1
            flow = flow_key(self.callers, port)
            self.network.send_packet(opening_packet(flow), entry)
            for fake in self.network.upstreams.values():
                if flow in fake.flows:
                    # The request, which has no response until the flow ends.
                    fake.responds = False
                    sequence = fake.flows[flow] + 1
                    self.network.send_packet(
                        make_packet(flow, length=9, acknowledged=sequence),
                        entry,
                    )
                    fake.responds = True

    @precondition(lambda machine: machine.accepted())
    @rule(source=data())
    def end_flow(self, source) -> None:  # type: ignore[no-untyped-def]
        flow = source.draw(sampled_from(self.accepted()))
        for fake in self.network.upstreams.values():
            if fake.flows.pop(flow, None) is not None:
                fake.send(make_packet(flow, finishes=True))

    @rule(host=sampled_from((*ENTRIES, *AGENTS)))
    def cut_off(self, host: str) -> None:
        self.network.unreachable ^= {host}

    @rule(host=sampled_from(AGENTS))
    def lose_replies(self, host: str) -> None:
        self.network.losing_replies ^= {host}

    @rule(number=integers(0, 2))
    def restart_agent(self, number: int) -> None:
        document = self.network.documents[number]
        self.network.start_agent(document, restarted=True)

    @rule(entry=sampled_from(ENTRIES))
    def restart_entry(self, entry: str) -> None:
        self.network.add_entry(entry)
        self.idle_seconds[entry] = 0

    @rule(ticks=integers(1, 20))
    def run(self, ticks: int) -> None:
        for _ in range(ticks):
            self.network.advance(TICK_SECONDS)
            self.check_waiting()

    def check_waiting(self) -> None:
        """Check how long flows have been waiting."""
        now = self.network.clock.time
        lossy = self.network.unreachable | self.network.losing_replies
        has_idle = any(
            agent.load == 0 and host not in lossy
            for host, agent in self.network.agents.items()
        )
        for host, entry in self.network.entry_nodes.items():
            waiting = list(entry._new_flows._pending.waiting())
            for pending in waiting:
                assert now < pending.started_at + max_wait(LIMITS)
            idle = has_idle and waiting and host not in lossy
            self.idle_seconds[host] += TICK_SECONDS
            if not idle:
                self.idle_seconds[host] = 0
            assert self.idle_seconds[host] <= MAX_IDLE_SECONDS

    @invariant()
    def upstreams_are_not_committed_beyond_their_room(self) -> None:
        now = self.network.clock.time
        limit = backlog_limit(1, urgent=True)
        for agent in self.network.agents.values():
            assert agent.load + agent.room._grants.reserved(now) <= limit

    @invariant()
    def refusals_are_true(self) -> None:
        refused = {packet.flow for packet in self.network.resets}
        assert refused.isdisjoint(self.accepted())

    def teardown(self) -> None:
        """Check that the room of entries that are gone is free again."""
        self.network.unreachable.update(ENTRIES)
        self.network.advance(MAX_RESERVED_SECONDS)
        now = self.network.clock.time
        for agent in self.network.agents.values():
            assert not agent.room._grants.reserved(now)
            assert not agent.room.has_demands


TestRoomMachine = RoomMachine.TestCase
TestRoomMachine.settings = settings(
    max_examples=100, stateful_step_count=25, deadline=None
)
