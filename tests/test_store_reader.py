"""Tests of the processes that read the store: who reads, and what goes wrong."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TypeAlias

from result import Err, Ok, Result

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process._node_context import NodeContext, make_context
from ragwortpost.datapath.process._store_reader import (
    AGENT_DELAY_SECONDS,
    MAX_RETRY_SECONDS,
    HistoryLost,
    StoreError,
    StoreReader,
    rank,
)
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.process.tests.network import (
    digest_of,
    settings_of,
)
from ragwortpost.datapath.version import Changes, Record, TakenOut
from ragwortpost.datapath.version.tests.documents import upstream
from tests.harness.loop import ProcessClock, VirtualLoop

Answer: TypeAlias = Result[Changes, StoreError | HistoryLost]
# In the fixed order of readers, the first one soonest.
HOSTS = sorted((f'10.0.1.{number}' for number in range(1, 6)), key=rank)
FIRST_HOST = HOSTS[0]
AWAY = StoreError('no answer', 0)


class FakeStore:
    """A store that answers as the test says, and counts its calls."""

    def __init__(self) -> None:
        self.state = Changes(0, 5, (Record('out/a', 5, TakenOut('a')),))
        self.failure: StoreError | None = None
        self.lost = False
        self.reads: list[float] = []
        self.watches: list[int] = []
        self.probes = 0
        self.news: asyncio.Queue[Changes] = asyncio.Queue()

    async def read_all(self, *, stale: bool) -> Result[Changes, StoreError]:
        assert not stale
        self.reads.append(asyncio.get_running_loop().time())
        return Err(self.failure) if self.failure else Ok(self.state)

    async def watch(self, revision: int, wait_seconds: float) -> Answer:
        self.watches.append(revision)
        if self.failure:
            return Err(self.failure)
        if self.lost:
            self.lost = False
            return Err(HistoryLost(revision))
        try:
            async with asyncio.timeout(wait_seconds):
                return Ok(await self.news.get())
        except TimeoutError:
            if self.failure:
                return Err(self.failure)
            return Ok(Changes(revision, revision, ()))

    async def probe(self) -> Result[int, StoreError]:
        self.probes += 1
        return Err(self.failure) if self.failure else Ok(self.state.revision)


class World:
    """One process that may read, and peers that it hears of."""

    def __init__(self, loop: VirtualLoop, host: str, *, agent: bool) -> None:
        self.store = FakeStore()
        entry = replace(upstream(1), host=host) if agent else None
        settings = settings_of(host, entry)
        self.context: NodeContext = make_context(
            ProcessClock(loop),
            settings,
            random.Random(1),
        )
        self.sent: list[str] = []
        self.gossip = ViewGossip(self.context)
        self.store_reader = StoreReader(self.context, self.store, self.gossip)

    @property
    def reads(self) -> int:
        return len(self.store.reads)

    async def open(self, stack: AsyncExitStack) -> None:
        self.gossip._send = self._send  # noqa: SLF001
        for work in (self.store_reader.run, self.store_reader.run_probe):
            stack.callback(asyncio.create_task(work()).cancel)

    def hear(self, *hosts: str, reading: bool = True) -> None:
        now = self.context.clock.monotonic()
        for host in hosts:
            digest = digest_of(upstream(1), role='entry', reading=reading)
            self.context.directory.record_digest(host, digest, now)

    async def hear_for(
        self,
        seconds: float,
        *hosts: str,
        reading: bool = True,
    ) -> None:
        for _ in range(int(seconds * 10)):
            self.hear(*hosts, reading=reading)
            await asyncio.sleep(0.1)

    def _send(self, _: bytes, address: HostPort) -> bool:
        self.sent.append(address[0])
        return True


Scenario: TypeAlias = Callable[[World], Awaitable[None]]


def play(
    scenario: Scenario,
    host: str = FIRST_HOST,
    *,
    agent: bool = False,
) -> World:
    """Run a scenario on a loop whose time passes at once."""
    loop = VirtualLoop()
    world = World(loop, host, agent=agent)

    async def run() -> None:
        async with AsyncExitStack() as stack:
            await world.open(stack)
            await scenario(world)

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return world


class TestWhoReads:
    """A few processes read; nobody is elected."""

    def test_one_that_is_alone(self) -> None:
        world = play(lambda one: one.hear_for(1))
        assert world.reads == 1
        assert world.store.watches == [5]
        assert world.gossip.local_status.reading
        assert world.context.state.revision == 5

    def test_none_that_hears_of_two_others(self) -> None:
        world = play(lambda one: one.hear_for(5, *HOSTS[1:3]))
        assert world.reads == 0

    def test_the_first_in_the_order_soonest(self) -> None:
        first = play(lambda one: one.hear_for(0.5, *HOSTS[1:], reading=False))
        last = play(
            lambda one: one.hear_for(0.5, *HOSTS[:-1], reading=False),
            HOSTS[-1],
        )
        assert (first.reads, last.reads) == (1, 0)

    def test_another_one_once_the_readers_are_silent(self) -> None:
        async def scenario(world: World) -> None:
            await world.hear_for(2, *HOSTS[1:3])
            assert world.reads == 0
            await asyncio.sleep(3)

        assert play(scenario).reads == 1

    def test_an_agent_only_when_no_entry_does(self) -> None:
        async def scenario(world: World) -> None:
            await asyncio.sleep(AGENT_DELAY_SECONDS - 0.3)
            assert world.reads == 0
            await asyncio.sleep(1)

        assert play(scenario, agent=True).reads == 1

    def test_not_after_two_earlier_ones_began(self) -> None:
        async def scenario(world: World) -> None:
            await asyncio.sleep(1)
            assert world.gossip.local_status.reading
            world.store.news.put_nowait(Changes(5, 5, ()))
            await world.hear_for(1, *HOSTS[:2])

        world = play(scenario, HOSTS[-1])
        assert not world.gossip.local_status.reading
        assert len(world.store.watches) == 1


class TestFailures:
    """What a reader does when the store fails it."""

    def test_it_says_that_it_reads_only_while_the_store_answers(self) -> None:
        async def scenario(world: World) -> None:
            await asyncio.sleep(1)
            assert world.gossip.local_status.reading
            world.store.failure = AWAY
            await asyncio.sleep(2)
            assert not world.gossip.local_status.reading
            world.store.failure = None
            await asyncio.sleep(4)
            assert world.gossip.local_status.reading

        play(scenario)

    def test_it_tries_again_ever_more_rarely(self) -> None:
        async def scenario(world: World) -> None:
            world.context.state.merge(Changes(0, 4, ()), 'test')
            world.store.failure = AWAY
            await asyncio.sleep(60)

        world = play(scenario)
        pauses = [
            later - sooner
            for sooner, later in zip(
                world.store.reads,
                world.store.reads[1:],
                strict=False,
            )
        ]
        assert max(pauses) > MAX_RETRY_SECONDS / 2
        assert world.reads < 2 * 60 / MAX_RETRY_SECONDS + 10

    def test_a_lost_history_is_read_anew(self) -> None:
        async def scenario(world: World) -> None:
            world.store.lost = True
            await asyncio.sleep(1)

        world = play(scenario)
        assert world.reads == 2
        assert world.context.state.revision == 5

    def test_the_view_never_goes_back(self) -> None:
        async def scenario(world: World) -> None:
            await asyncio.sleep(1)
            world.store.state = Changes(0, 3, ())
            world.store.lost = True
            world.store.news.put_nowait(Changes(5, 6, ()))
            await asyncio.sleep(2)
            assert world.context.state.revision == 6
            assert world.context.state.fleet.drained_data_centres == {'a'}

        play(scenario)

    def test_probes_keep_the_view_confirmed(self) -> None:
        async def scenario(world: World) -> None:
            await asyncio.sleep(10)
            assert world.context.state.age < 2
            world.store.failure = AWAY
            await asyncio.sleep(10)
            assert world.context.state.age > 8

        assert play(scenario).store.probes >= 9


class TestSpreading:
    """Changes read from the store are told to all at once."""

    def test_to_every_known_process(self) -> None:
        async def scenario(world: World) -> None:
            await asyncio.sleep(1)
            world.hear(*HOSTS[1:], reading=False)
            world.sent.clear()
            change = Record('out/b', 6, TakenOut('b'))
            world.store.news.put_nowait(Changes(5, 6, (change,)))
            await asyncio.sleep(0.1)
            assert set(world.sent) >= set(HOSTS[1:])

        play(scenario)
