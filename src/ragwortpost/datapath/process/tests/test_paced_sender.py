"""Tests of the sender that keeps gossip within the control budget.

Guards against a process with little link or processor that sends gossip in
place of payload, against payload that waits, and against delays of gossip where
there is plenty of both.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process._codec import decode, encode
from ragwortpost.datapath.process._messages import (
    Digest,
    FlowQuery,
    Forward,
    ForwardOutcome,
    ForwardPurpose,
    ForwardReply,
    Message,
    Registration,
    RoomDemand,
    RoomGrant,
)
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process._paced_sender import (
    MAX_WAIT_SECONDS,
    RETRY_SECONDS,
    PacedSender,
    PacedSenderPorts,
)
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.process.tests.network import (
    ManualClock,
    digest_of,
    settings_of,
)
from ragwortpost.datapath.version import Changes, Record, TakenOut
from ragwortpost.datapath.version.tests.documents import at, upstream

PEER: HostPort = ('10.0.0.1', 8004)
DIGEST = encode(digest_of(upstream(1)))
CHANGES = encode(
    Changes(at(4), at(5), (Record('out/a', at(5), TakenOut('a')),))
)


class Process:
    """A paced sender, with the datagrams that it sent."""

    def __init__(self, link: float = 10, cores: float = 0.5) -> None:
        self.clock = ManualClock()
        settings = replace(
            settings_of('127.0.0.1', None),
            peer_port=0,
            link_megabits=link,
            processor_cores=cores,
        )
        self.context = make_context(self.clock, settings, random.Random(1))
        self.gossip = ViewGossip(self.context)
        self.events = self.context.metrics.events
        self.sent: list[tuple[HostPort, Message | None]] = []
        self.accepts = True
        self.retries: list[Callable[[], None]] = []
        ports = PacedSenderPorts(
            self.context.metrics.messages.sender(self._send),
            self.gossip.refresh_digest,
            lambda _, retry: self.retries.append(retry),
        )
        self.sender = PacedSender(self.context, ports)

    def use_up_budget(self) -> None:
        while not self.sender.waiting:
            self.sender.send(DIGEST, ('10.9.9.9', 1))
        self.sent.clear()

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / RETRY_SECONDS)):
            self.clock.time += RETRY_SECONDS
            due = list(self.retries)
            self.retries.clear()
            for retry in due:
                retry()

    def count_sent(self, receiver: HostPort) -> int:
        return sum(to == receiver for to, _ in self.sent)

    def _send(self, datagram: bytes, receiver: HostPort) -> bool:
        if self.accepts:
            self.sent.append((receiver, decode(datagram)))
        return self.accepts


class TestUrgentMessages:
    """Messages that are never dropped or delayed."""

    @pytest.mark.parametrize(
        'message',
        [
            *(Forward(purpose, 1, b'x') for purpose in ForwardPurpose),
            *(
                ForwardReply(outcome, 0, at(1), bytes(12), b'')
                for outcome in ForwardOutcome
            ),
            FlowQuery(1, (bytes(12),)),
            Registration((bytes(12),)),
            RoomDemand(1, 2, 3, 4),
            RoomGrant(1, 150, 0, 0),
        ],
    )
    def test_sent_at_once_without_any_budget(self, message: Message) -> None:
        process = Process()
        process.use_up_budget()
        assert process.sender.send(encode(message), PEER)
        assert process.sent == [(PEER, message)]

    def test_they_take_precedence_over_gossip(self) -> None:
        process = Process()
        process.use_up_budget()
        query = encode(FlowQuery(1, (bytes(12),)))
        for _ in range(50):
            for number in range(100):
                process.sender.send(query, PEER)
                process.sender.send(DIGEST, (f'10.0.2.{number}', 1))
            process.advance(RETRY_SECONDS)
        assert process.count_sent(PEER) == 5000
        # The reserve of 1% of half a core allows 83 messages a second.
        assert 60 < len(process.sent) - 5000 < 110


class TestGossip:
    """Changes and digests that wait for the budget."""

    def test_changes_go_before_digests(self) -> None:
        process = Process()
        process.use_up_budget()
        process.sender.send(CHANGES, PEER)
        process.advance(RETRY_SECONDS)
        kinds = [type(message) for _, message in process.sent]
        assert kinds == [Changes, Digest]
        assert not process.sender.waiting

    def test_only_the_newest_digest_for_a_receiver_is_sent(self) -> None:
        process = Process()
        process.use_up_budget()
        for _ in range(5):
            process.sender.send(DIGEST, PEER)
        process.advance(MAX_WAIT_SECONDS)
        assert process.count_sent(PEER) == 1

    def test_waiting_digest_has_the_age_of_the_view_when_sent(self) -> None:
        # Peers would otherwise take the view for fresher than it is, and pass
        # that on with every further delay.
        process = Process()
        process.context.state.merge(Changes(at(0), at(5), ()), 'test')
        process.context.state.confirm(at(5), 0)
        process.use_up_budget()
        waiting = digest_of(upstream(1), wants_reply=True)
        process.sender.send(encode(waiting), PEER)
        process.clock.time += 0.5
        process.advance(RETRY_SECONDS)
        sent = dict(process.sent)[PEER]
        assert isinstance(sent, Digest)
        assert sent.view_age_ms in {519, 520}
        assert sent.wants_reply

    def test_dropped_after_a_second(self) -> None:
        process = Process(link=0.001)
        process.use_up_budget()
        process.sender.send(CHANGES, PEER)
        process.advance(MAX_WAIT_SECONDS - RETRY_SECONDS)
        assert process.sender.waiting == 2
        process.advance(3 * RETRY_SECONDS)
        assert not process.sender.waiting
        assert process.events['gossip_dropped'] == 2
        assert not process.sent

    def test_refused_message_is_not_repeated(self) -> None:
        process = Process()
        process.accepts = False
        assert not process.sender.send(DIGEST, PEER)
        assert not process.sender.send(CHANGES, PEER)
        process.accepts = True
        process.advance(2 * MAX_WAIT_SECONDS)
        assert not process.sent

    def test_full_socket_stops_what_waits(self) -> None:
        process = Process()
        process.use_up_budget()
        for number in range(9):
            process.sender.send(DIGEST, (f'10.0.2.{number}', 1))
        process.accepts = False
        process.advance(RETRY_SECONDS)
        assert process.sender.waiting == 9
        assert process.context.metrics.messages.refused == 1


class TestPlenty:
    """A process with 1,000 Mbit/s and one core."""

    def test_gossip_of_a_deployment_is_sent_at_once(self) -> None:
        # 86 processes: 180 digests a second, and five changes a second.
        process = Process(1000, 1)
        for _ in range(50):
            for number in range(18):
                process.sender.send(DIGEST, (f'10.0.2.{number}', 1))
            for number in range(86):
                process.sender.send(CHANGES, (f'10.0.2.{number}', 1))
            process.clock.time += 0.1
        assert len(process.sent) == 50 * (18 + 86)
        assert not process.events['gossip_delayed']

    def test_change_and_digest_reach_every_process_at_once(self) -> None:
        process = Process(1000, 1)
        hosts = {f'10.0.2.{number}' for number in range(200)}
        for host in hosts:
            process.gossip.receive(digest_of(upstream(1)), host)
        process.context.state.merge(Changes(at(0), at(1), ()), 'test')

        async def spread() -> None:
            async with AsyncExitStack() as stack:
                await process.gossip.open(stack, process.sender.send)
                process.gossip.push_changes(at(0))
                process.gossip.broadcast_digest()

        asyncio.run(spread())
        for kind in (Changes, Digest):
            assert {
                to[0] for to, message in process.sent if type(message) is kind
            } == hosts
        assert not process.sender.waiting
