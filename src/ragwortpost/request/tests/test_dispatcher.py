"""Tests of idempotency keys, the records and the dispatcher.

Guards against a request that runs twice because it is repeated after a lost
response, a restart of its agent or the expiry of its key.
"""

import asyncio
import random
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack
from datetime import UTC, datetime, timedelta

import pytest

from ragwortpost.request import (
    IDEMPOTENCY_KEY,
    Answered,
    Dispatcher,
    ExistingRecord,
    Incarnation,
    KeyCodec,
    NewRecord,
    PeerSelector,
    Ports,
    Ramp,
    RecordRefusal,
    RecordTable,
    RefusalReason,
    Refused,
    Request,
    RequestOutcome,
    RequestRouter,
    Slots,
    StoredResponse,
    Unknown,
    UnknownReason,
)
from ragwortpost.version import (
    Fleet,
    Policy,
    Upstream,
    parse_snapshot,
    short_id,
)

LEASE = timedelta(minutes=10)
START = datetime(2026, 1, 1, tzinfo=UTC)
PEERS = Fleet(
    parse_snapshot(
        1,
        b"""[service desk]
address = 10.0.0.1:4433
[data-centre north]
[upstream desk/north/1]
address = 10.0.1.1:7001
[upstream desk/north/2]
address = 10.0.1.2:7001
[upstream desk/north/3]
address = 10.0.1.3:7001
""",
    ).unwrap()
)
OWNER = Incarnation(short_id('desk/north/1'), 7)


class ManualClock:
    """The event loop's clock with a wall clock that the test sets."""

    def __init__(self) -> None:
        self.wall = START

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        return self.wall


class CountingUpstream:
    """Serves as all three ports: counts runs; no peer can be reached."""

    accepts_work = True
    refusal = RefusalReason.UPSTREAM_DOWN

    def __init__(self, *outcomes: RequestOutcome | None) -> None:
        self.outcomes = list(outcomes)
        self.runs = 0

    async def wait_until_resynced(self) -> None:
        """Return at once."""

    async def send(self, request: Request) -> RequestOutcome:
        self.runs += 1
        await asyncio.sleep(0.01)
        scripted = self.outcomes.pop(0) if self.outcomes else None
        return scripted or Answered(200, [], _body(), AsyncExitStack())

    async def serve(self, peer: Upstream, request: Request) -> RequestOutcome:
        return Refused(RefusalReason.PEER_UNREACHABLE)

    async def send_to_owner(
        self, owner: Upstream, request: Request
    ) -> RequestOutcome:
        return Unknown(UnknownReason.OWNER_UNREACHABLE)


class ScriptedPeer(CountingUpstream):
    """Serves as the peers: returns scripted outcomes."""

    def __init__(self, outcomes: list[RequestOutcome]) -> None:
        super().__init__()
        self.peer_outcomes = outcomes

    async def serve(self, peer: Upstream, request: Request) -> RequestOutcome:
        return self.peer_outcomes.pop(0)


async def _body() -> AsyncGenerator[bytes, None]:
    yield b'done'


def codec() -> KeyCodec:
    """Return a codec with predictable nonces."""
    numbers = iter(range(1, 1000))
    return KeyCodec(b's' * 32, LEASE, lambda size: next(numbers).to_bytes(size))


def make_router(
    clock: ManualClock, upstream: CountingUpstream, peers: CountingUpstream
) -> RequestRouter:
    """Return the router of an agent; its view is empty."""
    slots = Slots(clock, Policy(slots=4, ramp=timedelta(0)), Ramp(clock))
    ports = Ports(upstream, peers, upstream)
    selector = PeerSelector(clock, random.Random(1))
    return RequestRouter(OWNER.upstream, slots, ports, selector)


def make_dispatcher(
    clock: ManualClock, upstream: CountingUpstream
) -> Dispatcher:
    """Return the dispatcher of an agent without peers."""
    router = make_router(clock, upstream, upstream)
    ports = Ports(upstream, upstream, upstream)
    return Dispatcher(clock, OWNER, codec(), ports, router)


def post(key: bytes) -> Request:
    """Return a non-idempotent request with a key."""
    deadline = asyncio.get_running_loop().time() + 1
    return Request(
        'desk', 'POST', b'/', [(IDEMPOTENCY_KEY, key)], b'', deadline
    )


class TestKeys:
    """Only keys that an agent issued are decoded."""

    def test_round_trip(self) -> None:
        keys = codec()
        key = keys.issue(OWNER, START)
        assert keys.decode(keys.encode(key)).unwrap() == key

    @pytest.mark.parametrize('offset', [0, 12, 20, 30, 45, -1])
    def test_changed_key_is_rejected(self, offset: int) -> None:
        keys = codec()
        text = bytearray(keys.encode(keys.issue(OWNER, START)))
        text[offset] ^= 1
        assert keys.decode(bytes(text)).is_err()


