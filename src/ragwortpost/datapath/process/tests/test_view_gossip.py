"""Tests of gossip between packet-level processes, over loopback sockets.

Guards against a view that stays behind because a peer is unreachable, does not
respond or sends malformed bytes, and against pushes too large for a datagram.
"""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Final

import pytest

from ragwortpost._clock import SystemClock
from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process._codec import decode
from ragwortpost.datapath.process._messages import Digest
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process._view_gossip import (
    MAX_DATAGRAM_BYTES,
    PULL_TIMEOUT_SECONDS,
    ViewGossip,
)
from ragwortpost.datapath.process.tests.network import digest_of, settings_of
from ragwortpost.datapath.version import Changes, EraMark, Record, TakenOut
from ragwortpost.datapath.version.tests.documents import (
    at,
    upstream,
    upstream_record,
)

# Each pytest worker uses its own loopback network, also where several test runs
# share a machine: their workers have different parent processes.
WORKER: Final = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
RUN: Final = 60 + os.getppid() % 190
NETWORK: Final = f'127.{RUN}.{WORKER.removeprefix("gw")}'
HOSTS: Final = (f'{NETWORK}.1', f'{NETWORK}.2')
UNUSED_HOST: Final = f'{NETWORK}.9'
MALFORMED_HOST: Final = f'{NETWORK}.8'
UNRESPONSIVE_HOST: Final = f'{NETWORK}.7'
PORT: Final = 21104
CHANGES: Final = Changes(at(0), at(5), (Record('out/a', at(5), TakenOut('a')),))


class GossipPeer:
    """The gossip of one process; records the datagrams that it sends."""

    def __init__(self, host: str) -> None:
        settings = replace(settings_of(host, None), peer_port=PORT)
        self.host = host
        self.context = make_context(SystemClock(), settings, random.Random(1))
        self.gossip = ViewGossip(self.context)
        self.sent: list[tuple[str, bytes]] = []

    @property
    def revision(self) -> int:
        return self.context.state.revision

    async def open(self, stack: AsyncExitStack) -> None:
        await self.gossip.open(stack, self.send)

    def send(self, datagram: bytes, address: HostPort) -> bool:
        self.sent.append((address[0], datagram))
        return True

    def receive_digest(self, host: str, revision: int) -> None:
        digest = digest_of(upstream(1), role='entry', version=at(revision))
        self.gossip.receive(digest, host)

    def digest(self) -> Digest:
        state = self.context.state
        return digest_of(
            upstream(1),
            role='entry',
            version=state.version,
            fingerprint=state.fingerprint,
        )

    async def wait_for_revision(
        self, revision: int, seconds: float = 3
    ) -> None:
        async with asyncio.timeout(seconds):
            while self.revision < revision:
                await asyncio.sleep(0.01)


