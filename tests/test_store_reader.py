"""Tests of which packet-level processes read the store, and of failures.

Guards against too many readers or none, as there is no election, retries that
overload a failing store, a view that reverts when the store has lost its
history, and changes that reach the other processes late.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TypeAlias

import pytest
from result import Err, Ok, Result

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process._node_context import NodeContext, make_context
from ragwortpost.datapath.process._store_port import (
    HistoryLost,
    StoreError,
    StorePoint,
    StoreRead,
)
from ragwortpost.datapath.process._store_reader import (
    AGENT_DELAY_SECONDS,
    MAX_RETRY_SECONDS,
    StoreReader,
    rank,
)
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.process.tests.network import (
    digest_of,
    settings_of,
)
from ragwortpost.datapath.version import Changes, Record, TakenOut
from ragwortpost.datapath.version.tests.documents import at, upstream
from tests.harness.loop import ProcessClock, VirtualLoop

WatchResult: TypeAlias = Result[StoreRead, StoreError | HistoryLost]
# In rank order: the first process starts to read first.
HOSTS = sorted((f'10.0.1.{number}' for number in range(1, 6)), key=rank)
FIRST_HOST = HOSTS[0]
UNAVAILABLE = StoreError('no response', 0)


def read(
    after: int, revision: int, records: tuple[Record, ...], era: str = ''
) -> StoreRead:
    return StoreRead(StorePoint(revision, era), after, records)


class FakeStore:
    """A store with the failures that a test sets; it records its calls."""

    def __init__(self) -> None:
        self.state = read(0, 5, (Record('out/a', at(5), TakenOut('a')),))
        # Whether watches return nothing more, as on a lost connection.
        self.is_silent = False
        self.failure: StoreError | None = None
        self.history_lost = False
        self.reads: list[float] = []
        self.watches: list[int] = []
        self.pending_changes: asyncio.Queue[StoreRead] = asyncio.Queue()

    async def read_all(self, *, stale: bool) -> Result[StoreRead, StoreError]:
        assert not stale
        self.reads.append(asyncio.get_running_loop().time())
        return Err(self.failure) if self.failure else Ok(self.state)

    async def watch(self, revision: int, wait_seconds: float) -> WatchResult:
        self.watches.append(revision)
        if self.is_silent:
            await asyncio.sleep(wait_seconds + 1)
            return Err(UNAVAILABLE)
        if self.failure:
            return Err(self.failure)
        if self.history_lost:
            self.history_lost = False
            return Err(HistoryLost(revision))
        try:
            async with asyncio.timeout(wait_seconds):
                return Ok(await self.pending_changes.get())
        except TimeoutError:
            if self.failure:
                return Err(self.failure)
            return Ok(read(revision, revision, (), self.state.point.era))


class ReaderProcess:
    """A process that may read the store; tests pass it its peers' digests."""

    def __init__(self, loop: VirtualLoop, host: str, *, agent: bool) -> None:
        self.store = FakeStore()
        document = replace(upstream(1), host=host) if agent else None
        settings = settings_of(host, document)
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
        running = asyncio.create_task(self.store_reader.run())
        stack.callback(running.cancel)

    def receive_digests(self, *hosts: str, reading: bool = True) -> None:
        now = self.context.clock.monotonic()
        for host in hosts:
            digest = digest_of(upstream(1), role='entry', reading=reading)
            self.context.directory.record_digest(host, digest, now)

    async def receive_digests_for(
        self,
        seconds: float,
        *hosts: str,
        reading: bool = True,
    ) -> None:
        for _ in range(int(seconds * 10)):
            self.receive_digests(*hosts, reading=reading)
            await asyncio.sleep(0.1)

    def _send(self, _: bytes, address: HostPort) -> bool:
        self.sent.append(address[0])
        return True


ReaderScenario: TypeAlias = Callable[[ReaderProcess], Awaitable[None]]


def run_scenario(
    scenario: ReaderScenario,
    host: str = FIRST_HOST,
    *,
    agent: bool = False,
) -> ReaderProcess:
    """Run a scenario of one process under virtual time."""
    loop = VirtualLoop()
    process = ReaderProcess(loop, host, agent=agent)

    async def run() -> None:
        async with AsyncExitStack() as stack:
            await process.open(stack)
            await scenario(process)

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return process


