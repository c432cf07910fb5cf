"""Runs non-idempotent requests at most once and routes all others.

A non-idempotent request goes to the agent that owns its idempotency key. The
owner records the key before it sends the request anywhere and answers repeats
from the record. If the owner no longer exists, the outcome is unknown and the
request is not run again. A request that a peer handed off is already recorded
at its owner and is only routed.
"""

import asyncio
from collections.abc import AsyncGenerator, Sequence
from contextlib import AsyncExitStack
from datetime import timedelta
from typing import Final

from result import Err, Ok

from ragwortpost._clock import Clock
from ragwortpost.request._idempotency import (
    IdempotencyKey,
    Incarnation,
    KeyCodec,
)
from ragwortpost.request._outcome import (
    Answered,
    IncompleteResponseError,
    RefusalReason,
    Refused,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.request._record_table import (
    ExistingRecord,
    NewRecord,
    Record,
    RecordedOutcome,
    RecordRefusal,
    RecordTable,
    StoredResponse,
)
from ragwortpost.request._request import IDEMPOTENCY_KEY, Request
from ragwortpost.request._request_router import Ports, RequestRouter
from ragwortpost.version import Fleet, ShortId, Upstream

MAX_STORED_BODY_BYTES: Final = 1048576


class Dispatcher:
    """Dispatches the requests that reach one agent."""

    def __init__(
        self,
        clock: Clock,
        owner: Incarnation,
        keys: KeyCodec,
        ports: Ports,
        router: RequestRouter,
    ) -> None:
        """Initialize with an empty fleet and no records."""
        self._clock = clock
        self._owner = owner
        self._keys = keys
        self._ports = ports
        self._router = router
        self._records = RecordTable(clock)
        self._fleet = Fleet()
        self._runs: set[asyncio.Task[None]] = set()

    @property
    def owner(self) -> Incarnation:
        """The incarnation of this agent, which owns the keys it issues."""
        return self._owner

    @property
    def record_count(self) -> int:
        """Number of non-idempotent requests on record."""
        return len(self._records)

    @property
    def runs(self) -> Sequence[asyncio.Task[None]]:
        """Tasks of the non-idempotent requests that are running."""
        return tuple(self._runs)

    def apply(self, fleet: Fleet) -> None:
        """Replace the fleet that requests are routed over."""
        self._fleet = fleet
        self._router.apply(fleet)

    def new_key(self) -> bytes:
        """Return a new key owned by this agent, as a header value."""
        return self._keys.encode(
            self._keys.issue(self._owner, self._clock.now()),
        )

    async def dispatch(self, request: Request) -> RequestOutcome:
        """Run a request and return its outcome."""
        await self._ports.availability.wait_until_resynced()
        if request.idempotent or request.handed_off:
            return await self._router.route(request)
        encoded_key = request.header(IDEMPOTENCY_KEY) or self.new_key()
        match self._keys.decode(encoded_key):
            case Err():
                return Refused(RefusalReason.FOREIGN_KEY)
            case Ok(key):
                return await self._dispatch_keyed(key, request)

    async def _dispatch_keyed(
        self,
        key: IdempotencyKey,
        request: Request,
    ) -> RequestOutcome:
        if key.owner == self._owner:
            return await self._run_owned(key, request)
        if key.owner.upstream == self._owner.upstream:
            return Unknown(UnknownReason.OWNER_GONE)
        owner = self._find_upstream(key.owner.upstream)
        if owner is None:
            return Unknown(UnknownReason.OWNER_GONE)
        if owner.service != request.service:
            return Refused(RefusalReason.WRONG_SERVICE)
        return await self._ports.peers.send_to_owner(owner, request)

    async def _run_owned(
        self,
        key: IdempotencyKey,
        request: Request,
    ) -> RequestOutcome:
        match self._records.begin(key):
            case RecordRefusal.FULL:
                return Refused(RefusalReason.TABLE_FULL)
            case RecordRefusal.EXPIRED:
                return Unknown(UnknownReason.KEY_EXPIRED)
            case NewRecord(record):
                self._start(record, request)
                return await self._await_record(record, request)
            case ExistingRecord(record):
                return await self._await_record(record, request)

    def _start(self, record: Record, request: Request) -> None:
        run = asyncio.create_task(self._run(record, request))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)

    async def _run(self, record: Record, request: Request) -> None:
        outcome: RecordedOutcome = Unknown(UnknownReason.CONNECTION_LOST)
        try:
            outcome = await self._route_and_buffer(request)
        finally:
            self._records.settle(record, outcome)

    async def _route_and_buffer(self, request: Request) -> RecordedOutcome:
        try:
            async with asyncio.timeout_at(request.deadline):
                outcome = await self._router.route(request)
                return await _buffer_response(outcome)
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE)
        except IncompleteResponseError:
            return Unknown(UnknownReason.CONNECTION_LOST)

    async def _await_record(
        self, record: Record, request: Request
    ) -> RequestOutcome:
        try:
            async with asyncio.timeout_at(request.deadline):
                outcome = await asyncio.shield(record.outcome)
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE, timedelta(seconds=1))
        match outcome:
            case StoredResponse():
                return _replay_response(outcome)
            case Refused() | Unknown():
                return outcome

    def _find_upstream(self, ident: ShortId) -> Upstream | None:
        return self._fleet.snapshot.upstreams.get(ident)


async def _buffer_response(outcome: RequestOutcome) -> RecordedOutcome:
    if not isinstance(outcome, Answered):
        return outcome
    body = bytearray()
    async with outcome.stack:
        async for chunk in outcome.chunks:
            body += chunk
            if len(body) > MAX_STORED_BODY_BYTES:
                return Unknown(UnknownReason.ANSWER_TOO_LARGE)
    return StoredResponse(outcome.status, outcome.headers, bytes(body))


def _replay_response(stored: StoredResponse) -> Answered:
    return Answered(
        stored.status,
        stored.headers,
        _one_chunk(stored.body),
        AsyncExitStack(),
    )


async def _one_chunk(body: bytes) -> AsyncGenerator[bytes, None]:
    yield body