def run_scenario(
    scenario: Callable[[GossipPeer, GossipPeer], Awaitable[None]],
) -> None:
    """Run a scenario with two peers."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            peers = [GossipPeer(host) for host in HOSTS]
            for peer in peers:
                await peer.open(stack)
            await scenario(*peers)

    asyncio.run(run())


class TestPulls:
    """A process that receives a higher revision pulls the changes."""

    def test_pull_of_the_whole_state(self) -> None:
        async def scenario(ahead: GossipPeer, behind: GossipPeer) -> None:
            ahead.context.state.merge(CHANGES, 'test')
            behind.receive_digest(ahead.host, 5)
            await behind.wait_for_revision(5)
            assert behind.context.state.fleet.drained_data_centres == {'a'}

        run_scenario(scenario)

    def test_pull_of_missing_records_only(self) -> None:
        async def scenario(ahead: GossipPeer, behind: GossipPeer) -> None:
            added = Record('out/b', at(6), TakenOut('b'))
            for peer in (ahead, behind):
                peer.context.state.merge(CHANGES, 'test')
            ahead.context.state.merge(Changes(at(5), at(6), (added,)), 'test')
            behind.receive_digest(ahead.host, 6)
            await behind.wait_for_revision(6)
            assert behind.context.state.fleet.drained_data_centres == {'a', 'b'}

        run_scenario(scenario)

    def test_unreachable_peer_is_no_error(self) -> None:
        async def scenario(ahead: GossipPeer, behind: GossipPeer) -> None:
            behind.receive_digest(UNUSED_HOST, 9)
            await asyncio.sleep(0.1)
            ahead.context.state.merge(CHANGES, 'test')
            behind.receive_digest(ahead.host, 5)
            await behind.wait_for_revision(5)

        run_scenario(scenario)

    def test_malformed_response_changes_nothing(self) -> None:
        async def answer(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readexactly(16)
            writer.write((3).to_bytes(4) + b'xyz')
            writer.close()

        async def scenario(_: GossipPeer, behind: GossipPeer) -> None:
            server = await asyncio.start_server(answer, MALFORMED_HOST, PORT)
            behind.receive_digest(MALFORMED_HOST, 9)
            await asyncio.sleep(0.2)
            assert behind.revision == 0
            server.close()

        run_scenario(scenario)

    def test_unresponsive_peer_does_not_block_later_pulls(self) -> None:
        async def scenario(ahead: GossipPeer, behind: GossipPeer) -> None:
            server = await asyncio.start_server(
                lambda *_: asyncio.sleep(9),
                UNRESPONSIVE_HOST,
                PORT,
            )
            behind.receive_digest(UNRESPONSIVE_HOST, 9)
            await asyncio.sleep(PULL_TIMEOUT_SECONDS + 0.2)
            ahead.context.state.merge(CHANGES, 'test')
            behind.receive_digest(ahead.host, 5)
            await behind.wait_for_revision(5)
            server.close()

        run_scenario(scenario)

    def test_a_peer_that_can_not_be_sent_its_changes_is_told_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(_: object) -> None:
            raise KeyError('record')

        async def scenario(first: GossipPeer, second: GossipPeer) -> None:
            monkeypatch.setattr(first.context.state, 'changes_since', fail)
            second.receive_digest(first.host, 5)
            async with asyncio.timeout(PULL_TIMEOUT_SECONDS / 2):
                while not second.context.metrics.events['pull_failed']:
                    await asyncio.sleep(0.01)
            assert first.context.metrics.events['serve_failed'] == 1

        run_scenario(scenario)


class TestRestores:
    """After a restore of the store, what was known before is kept."""

    def test_restarted_process_does_not_use_an_upstream_that_left(
        self,
    ) -> None:
        async def scenario(known: GossipPeer, restarted: GossipPeer) -> None:
            listed = Changes(at(0), at(3), (upstream_record(3, upstream(1)),))
            leaving = upstream_record(4, upstream(1, leaving=True))
            left = Record('upstream/i-1', at(5), None)
            known.context.state.merge(listed, 'test')
            known.context.state.merge(Changes(at(3), at(4), (leaving,)), 'test')
            known.context.state.merge(Changes(at(4), at(5), (left,)), 'test')
            # The backup still has the upstream; the restarted process reads it
            # before it hears of any peer.
            backup = replace(listed, version=at(3, era=1))
            restarted.context.state.merge_read(backup)
            assert restarted.context.state.fleet.upstreams
            restarted.gossip.receive(known.digest(), known.host)
            async with asyncio.timeout(2):
                while restarted.context.state.fleet.upstreams:
                    await asyncio.sleep(0.01)
            assert restarted.context.state.version == at(3, era=1)
            # The other process moves to the new era without the upstream.
            known.gossip.receive(restarted.digest(), restarted.host)
            async with asyncio.timeout(2):
                while known.context.state.era == 0:
                    await asyncio.sleep(0.01)
            assert not known.context.state.fleet.upstreams

        run_scenario(scenario)

    def test_digest_of_an_earlier_era_confirms_nothing(self) -> None:
        async def scenario(peer: GossipPeer, _: GossipPeer) -> None:
            restored = replace(CHANGES, version=at(5, era=1))
            peer.context.state.merge(restored, 'test')
            peer.receive_digest(UNUSED_HOST, 5)
            assert peer.context.state.age > 100

        run_scenario(scenario)


class TestPushes:
    """Small changes are pushed; large ones are announced by a digest."""

    def test_small_change_is_pushed_in_one_datagram(self) -> None:
        async def scenario(reader: GossipPeer, _: GossipPeer) -> None:
            reader.receive_digest(HOSTS[1], 0)
            reader.context.state.merge(CHANGES, 'store')
            reader.sent.clear()
            reader.gossip.push_changes(at(0))
            assert len(reader.sent) == 1
            # The largest age: the first era did not begin with a restore.
            expected = replace(
                CHANGES, marks=(EraMark(0, 0, 5),), era_age=3600.0
            )
            assert decode(reader.sent[0][1]) == expected

        run_scenario(scenario)

    def test_large_change_is_announced_by_its_revision(self) -> None:
        async def scenario(reader: GossipPeer, _: GossipPeer) -> None:
            reader.receive_digest(HOSTS[1], 0)
            rng = random.Random(1)
            records = tuple(
                upstream_record(
                    number,
                    replace(upstream(1), ident=rng.randbytes(20).hex()),
                )
                for number in range(1, 200)
            )
            reader.context.state.merge(
                Changes(at(0), at(200), records), 'store'
            )
            reader.sent.clear()
            reader.gossip.push_changes(at(0))
            pushed = [
                decode(datagram)
                for host, datagram in reader.sent
                if host == HOSTS[1]
            ]
            # One announces the own layouts, and one is in that of the peer.
            assert [type(message) for message in pushed] == [Digest, Digest]
            numbers = {datagram[0] for _, datagram in reader.sent}
            assert len(numbers) == len(pushed)
            assert all(len(raw) <= MAX_DATAGRAM_BYTES for _, raw in reader.sent)

        run_scenario(scenario)

    def test_digest_confirms_the_view_at_the_reported_age(self) -> None:
        async def scenario(reader: GossipPeer, _: GossipPeer) -> None:
            reader.context.state.merge(CHANGES, 'test')
            assert reader.context.state.age > 100
            digest = digest_of(upstream(1), version=at(5), view_age_ms=1500)
            reader.gossip.receive(digest, HOSTS[1])
            assert 1.4 < reader.context.state.age < 2

        run_scenario(scenario)
