"""Serves HTTP/3 requests: parses them and writes their responses."""

import asyncio
import math
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AsyncExitStack
from datetime import timedelta
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.connection import (
    CallerConnection,
    IncomingRequest,
    OpenEventStream,
    Response,
)
from ragwortpost.request import (
    IDEMPOTENCY_KEY,
    OUTCOME,
    RETRY_AFTER,
    TIMEOUT_MS,
    Answered,
    Dispatcher,
    EventStream,
    Headers,
    RefusalReason,
    Refused,
    Request,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.version import Policy

RESUME_RETRY_SECONDS: Final = 0.2
KEY_PATH: Final = b'/.well-known/idempotency-key'
_MS_PER_SECOND: Final = 1000
_CREATED: Final = 201
_BAD_GATEWAY: Final = 502
_GATEWAY_TIMEOUT: Final = 504
_REASON: Final = b'request-outcome-reason'
_MAX_TIMEOUT_MS: Final = 3600000


class OutcomeCounters:
    """Counts requests by outcome."""

    def __init__(self) -> None:
        """Initialize with all counts at zero."""
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Totals since the process started."""
        return dict(self._counts)

    def record(self, outcome: RequestOutcome) -> None:
        """Count the outcome of one request."""
        match outcome:
            case Answered():
                name = 'answered'
            case Refused(reason):
                name = f'refused.{reason.value}'
            case Unknown(cause):
                name = f'unknown.{cause.value}'
        self._counts[name] = self._counts.get(name, 0) + 1


class HttpHandler:
    """Serves the requests of all connections of one agent."""

    def __init__(
        self,
        clock: Clock,
        service: str,
        dispatcher: Dispatcher,
        open_source: Callable[[Request], Awaitable[RequestOutcome]],
        policy: Callable[[], Policy],
    ) -> None:
        """Initialize with the service and the calls that serve its requests."""
        self._clock = clock
        self._service = service
        self._dispatcher = dispatcher
        self._open_source = open_source
        self._policy = policy
        self._outcomes = OutcomeCounters()

    @property
    def outcomes(self) -> dict[str, int]:
        """The number of requests by outcome."""
        return self._outcomes.counts

    async def serve(
        self, incoming: IncomingRequest, connection: CallerConnection
    ) -> None:
        """Serve one request and write its response to the connection."""
        request = self._parse_request(incoming)
        if request is not None and request.is_event_stream:
            await self._serve_events(incoming, request, connection)
            return
        if incoming.oversized:
            outcome: RequestOutcome = Refused(RefusalReason.TOO_LARGE)
        elif request is None:
            outcome = Refused(RefusalReason.MALFORMED)
        elif request.path == KEY_PATH:
            await connection.respond(incoming.stream_id, self._key_response())
            return
        else:
            outcome = await self._dispatcher.dispatch(request)
        self._outcomes.record(outcome)
        await self._respond(incoming, outcome, connection)

    async def _serve_events(
        self,
        incoming: IncomingRequest,
        request: Request,
        connection: CallerConnection,
    ) -> None:
        events = EventStream(self._open_source)
        open_stream = OpenEventStream(incoming.headers, events)
        connection.event_streams[incoming.stream_id] = open_stream
        async with AsyncExitStack() as stack:
            stack.callback(
                connection.event_streams.pop, incoming.stream_id, None
            )
            outcome = await self._open_events(events, request, incoming)
            self._outcomes.record(outcome)
            await self._respond(incoming, outcome, connection)

    async def _open_events(
        self,
        events: EventStream,
        request: Request,
        incoming: IncomingRequest,
    ) -> RequestOutcome:
        outcome = await events.start(request)
        while incoming.resumed and not isinstance(outcome, Answered):
            # Another agent already sent the response headers, so this stream
            # can no longer be refused.
            await asyncio.sleep(RESUME_RETRY_SECONDS)
            outcome = await events.start(request)
        return outcome

    async def _respond(
        self,
        incoming: IncomingRequest,
        outcome: RequestOutcome,
        connection: CallerConnection,
    ) -> None:
        stream_id = incoming.stream_id
        match outcome:
            case Answered(status, headers, chunks, stack):
                async with stack:
                    await connection.respond(
                        stream_id,
                        Response(status, headers, chunks),
                        resumed=incoming.resumed,
                    )
            case Refused() | Unknown():
                await connection.respond(stream_id, _error_response(outcome))

    def _key_response(self) -> Response:
        headers = [
            (IDEMPOTENCY_KEY, self._dispatcher.new_key()),
            (b'cache-control', b'no-store'),
        ]
        return Response(_CREATED, headers, _body_chunks(b''))

    def _parse_request(self, incoming: IncomingRequest) -> Request | None:
        header_map = dict(incoming.headers)
        method = header_map.get(b':method')
        path = header_map.get(b':path')
        if not method or not path or not path.startswith(b'/'):
            return None
        headers = [
            (name, text)
            for name, text in incoming.headers
            if not name.startswith(b':')
        ]
        timeout = self._parse_timeout(header_map.get(TIMEOUT_MS, b''))
        return Request(
            service=self._service,
            method=method.decode('latin-1'),
            path=path,
            headers=headers,
            body=bytes(incoming.body),
            deadline=self._clock.monotonic() + timeout,
        )

    def _parse_timeout(self, text: bytes) -> float:
        if text.isdigit() and 0 < int(text) <= _MAX_TIMEOUT_MS:
            return int(text) / _MS_PER_SECOND
        return self._policy().timeout.total_seconds()


def _error_response(outcome: Refused | Unknown) -> Response:
    match outcome:
        case Refused(reason, retry_after):
            headers = _outcome_headers(b'not-run', reason.value, retry_after)
            return Response(reason.status, headers, _body_chunks(b''))
        case Unknown(UnknownReason.DEADLINE as cause, delay):
            headers = _outcome_headers(b'unknown', cause.value, delay)
            return Response(_GATEWAY_TIMEOUT, headers, _body_chunks(b''))
        case Unknown(cause, delay):
            headers = _outcome_headers(b'unknown', cause.value, delay)
            return Response(_BAD_GATEWAY, headers, _body_chunks(b''))


def _outcome_headers(
    outcome: bytes,
    reason: str,
    retry_after: timedelta | None,
) -> Headers:
    headers = [(OUTCOME, outcome), (_REASON, reason.encode())]
    if retry_after is not None:
        seconds = max(1, math.ceil(retry_after.total_seconds()))
        headers.append((RETRY_AFTER, str(seconds).encode()))
    return headers


async def _body_chunks(text: bytes) -> AsyncGenerator[bytes, None]:
    if text:
        yield text
