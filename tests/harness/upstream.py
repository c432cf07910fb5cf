"""An upstream in memory: slots, cold start, deadlines, shed, event streams."""

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

PROBE_SECONDS = 0.25
WINDOW_SECONDS = 1.0
EVENT_SECONDS = 0.2


@dataclass
class Seen:
    """What the upstream saw."""

    # Non-idempotent runs by operation.
    runs: dict[str, int] = field(default_factory=dict)
    # Requests started.
    started: int = 0
    # Requests answered.
    served: int = 0
    # Requests meant for another service.
    wrong_service: int = 0
    # Requests started while all slots were taken.
    over_limit: int = 0
    # Times it fell over.
    falls: int = 0
    # Requests cut off by the agent before their answer.
    cancelled: int = 0
    # Highest number of requests that ran at once.
    peak: int = 0
    # When the last request or stream started.
    last_start: float = -1


class FakeUpstream:
    """One upstream, beside an agent."""

    def __init__(
        self,
        name: str,
        slots: int,
        cold: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start warm; a restart is cold for ``cold`` seconds."""
        self.name = name
        self.service = name.partition('/')[0]
        self.slots = slots
        self.cold = cold
        self._loop = loop
        self.seen = Seen()
        self.alive = True
        self.shedding = False
        self.work_seconds = 0.02
        self.generation = 0
        self._cold_since = float('-inf')
        self._running = 0
        self._spans: list[tuple[float, float]] = []
        self._died = asyncio.Event()

    def kill(self) -> None:
        """Cut everything off."""
        self.alive = False
        self._died.set()

    def restart(self) -> None:
        """Come back cold; what ran is cut off."""
        self.kill()
        self._died = asyncio.Event()
        self.alive = True
        self.generation += 1
        self._running = 0
        self._spans.clear()
        self._cold_since = self._loop.time()

    async def watch(self, lifecycle: UpstreamLifecycle) -> None:
        """Tell a lifecycle what probes over one open connection would see."""
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
        """Run one request as the upstream's HTTP would."""
        if not self.alive:
            return Refused(RefusalReason.UPSTREAM_DOWN)
        if self.shedding:
            return Refused(RefusalReason.SHED)
        self.seen.last_start = self._loop.time()
        if request.is_event_stream:
            return self._answered(self._events(request))
        died = self._died
        work = asyncio.ensure_future(self._work(request))
        gone = asyncio.ensure_future(died.wait())
        try:
            async with asyncio.timeout_at(request.deadline):
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE)
        finally:
            gone.cancel()
            if not work.done():
                self.seen.cancelled += 1
                work.cancel()
        if died.is_set() or not work.done():
            return Unknown(UnknownReason.CONNECTION_LOST)
        return self._answered(_one(work.result()))

    def share(self) -> float:
        """Return the share of capacity borne now."""
        age = self._loop.time() - self._cold_since
        return min(1, 0.1 + 0.9 * age / self.cold) if self.cold else 1

    async def _work(self, request: Request) -> bytes:
        started = self._loop.time()
        self._note_start(request)
        generation = self.generation
        try:
            await asyncio.sleep(self._seconds(request))
        finally:
            if generation == self.generation:
                self._running -= 1
                self._note_busy(started)
        self.seen.served += 1
        operation = request.header(b'x-operation')
        size = int(request.header(b'x-size') or b'0')
        return (operation + b'|' + request.body).ljust(size, b'.')

    def _seconds(self, request: Request) -> float:
        asked = request.header(b'x-seconds')
        return float(asked) if asked else self.work_seconds

    def _note_start(self, request: Request) -> None:
        self.seen.started += 1
        self._running += 1
        self.seen.peak = max(self.seen.peak, self._running)
        if self._running > self.slots:
            self.seen.over_limit += 1
        if request.header(b'x-service') not in {b'', self.service.encode()}:
            self.seen.wrong_service += 1
        if request.method == 'POST':
            operation = request.header(b'x-operation').decode()
            self.seen.runs[operation] = self.seen.runs.get(operation, 0) + 1

    def _note_busy(self, started: float) -> None:
        now = self._loop.time()
        self._spans.append((started, now))
        horizon = now - WINDOW_SECONDS
        self._spans = [span for span in self._spans if span[1] > horizon]
        used = sum(end - max(begin, horizon) for begin, end in self._spans)
        bearable = self.share() * self.slots * WINDOW_SECONDS
        if self.share() < 1 and used > 2 * bearable + 0.05:
            self.seen.falls += 1
            self.restart()

    async def _events(self, request: Request) -> AsyncGenerator[bytes, None]:
        last = request.header(b'last-event-id')
        number = int(last) + 1 if last else 1
        died = self._died
        while not died.is_set():
            yield b'id: %d\ndata: x\n\n' % number
            number += 1
            await asyncio.sleep(EVENT_SECONDS)
        raise IncompleteResponseError('upstream died')

    def _answered(self, chunks: AsyncGenerator[bytes, None]) -> Answered:
        headers = [(b'x-upstream', self.name.encode())]
        return Answered(200, headers, chunks, AsyncExitStack())


class FakeUpstreamPort:
    """The upstream port of one agent."""

    def __init__(
        self,
        upstream: FakeUpstream,
        lifecycle: UpstreamLifecycle,
        alive: Callable[[], bool],
    ) -> None:
        """Offer requests to ``upstream``."""
        self._upstream = upstream
        self._lifecycle = lifecycle
        self._alive = alive

    async def send(self, request: Request) -> RequestOutcome:
        """Offer a request once."""
        if not self._alive():
            await asyncio.Event().wait()
        answer = await self._upstream.run(request)
        if answer == Refused(RefusalReason.UPSTREAM_DOWN):
            self._lifecycle.failed()
        return answer


async def _one(body: bytes) -> AsyncGenerator[bytes, None]:
    yield body
