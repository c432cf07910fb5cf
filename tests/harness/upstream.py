"""An in-memory upstream with slots, warm-up, load shedding and event streams.

While it warms up it has only a share of its capacity. It restarts if the
requests of the last ``WINDOW_SECONDS`` used more than twice that share.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from ragwortpost.process import UpstreamLifecycle
from ragwortpost.request import (
    Answered,
    IncompleteResponseError,
    RefusalReason,
    Refused,
    Request,
    RequestOutcome,
    Unknown,
    UnknownReason,
)

# Interval of the reports of the upstream's state to its agent.
PROBE_SECONDS = 0.25
# Period over which the load during warm-up is measured.
WINDOW_SECONDS = 1.0
# Interval of the events in a stream.
EVENT_SECONDS = 0.2


@dataclass
class UpstreamCounters:
    """Events at the upstream, which scenarios check."""

    # Runs of each non-idempotent operation.
    runs: dict[str, int] = field(default_factory=dict)
    # Requests started. This and the other counts leave out event streams.
    started: int = 0
    # Requests run to their end.
    served: int = 0
    # Requests meant for another service, by their ``x-service`` header.
    wrong_service: int = 0
    # Requests that started while all slots were taken.
    over_limit: int = 0
    # Restarts by an overload during the warm-up.
    falls: int = 0
    # Requests that ended early: cancelled, past their deadline, or aborted by
    # the end of the upstream.
    cancelled: int = 0
    # Maximum number of concurrent requests.
    peak: int = 0
    # Time at which the last request or stream started.
    last_start: float = -1


class FakeUpstream:
    """An upstream of the QUIC data path; its agent calls it directly."""

    def __init__(
        self,
        name: str,
        slots: int,
        warm_up_seconds: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Initialize a warm upstream.

        After each restart it warms up for ``warm_up_seconds``.
        """
        self.name = name
        self.service = name.partition('/')[0]
        self.slots = slots
        self.warm_up_seconds = warm_up_seconds
        self._loop = loop
        self.counters = UpstreamCounters()
        self.alive = True
        self.is_shedding = False
        # Duration of a request that has no ``x-seconds`` header.
        self.work_seconds = 0.02
        # Number of restarts so far.
        self.generation = 0
        self._warm_up_started_at = float('-inf')
        self._running = 0
        self._busy_spans: list[tuple[float, float]] = []
        self._killed = asyncio.Event()

    def kill(self) -> None:
        """Stop the upstream and abort its requests and streams."""
        self.alive = False
        self._killed.set()

    def restart(self) -> None:
        """Abort everything that runs and start again with a warm-up."""
        self.kill()
        self._killed = asyncio.Event()
        self.alive = True
        self.generation += 1
        self._running = 0
        self._busy_spans.clear()
        self._warm_up_started_at = self._loop.time()

    async def run_probes(self, lifecycle: UpstreamLifecycle) -> None:
        """Report the state to a lifecycle until cancelled.

        The reports are those of an agent's health probes over one connection.
        """
        generation = self.generation
        while True:
            if not self.alive:
                lifecycle.failed()
            elif generation != self.generation:
                generation = self.generation
                lifecycle.restarted()
                lifecycle.answered()
            else:
                lifecycle.answered()
            await asyncio.sleep(PROBE_SECONDS)

    async def run(self, request: Request) -> RequestOutcome:
        """Run one request and return the outcome that its agent receives."""
        if not self.alive:
            return Refused(RefusalReason.UPSTREAM_DOWN)
        if self.is_shedding:
            return Refused(RefusalReason.SHED)
        self.counters.last_start = self._loop.time()
        if request.is_event_stream:
            return self._build_answer(self._generate_events(request))
        killed = self._killed
        request_task = asyncio.ensure_future(self._run_request(request))
        kill_waiter = asyncio.ensure_future(killed.wait())
        try:
            async with asyncio.timeout_at(request.deadline):
                await asyncio.wait(
                    (request_task, kill_waiter),
                    return_when=asyncio.FIRST_COMPLETED,
                )
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE)
        finally:
            kill_waiter.cancel()
            if not request_task.done():
                self.counters.cancelled += 1
                request_task.cancel()
        if killed.is_set() or not request_task.done():
            return Unknown(UnknownReason.CONNECTION_LOST)
        return self._build_answer(_single_chunk(request_task.result()))

    def capacity_share(self) -> float:
        """Return the share of the capacity, which grows during the warm-up."""
        age = self._loop.time() - self._warm_up_started_at
        return (
            min(1, 0.1 + 0.9 * age / self.warm_up_seconds)
            if self.warm_up_seconds
            else 1
        )

    async def _run_request(self, request: Request) -> bytes:
        started = self._loop.time()
        self._record_start(request)
        generation = self.generation
        try:
            await asyncio.sleep(self._work_seconds_of(request))
        finally:
            if generation == self.generation:
                self._running -= 1
                self._record_busy_time(started)
        self.counters.served += 1
        operation = request.header(b'x-operation')
        size = int(request.header(b'x-size') or b'0')
        return (operation + b'|' + request.body).ljust(size, b'.')

    def _work_seconds_of(self, request: Request) -> float:
        requested_seconds = request.header(b'x-seconds')
        return (
            float(requested_seconds) if requested_seconds else self.work_seconds
        )

    def _record_start(self, request: Request) -> None:
        self.counters.started += 1
        self._running += 1
        self.counters.peak = max(self.counters.peak, self._running)
        if self._running > self.slots:
            self.counters.over_limit += 1
        if request.header(b'x-service') not in {b'', self.service.encode()}:
            self.counters.wrong_service += 1
        if request.method == 'POST':
            operation = request.header(b'x-operation').decode()
            self.counters.runs[operation] = (
                self.counters.runs.get(operation, 0) + 1
            )

    def _record_busy_time(self, started: float) -> None:
        now = self._loop.time()
        self._busy_spans.append((started, now))
        window_start = now - WINDOW_SECONDS
        self._busy_spans = [
            span for span in self._busy_spans if span[1] > window_start
        ]
        busy_seconds = sum(
            end - max(begin, window_start) for begin, end in self._busy_spans
        )
        allowed_seconds = self.capacity_share() * self.slots * WINDOW_SECONDS
        if (
            self.capacity_share() < 1
            and busy_seconds > 2 * allowed_seconds + 0.05
        ):
            self.counters.falls += 1
            self.restart()

    async def _generate_events(
        self, request: Request
    ) -> AsyncGenerator[bytes, None]:
        last = request.header(b'last-event-id')
        number = int(last) + 1 if last else 1
        killed = self._killed
        while not killed.is_set():
            yield b'id: %d\ndata: x\n\n' % number
            number += 1
            await asyncio.sleep(EVENT_SECONDS)
        raise IncompleteResponseError('upstream was killed')

    def _build_answer(self, chunks: AsyncGenerator[bytes, None]) -> Answered:
        headers = [(b'x-upstream', self.name.encode())]
        return Answered(200, headers, chunks, AsyncExitStack())


class FakeUpstreamPort:
    """The calls of one agent to its upstream."""

    def __init__(
        self,
        upstream: FakeUpstream,
        lifecycle: UpstreamLifecycle,
        alive: Callable[[], bool],
    ) -> None:
        """Initialize with the upstream and its lifecycle.

        ``alive`` returns whether the agent's process is running.
        """
        self._upstream = upstream
        self._lifecycle = lifecycle
        self._alive = alive

    async def send(self, request: Request) -> RequestOutcome:
        """Send a request once; never return if the agent was killed."""
        if not self._alive():
            await asyncio.Event().wait()
        answer = await self._upstream.run(request)
        if answer == Refused(RefusalReason.UPSTREAM_DOWN):
            self._lifecycle.failed()
        return answer


async def _single_chunk(body: bytes) -> AsyncGenerator[bytes, None]:
    yield body
