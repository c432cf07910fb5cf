"""Sends requests to the upstream on loopback and probes its health."""

import asyncio
import math
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, Final

import aiohttp
from multidict import CIMultiDict

from ragwortpost._clock import Clock
from ragwortpost.process._upstream_lifecycle import UpstreamLifecycle
from ragwortpost.request import (
    OUTCOME,
    RETRY_AFTER,
    TIMEOUT_MS,
    Answered,
    Headers,
    IncompleteResponseError,
    RefusalReason,
    Refused,
    Request,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.version import SocketAddress

PROBE_INTERVAL_SECONDS: Final = 0.25
NOT_RUN: Final = 'not-run'
_PROBE_TIMEOUT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_UNAVAILABLE: Final = 503
_CHUNK_BYTES: Final = 16384
# RFC 9110, section 7.6.1, and fields that are set anew for each hop.
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'host',
        b'keep-alive',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        TIMEOUT_MS,
    )
)


class UpstreamClient:
    """An HTTP client of the upstream beside this agent."""

    def __init__(
        self,
        clock: Clock,
        target: SocketAddress,
        lifecycle: UpstreamLifecycle,
    ) -> None:
        """Initialize with the upstream's address; :meth:`open` connects."""
        self._clock = clock
        self._base = f'http://{target}'
        self._lifecycle = lifecycle
        self._session: aiohttp.ClientSession | None = None
        self._probe_session: aiohttp.ClientSession | None = None
        self._probe_connections = 0
        self._probe_keeps_open = False
        # Last-Modified of the health response: when the upstream started.
        self._start_time = ''

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the sessions and probe until ``stack`` closes."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._probe_connected)
        self._probe_session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1),
                trace_configs=[trace],
                timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_SECONDS),
            ),
        )
        self._session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=aiohttp.ClientTimeout(total=None),
                auto_decompress=False,
                skip_auto_headers=('User-Agent', 'Accept', 'Content-Type'),
            ),
        )
        stack.callback(asyncio.create_task(self._probe_forever()).cancel)

    async def send(self, request: Request) -> RequestOutcome:
        """Send a request once and return its outcome."""
        stack = AsyncExitStack()
        try:
            return await self._send(request, stack)
        except aiohttp.ClientConnectorError:
            await stack.aclose()
            self._lifecycle.failed()
            return Refused(RefusalReason.UPSTREAM_DOWN)
        except (TimeoutError, aiohttp.ClientError) as error:
            await stack.aclose()
            if isinstance(error, TimeoutError):
                return Unknown(UnknownReason.DEADLINE)
            return Unknown(UnknownReason.CONNECTION_LOST)
        except BaseException:
            await stack.aclose()
            raise

    async def _send(
        self, request: Request, stack: AsyncExitStack
    ) -> RequestOutcome:
        assert self._session is not None  # noqa: S101
        limit = None if request.is_event_stream else request.deadline
        async with asyncio.timeout_at(limit):
            response = await stack.enter_async_context(
                self._session.request(
                    request.method,
                    self._base + request.path.decode('latin-1'),
                    data=request.body or None,
                    headers=self._request_headers(request),
                    allow_redirects=False,
                ),
            )
            if _is_shed(response):
                await stack.aclose()
                return Refused(RefusalReason.SHED, _retry_after(response))
        headers = _response_headers(response)
        return Answered(response.status, headers, _body_chunks(response), stack)

    def _request_headers(self, request: Request) -> CIMultiDict[str]:
        remaining = request.deadline - self._clock.monotonic()
        headers: CIMultiDict[str] = CIMultiDict()
        for name, text in request.headers:
            if name not in _HOP_BY_HOP:
                headers.add(name.decode('latin-1'), text.decode('latin-1'))
        if not request.is_event_stream:
            headers[TIMEOUT_MS.decode()] = str(
                max(1, math.floor(remaining * _MS_PER_SECOND))
            )
        return headers

    async def _probe_forever(self) -> None:
        while True:
            await self._probe()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self) -> None:
        assert self._probe_session is not None  # noqa: S101
        connections = self._probe_connections
        try:
            async with self._probe_session.get(
                f'{self._base}/health'
            ) as response:
                start_time = response.headers.get('Last-Modified', '')
                keeps_open = response.headers.get('Connection') != 'close'
                await response.read()
        except aiohttp.ClientConnectorError:
            self._probe_keeps_open = False
            self._lifecycle.failed()
            return
        except (aiohttp.ClientError, TimeoutError):
            return
        reconnected = self._probe_connections > connections
        reconnected_unexpectedly = reconnected and self._probe_keeps_open
        replaced = bool(self._start_time) and start_time != self._start_time
        if reconnected_unexpectedly or replaced:
            self._lifecycle.restarted()
        self._start_time = start_time
        self._probe_keeps_open = keeps_open
        self._lifecycle.answered()

    async def _probe_connected(
        self,
        _session: aiohttp.ClientSession,
        _context: SimpleNamespace,
        _created: Any,
    ) -> None:
        self._probe_connections += 1


def _is_shed(response: aiohttp.ClientResponse) -> bool:
    outcome = response.headers.get(OUTCOME.decode(), '')
    return response.status == _UNAVAILABLE and outcome == NOT_RUN


def _retry_after(response: aiohttp.ClientResponse) -> timedelta:
    text = response.headers.get(RETRY_AFTER.decode(), '')
    seconds = int(text) if text.isascii() and text.isdigit() else 1
    return timedelta(seconds=seconds)


def _response_headers(response: aiohttp.ClientResponse) -> Headers:
    return [
        (name.lower(), text)
        for name, text in response.raw_headers
        if name.lower() not in _HOP_BY_HOP
    ]


async def _body_chunks(
    response: aiohttp.ClientResponse,
) -> AsyncGenerator[bytes, None]:
    closed = _connection_end(response)
    try:
        async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
            yield chunk
    except aiohttp.ClientError as error:
        raise IncompleteResponseError(repr(error)) from error
    failure = closed.exception() if closed and closed.done() else None
    if failure is not None:
        raise IncompleteResponseError(repr(failure)) from failure


def _connection_end(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Return the end of the connection, if it ends the body.

    A body without a stated length is complete unless its connection fails (RFC
    9112, section 8). The library reports both alike as the end of the body.
    """
    stated = {'content-length', 'transfer-encoding'}
    if stated.intersection(name.lower() for name in response.headers):
        return None
    connection = response.connection
    if connection is None or connection.protocol is None:
        return None
    return connection.protocol.closed
