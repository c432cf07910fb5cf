"""Concurrent callers of the QUIC data path and counts of their results."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from standin.caller import Caller, ConnectionLostError, Response, open_caller
from standin.deployment import ServicePlan

# Time limit of opening a connection and of each attempt of a request.
ATTEMPT_SECONDS = 4.0
STALL_SECONDS = 3.0
EVENT_PERIOD_SECONDS = 0.2
_MICROSECONDS_PER_SECOND = 1000000


@dataclass
class Tally:
    """Results of all requests and connections of a workload."""

    # Requests started, not counting retries.
    requests: int = 0
    # Requests answered by an upstream.
    answered: int = 0
    # Refusals that state that the request was not run.
    refused_not_run: int = 0
    # Requests without a response to the last attempt, and downloads whose
    # response states an unknown outcome.
    unknown: int = 0
    # Responses that belong to another request or are incomplete.
    mixed_answers: int = 0
    # Lost connections that are not counted in ``given_up``. A loss during a
    # key request is not counted.
    broken_flows: int = 0
    # Connections lost to upstreams in data centres that have been drained.
    given_up: int = 0
    # Gaps in the event numbers of a stream; each skip or repeat counts once.
    event_gaps: int = 0
    # Event streams on which no event arrived for ``STALL_SECONDS``.
    stalls: int = 0
    # Seconds from the loss of an event stream to the next connection.
    back_seconds: list[float] = field(default_factory=list)
    # State of each non-idempotent operation: "answered", "unknown", the
    # outcome of a refusal, or "lost" before the final response.
    operations: dict[str, str] = field(default_factory=dict)
    # Short ids of upstreams in data centres that were drained.
    drained_upstreams: set[bytes] = field(default_factory=set)
    # Why each connection counted in ``broken_flows`` was lost.
    broken_reasons: list[str] = field(default_factory=list)
    # Latencies of successful requests in microseconds.
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, 60 * _MICROSECONDS_PER_SECOND, 3
        ),
    )

    def record_disconnect(self, caller: Caller) -> None:
        """Count a lost connection, by whether its data centre was drained."""
        if caller.upstream in self.drained_upstreams:
            self.given_up += 1
        else:
            self.broken_flows += 1
            self.broken_reasons.append(str(caller.protocol.closed_reason))


class Workload:
    """Runs callers against services until it is stopped."""

    def __init__(self, seed: int) -> None:
        """Initialize with the seed of all random choices."""
        self.rng = random.Random(seed)  # noqa: S311
        self.tally = Tally()
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = False

    def start(self, *callers: Awaitable[None]) -> None:
        """Run each caller in its own task."""
        for caller in callers:
            self.tasks.add(asyncio.ensure_future(caller))

    async def finish(self) -> None:
        """Let requests run for ``ATTEMPT_SECONDS``, then cancel all callers."""
        self.stopping = True
        await asyncio.sleep(ATTEMPT_SECONDS)
        for task in self.tasks:
            task.cancel()
        outcomes = await asyncio.gather(*self.tasks, return_exceptions=True)
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome

    async def read_events(self, service: ServicePlan, topic: str) -> None:
        """Keep an event stream open and check the order of its events."""
        last_event = 0
        lost_at: float | None = None
        while not self.stopping:
            async with AsyncExitStack() as stack:
                caller = await self._connect(stack, service)
                if caller is None:
                    continue
                if lost_at is not None:
                    self.tally.back_seconds.append(time.monotonic() - lost_at)
                try:
                    last_event = await self._read_stream(
                        caller, topic, last_event
                    )
                except ConnectionLostError:
                    lost_at = time.monotonic()
                    self.tally.record_disconnect(caller)
                    last_event = 0

    async def post_operations(self, service: ServicePlan, name: str) -> None:
        """Send non-idempotent requests in sequence on one connection."""
        number = 0
        while not self.stopping:
            async with AsyncExitStack() as stack:
                caller = await self._connect(stack, service)
                try:
                    while caller and not caller.closed and not self.stopping:
                        number += 1
                        await self._post(caller, f'{name}-{number}', service)
                        await asyncio.sleep(self.rng.uniform(0.1, 0.4))
                except ConnectionLostError:
                    continue
                if caller and caller.closed:
                    self.tally.record_disconnect(caller)

    async def download_documents(self, service: ServicePlan, name: str) -> None:
        """Download documents in sequence on one connection."""
        number = 0
        while not self.stopping:
            async with AsyncExitStack() as stack:
                caller = await self._connect(stack, service)
                while caller and not caller.closed and not self.stopping:
                    number += 1
                    await self._download(caller, f'{name}-{number}', service)
                    await asyncio.sleep(self.rng.uniform(0.1, 0.4))
                if caller and caller.closed:
                    self.tally.record_disconnect(caller)

    async def _connect(
        self,
        stack: AsyncExitStack,
        service: ServicePlan,
    ) -> Caller | None:
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                return await open_caller(stack, service.host, service.port)
        except (TimeoutError, ConnectionError):
            await asyncio.sleep(0.2)
            return None

    async def _read_stream(
        self, caller: Caller, topic: str, last_event: int
    ) -> int:
        stream = caller.events(f'/queue/{topic}?period={EVENT_PERIOD_SECONDS}')
        while not self.stopping:
            try:
                async with asyncio.timeout(STALL_SECONDS):
                    event = await anext(stream)
            except TimeoutError:
                self.tally.stalls += 1
                raise ConnectionLostError('stalled') from None
            number = int(event.split()[1])
            if last_event and number != last_event + 1:
                self.tally.event_gaps += 1
            last_event = number
        return last_event

    async def _post(
        self,
        caller: Caller,
        operation: str,
        service: ServicePlan,
    ) -> None:
        self.tally.requests += 1
        key = await self._fetch_key(caller)
        if not key:
            return
        self.tally.operations[operation] = 'lost'
        headers = {
            'idempotency-key': key,
            'x-operation': operation,
            'x-service': service.name,
        }
        response = await self._retry_until_final(
            caller,
            service,
            lambda connection: connection.call(
                'POST', '/work', headers, b'scan'
            ),
        )
        if response is None:
            self.tally.unknown += 1
            self.tally.operations[operation] = 'unknown'
        elif response.status == 200:
            self.tally.answered += 1
            self.tally.operations[operation] = 'answered'
            self._check_body(response, operation, 0)
        else:
            self.tally.operations[operation] = response.outcome

    async def _fetch_key(self, caller: Caller) -> str:
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                return await caller.fetch_idempotency_key()
        except TimeoutError:
            return ''

    async def _download(
        self, caller: Caller, operation: str, service: ServicePlan
    ) -> None:
        self.tally.requests += 1
        size = self.rng.choice((100, 2000, 300000))
        headers = {'x-operation': operation, 'x-service': service.name}
        response = await self._retry_until_final(
            caller,
            service,
            lambda connection: connection.call(
                'GET', f'/pull?bytes={size}', headers
            ),
        )
        if response is not None and response.status == 200:
            self.tally.answered += 1
            self._check_body(response, operation, size)
        elif response is None or response.outcome == 'unknown':
            self.tally.unknown += 1

    async def _retry_until_final(
        self,
        caller: Caller,
        service: ServicePlan,
        call: Callable[[Caller], Awaitable[Response]],
    ) -> Response | None:
        response = None
        async with AsyncExitStack() as stack:
            connection: Caller | None = caller
            for _ in range(8):
                if connection is None or connection.closed:
                    connection = await self._connect(stack, service)
                    continue
                response = await self._attempt(connection, call)
                if response is None:
                    connection = None if connection.closed else connection
                    continue
                if response.outcome == 'not-run':
                    self.tally.refused_not_run += 1
                if 'retry-after' not in response.headers:
                    return response
                await asyncio.sleep(float(response.headers['retry-after']))
        return response

    async def _attempt(
        self,
        caller: Caller,
        call: Callable[[Caller], Awaitable[Response]],
    ) -> Response | None:
        started = time.monotonic()
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                response = await call(caller)
        except (TimeoutError, ConnectionLostError):
            return None
        if response.status == 200:
            elapsed = time.monotonic() - started
            self.tally.latencies.record_value(
                int(elapsed * _MICROSECONDS_PER_SECOND)
            )
        return response

    def _check_body(
        self, response: Response, operation: str, size: int
    ) -> None:
        expected_prefix = f'{operation}|'.encode()
        is_own = bytes(response.body).startswith(expected_prefix)
        is_own = is_own and response.headers.get('x-operation') == operation
        if not is_own or (
            size and len(response.body) != max(size, len(expected_prefix))
        ):
            self.tally.mixed_answers += 1
