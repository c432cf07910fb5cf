"""Stand-in for an upstream: an HTTP server with slots and a warm-up phase.

While it warms up it has only a share of its capacity. Load is the busy time in
a sliding window; overload during the warm-up restarts it, as a crash would. The
upstream can be set to shed requests or to run them more slowly, and it cancels
requests whose connection was closed.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass, field
from email.utils import formatdate

from aiohttp import web

WINDOW_SECONDS = 1.0
# Busy time above this multiple of the available capacity, plus 0.2 s, is an
# overload.
OVERLOAD_FACTOR = 2.0


@dataclass
class UpstreamCounters:
    """Counters of an upstream, served at ``/seen``."""

    # Runs of each non-idempotent operation.
    runs: dict[str, int] = field(default_factory=dict)
    # Requests meant for another service, by their ``X-Service`` header.
    wrong_service: int = 0
    # Requests that started while all slots were taken.
    over_limit: int = 0
    # Overloads during the warm-up.
    falls: int = 0
    # Requests answered.
    served: int = 0
    # Requests cancelled before their response.
    cancelled: int = 0
    # Event streams opened.
    streams: int = 0


class Upstream:
    """State and HTTP endpoints of an upstream."""

    def __init__(
        self, service: str, name: str, slots: int, warm_up_seconds: float
    ) -> None:
        """Initialize at the start of the warm-up."""
        self.service = service
        self.name = name
        self.slots = slots
        self.warm_up_seconds = warm_up_seconds
        self.counters = UpstreamCounters()
        self.running = 0
        self.started = time.monotonic()
        self.last_modified = formatdate(time.time(), usegmt=True)
        # Start and end times of the recent requests.
        self.busy_spans: list[tuple[float, float]] = []
        self.is_shedding = False
        self.slowdown_factor = 1.0

    def application(self) -> web.Application:
        """Return the service as an aiohttp application."""
        application = web.Application(client_max_size=4194304)
        application.router.add_get('/health', self._get_health)
        application.router.add_get('/seen', self._get_counters)
        application.router.add_post('/control/shed/{flag}', self._set_shedding)
        application.router.add_post(
            '/control/slow/{factor}', self._set_slowdown
        )
        application.router.add_get('/queue/{topic}', self._stream_events)
        application.router.add_route('*', '/{path:.*}', self._serve_request)
        return application

    def capacity_share(self) -> float:
        """Return the available share of the capacity."""
        if self.warm_up_seconds <= 0:
            return 1
        age = time.monotonic() - self.started
        return min(1, 0.1 + 0.9 * age / self.warm_up_seconds)

    async def _get_health(self, _: web.Request) -> web.Response:
        headers = {'Last-Modified': self.last_modified}
        return web.Response(text='ok', headers=headers)

    async def _get_counters(self, _: web.Request) -> web.Response:
        return web.Response(text=json.dumps(vars(self.counters)))

    async def _set_shedding(self, request: web.Request) -> web.Response:
        self.is_shedding = request.match_info['flag'] == 'on'
        return web.Response()

    async def _set_slowdown(self, request: web.Request) -> web.Response:
        self.slowdown_factor = float(request.match_info['factor'])
        return web.Response()

    async def _serve_request(self, request: web.Request) -> web.Response:
        if self.is_shedding:
            headers = {'Request-Outcome': 'not-run', 'Retry-After': '1'}
            return web.Response(status=503, headers=headers)
        if request.headers.get('X-Service', self.service) != self.service:
            self.counters.wrong_service += 1
        self.running += 1
        started = time.monotonic()
        if self.running > self.slots:
            self.counters.over_limit += 1
        try:
            return await self._run_request(request)
        except asyncio.CancelledError:
            self.counters.cancelled += 1
            raise
        finally:
            self.running -= 1
            self._record_busy_time(started)

    async def _run_request(self, request: web.Request) -> web.Response:
        body = await request.read()
        operation = request.headers.get('X-Operation', '')
        if request.method == 'POST':
            self.counters.runs[operation] = (
                self.counters.runs.get(operation, 0) + 1
            )
        seconds = (
            float(request.query.get('seconds', '0.02')) * self.slowdown_factor
        )
        await asyncio.sleep(seconds)
        self.counters.served += 1
        size = int(request.query.get('bytes', '0'))
        headers = {'X-Operation': operation, 'X-Upstream': self.name}
        response_body = operation.encode() + b'|' + body
        return web.Response(
            body=response_body.ljust(size, b'.'), headers=headers
        )

    def _record_busy_time(self, started: float) -> None:
        now = time.monotonic()
        self.busy_spans.append((started, now))
        window_start = now - WINDOW_SECONDS
        self.busy_spans = [
            span for span in self.busy_spans if span[1] > window_start
        ]
        busy_seconds = sum(
            end - max(begin, window_start) for begin, end in self.busy_spans
        )
        allowed_seconds = self.capacity_share() * self.slots * WINDOW_SECONDS
        if (
            self.capacity_share() < 1
            and busy_seconds > allowed_seconds * OVERLOAD_FACTOR + 0.2
        ):
            self.counters.falls += 1
            self.started = now
            self.last_modified = formatdate(time.time(), usegmt=True)

    async def _stream_events(self, request: web.Request) -> web.StreamResponse:
        self.counters.streams += 1
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        last_event_id = request.headers.get('Last-Event-ID', '')
        number = int(last_event_id) + 1 if last_event_id.isdigit() else 1
        period_seconds = float(request.query.get('period', '0.2'))
        while True:
            event = f'id: {number}\ndata: {request.match_info["topic"]} {number}\n\n'
            await response.write(event.encode())
            number += 1
            await asyncio.sleep(period_seconds)


async def serve(upstream: Upstream, host: str, port: int) -> None:
    """Serve until cancelled."""
    runner = web.AppRunner(
        upstream.application(),
        access_log=None,
        handler_cancellation=True,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, shutdown_timeout=0.1).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--service', required=True)
    parser.add_argument('--name', required=True)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--slots', type=int, default=2)
    parser.add_argument('--cold', type=float, default=0)
    options = parser.parse_args()
    upstream = Upstream(
        options.service, options.name, options.slots, options.cold
    )
    asyncio.run(serve(upstream, options.host, options.port))


if __name__ == '__main__':
    main()