class TestRecordTable:
    """Records are bounded and never dropped before their lease ends."""

    def run(self, scenario: object) -> None:
        asyncio.run(scenario)  # type: ignore[arg-type]

    def test_full_table_refuses_new_key(self) -> None:
        async def scenario() -> None:
            table, keys = RecordTable(ManualClock(), max_records=2), codec()
            issued = [keys.issue(OWNER, START) for _ in range(3)]
            assert isinstance(table.begin(issued[0]), NewRecord)
            assert isinstance(table.begin(issued[1]), NewRecord)
            assert table.begin(issued[2]) is RecordRefusal.FULL
            assert isinstance(table.begin(issued[0]), ExistingRecord)

        self.run(scenario())

    def test_expired_key_stays_expired_when_the_clock_is_set_back(
        self,
    ) -> None:
        async def scenario() -> None:
            clock = ManualClock()
            table, keys = RecordTable(clock), codec()
            key = keys.issue(OWNER, START)
            new_record = table.begin(key)
            assert isinstance(new_record, NewRecord)
            table.settle(new_record.record, StoredResponse(200, [], b'x'))
            clock.wall = START + 2 * LEASE
            assert table.begin(key) is RecordRefusal.EXPIRED
            clock.wall = START
            assert table.begin(key) is RecordRefusal.EXPIRED

        self.run(scenario())

    def test_an_unfinished_record_does_not_keep_later_ones(self) -> None:
        async def scenario() -> None:
            clock = ManualClock()
            table, keys = RecordTable(clock, max_records=2), codec()
            running = table.begin(keys.issue(OWNER, START))
            finished = table.begin(keys.issue(OWNER, START))
            assert isinstance(running, NewRecord)
            assert isinstance(finished, NewRecord)
            table.settle(finished.record, StoredResponse(200, [], b'x'))
            clock.wall = START + 2 * LEASE
            later = keys.issue(OWNER, clock.wall)
            assert isinstance(table.begin(later), NewRecord)
            assert isinstance(table.begin(running.record.key), ExistingRecord)

        self.run(scenario())


class TestRouter:
    """The outcome of a request that was sent to several upstreams."""

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_after_a_lost_response_a_refusal_is_not_returned(
        self, method: str
    ) -> None:
        lost = Unknown(UnknownReason.CONNECTION_LOST)

        async def scenario() -> None:
            peer = ScriptedPeer([lost, Refused(RefusalReason.SHED)])
            upstream = CountingUpstream(Refused(RefusalReason.SHED))
            router = make_router(ManualClock(), upstream, peer)
            router.apply(PEERS)
            deadline = asyncio.get_running_loop().time() + 1
            request = Request('desk', method, b'/', [], b'', deadline)
            assert await router.route(request) == lost

        asyncio.run(scenario())


class TestDispatcher:
    """A keyed request runs at most once, however often it is repeated."""

    def test_concurrent_repeats_run_once(self) -> None:
        async def scenario() -> None:
            upstream = CountingUpstream()
            dispatcher = make_dispatcher(ManualClock(), upstream)
            key = dispatcher.new_key()
            outcomes = await asyncio.gather(
                *(dispatcher.dispatch(post(key)) for _ in range(5))
            )
            assert upstream.runs == 1
            assert all(isinstance(outcome, Answered) for outcome in outcomes)

        asyncio.run(scenario())

    def test_cancelled_caller_does_not_stop_the_run(self) -> None:
        async def scenario() -> None:
            upstream = CountingUpstream()
            dispatcher = make_dispatcher(ManualClock(), upstream)
            key = dispatcher.new_key()
            first = asyncio.ensure_future(dispatcher.dispatch(post(key)))
            await asyncio.sleep(0.005)
            first.cancel()
            assert isinstance(await dispatcher.dispatch(post(key)), Answered)
            assert upstream.runs == 1

        asyncio.run(scenario())

    def test_refused_request_may_run_later(self) -> None:
        async def scenario() -> None:
            upstream = CountingUpstream(Refused(RefusalReason.SHED))
            dispatcher = make_dispatcher(ManualClock(), upstream)
            key = dispatcher.new_key()
            assert isinstance(await dispatcher.dispatch(post(key)), Refused)
            assert isinstance(await dispatcher.dispatch(post(key)), Answered)

        asyncio.run(scenario())

    def test_lost_response_stays_unknown(self) -> None:
        async def scenario() -> None:
            upstream = CountingUpstream(Unknown(UnknownReason.CONNECTION_LOST))
            dispatcher = make_dispatcher(ManualClock(), upstream)
            key = dispatcher.new_key()
            for _ in range(2):
                outcome = await dispatcher.dispatch(post(key))
                assert outcome == Unknown(UnknownReason.CONNECTION_LOST)
            assert upstream.runs == 1

        asyncio.run(scenario())

    def test_key_of_an_earlier_incarnation_is_unknown(self) -> None:
        async def scenario() -> None:
            upstream = CountingUpstream()
            dispatcher = make_dispatcher(ManualClock(), upstream)
            keys = codec()
            earlier = Incarnation(OWNER.upstream, OWNER.number + 1)
            text = keys.encode(keys.issue(earlier, START))
            outcome = await dispatcher.dispatch(post(text))
            assert outcome == Unknown(UnknownReason.OWNER_GONE)
            assert upstream.runs == 0

        asyncio.run(scenario())

    def test_foreign_key_is_refused(self) -> None:
        async def scenario() -> None:
            dispatcher = make_dispatcher(ManualClock(), CountingUpstream())
            outcome = await dispatcher.dispatch(post(b'my-own-key'))
            assert outcome == Refused(RefusalReason.FOREIGN_KEY)

        asyncio.run(scenario())