class TestReaderSelection:
    """Only a few processes read, without an election."""

    def test_a_process_without_peers_reads(self) -> None:
        process = run_scenario(lambda process: process.receive_digests_for(1))
        assert process.reads == 1
        assert process.store.watches == [5]
        assert process.gossip.local_status.reading
        assert process.context.state.revision == 5

    def test_a_process_with_two_other_readers_does_not_read(self) -> None:
        process = run_scenario(
            lambda process: process.receive_digests_for(5, *HOSTS[1:3])
        )
        assert process.reads == 0

    def test_the_first_in_rank_order_reads_first(self) -> None:
        first = run_scenario(
            lambda process: process.receive_digests_for(
                0.5, *HOSTS[1:], reading=False
            )
        )
        last = run_scenario(
            lambda process: process.receive_digests_for(
                0.5, *HOSTS[:-1], reading=False
            ),
            HOSTS[-1],
        )
        assert (first.reads, last.reads) == (1, 0)

    def test_another_process_reads_once_the_readers_are_unresponsive(
        self,
    ) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await process.receive_digests_for(2, *HOSTS[1:3])
            assert process.reads == 0
            await asyncio.sleep(3)

        assert run_scenario(scenario).reads == 1

    def test_an_agent_reads_only_if_no_entry_does(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(AGENT_DELAY_SECONDS - 0.3)
            assert process.reads == 0
            await asyncio.sleep(1)

        assert run_scenario(scenario, agent=True).reads == 1

    def test_a_reader_stops_when_two_ranked_before_it_read(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1)
            assert process.gossip.local_status.reading
            process.store.pending_changes.put_nowait(read(5, 5, ()))
            await process.receive_digests_for(1, *HOSTS[:2])

        process = run_scenario(scenario, HOSTS[-1])
        assert not process.gossip.local_status.reading
        assert len(process.store.watches) == 1


class TestFailures:
    """A reader handles a store that fails or has lost its history."""

    def test_reading_is_reported_only_while_the_store_responds(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1)
            assert process.gossip.local_status.reading
            process.store.failure = UNAVAILABLE
            await asyncio.sleep(2)
            assert not process.gossip.local_status.reading
            process.store.failure = None
            await asyncio.sleep(4)
            assert process.gossip.local_status.reading

        run_scenario(scenario)

    def test_retries_back_off(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            process.context.state.merge(Changes(at(0), at(4), ()), 'test')
            process.store.failure = UNAVAILABLE
            await asyncio.sleep(60)

        process = run_scenario(scenario)
        intervals = [
            later - earlier
            for earlier, later in zip(
                process.store.reads,
                process.store.reads[1:],
                strict=False,
            )
        ]
        assert max(intervals) > MAX_RETRY_SECONDS / 2
        assert process.reads < 2 * 60 / MAX_RETRY_SECONDS + 10

    def test_lost_history_causes_a_full_read(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            process.store.history_lost = True
            await asyncio.sleep(1)

        process = run_scenario(scenario)
        assert process.reads == 2
        assert process.context.state.revision == 5

    def test_the_view_never_reverts(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1)
            process.store.state = read(0, 3, ())
            process.store.history_lost = True
            process.store.pending_changes.put_nowait(read(5, 6, ()))
            await asyncio.sleep(2)
            assert process.context.state.revision == 6
            assert process.context.state.fleet.drained_data_centres == {'a'}

        run_scenario(scenario)

    def test_watches_keep_the_view_age_low(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(10)
            assert process.context.state.age < 2
            assert len(process.store.watches) >= 9
            process.store.failure = UNAVAILABLE
            await asyncio.sleep(10)
            assert process.context.state.age > 8

        run_scenario(scenario)

    def test_a_reader_whose_watch_is_silent_does_not_report_reading(
        self,
    ) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1)
            process.store.is_silent = True
            await asyncio.sleep(3)
            assert not process.gossip.local_status.reading
            process.store.is_silent = False
            await asyncio.sleep(3)
            assert process.gossip.local_status.reading

        run_scenario(scenario)

    def test_failed_calls_do_not_end_the_silence_of_the_store(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1)
            process.store.failure = UNAVAILABLE
            await process.receive_digests_for(5)
            assert process.store_reader.silence > 4

        run_scenario(scenario)

    def test_a_reader_that_can_not_apply_changes_does_not_report_reading(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(*_: object) -> None:
            raise KeyError('record')

        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(0.5)
            monkeypatch.setattr(process.context.state, 'merge_read', fail)
            process.store.pending_changes.put_nowait(read(5, 6, ()))
            await asyncio.sleep(0.5)
            assert not process.gossip.local_status.reading

        run_scenario(scenario)


class TestPropagation:
    """Changes read from the store are sent to all processes at once."""

    def test_a_change_is_pushed_to_every_known_process(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1)
            process.receive_digests(*HOSTS[1:], reading=False)
            process.sent.clear()
            change = Record('out/b', at(6), TakenOut('b'))
            process.store.pending_changes.put_nowait(read(5, 6, (change,)))
            await asyncio.sleep(0.1)
            assert set(process.sent) >= set(HOSTS[1:])

        run_scenario(scenario)


class TestRestores:
    """A restore is detected by the era on any response."""

    def restored(self, *records: Record) -> StoreRead:
        return read(0, 3, records, era='1')

    def run_restored(self, scenario: ReaderScenario) -> ReaderProcess:
        async def run(process: ReaderProcess) -> None:
            await asyncio.sleep(0.5)
            process.store.state = self.restored()
            await scenario(process)

        return run_scenario(run)

    def test_a_watch_that_returns_a_new_era_causes_a_full_read(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            # Without the era these changes would be applied to the old state.
            change = Record('out/b', at(6), TakenOut('b'))
            process.store.pending_changes.put_nowait(
                read(5, 6, (change,), era='1')
            )
            await asyncio.sleep(0.4)
            assert process.context.state.version == at(3, era=1)

        process = self.run_restored(scenario)
        assert process.context.log.audit_trail[-1]['event'] == 'store_restored'
        assert process.context.state.fleet.drained_data_centres == {'a'}

    def test_a_watch_without_changes_shows_a_new_era(self) -> None:
        process = self.run_restored(lambda _: asyncio.sleep(1.1))
        assert process.context.state.version == at(3, era=1)
        assert process.reads == 2

    def test_changes_after_a_revision_of_another_era_are_not_applied(
        self,
    ) -> None:
        async def scenario(process: ReaderProcess) -> None:
            # A peer has read the restored store while the watch waited.
            process.context.state.merge(Changes(at(0), at(4, 1), ()), 'peer')
            change = Record('out/b', at(9), TakenOut('b'))
            process.store.pending_changes.put_nowait(
                read(5, 9, (change,), era='1')
            )
            process.store.state = self.restored(change)
            await asyncio.sleep(0.1)
            assert process.reads == 2

        self.run_restored(scenario)

    def test_a_response_of_an_older_era_is_not_applied(self) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1.5)
            process.store.state = read(0, 9, (), era='0')
            process.store.history_lost = True
            process.store.pending_changes.put_nowait(read(3, 3, (), era='1'))
            await asyncio.sleep(1)
            assert process.context.state.version == at(3, era=1)
            events = [line['event'] for line in process.context.log.audit_trail]
            assert events.count('store_era_unusable') == 1

        self.run_restored(scenario)

    @pytest.mark.parametrize('era', ['', 'one', '-1', '1.0', str(2**63)])
    def test_an_unusable_era_is_logged_and_stops_nothing(
        self, era: str
    ) -> None:
        async def scenario(process: ReaderProcess) -> None:
            await asyncio.sleep(1.5)
            change = Record('out/b', at(4), TakenOut('b'))
            process.store.state = read(0, 4, (change,), era)
            process.store.pending_changes.put_nowait(read(3, 4, (change,), era))
            await asyncio.sleep(2)
            assert process.context.state.version == at(4, era=1)
            unusable = [
                line['given']
                for line in process.context.log.audit_trail
                if line['event'] == 'store_era_unusable'
            ]
            assert unusable == [era]

        self.run_restored(scenario)

    def test_an_upstream_seen_gone_is_used_once_it_writes_again(self) -> None:
        gone = upstream(1, sequence=4)
        subject = 'upstream/i-1'

        async def scenario(process: ReaderProcess) -> None:
            state = process.context.state
            state.merge_read(
                Changes(at(5), at(6), (Record(subject, at(6), gone),))
            )
            state.merge_read(
                Changes(at(6), at(7), (Record(subject, at(7), None),))
            )
            await asyncio.sleep(3)
            process.store.state = self.restored(Record(subject, at(3), gone))
            await asyncio.sleep(4)
            assert not state.fleet.upstreams
            alive = replace(gone, sequence=5)
            process.store.state = self.restored(Record(subject, at(3), alive))
            await asyncio.sleep(8)
            assert state.fleet.upstreams['desk'] == [alive]

        run_scenario(scenario)
