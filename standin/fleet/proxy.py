"""TCP proxy between a process and the store, with fault injection."""

import asyncio
from contextlib import AsyncExitStack, suppress
from enum import Enum

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.4


class ProxyMode(Enum):
    """How the proxy treats connections and bytes."""

    OPEN = 'open'
    # Each chunk is forwarded after ``DELAY_SECONDS``.
    DELAYED = 'delayed'
    # Open and new connections are aborted.
    RESET = 'reset'
    # Requests are forwarded, responses are discarded.
    ONE_WAY = 'one way'
    # Nothing is forwarded.
    UNRESPONSIVE = 'silent'


class Proxy:
    """Forwards connections to an address, subject to its mode."""

    def __init__(self, host: str, port: int) -> None:
        self.target = (host, port)
        self.writers: set[asyncio.StreamWriter] = set()
        self._mode = ProxyMode.OPEN
        self._silenced: set[asyncio.StreamWriter] = set()

    @property
    def mode(self) -> ProxyMode:
        """The current mode."""
        return self._mode

    @mode.setter
    def mode(self, mode: ProxyMode) -> None:
        self._mode = mode
        if mode is ProxyMode.RESET:
            for writer in self.writers:
                writer.transport.abort()

    def silence_connections(self) -> None:
        """Forward nothing more on open connections; new ones work."""
        self._silenced.update(self.writers)

    async def serve(self, stack: AsyncExitStack, host: str, port: int) -> None:
        """Accept connections until ``stack`` is closed."""
        server = await asyncio.start_server(self._proxy_connection, host, port)
        stack.callback(server.close)

    async def _proxy_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        async with AsyncExitStack() as stack:
            stack.enter_context(suppress(OSError))
            self._track(stack, writer)
            store_reader, store_writer = await asyncio.open_connection(
                *self.target
            )
            self._track(stack, store_writer)
            requests = asyncio.create_task(
                self._pump(reader, store_writer, ProxyMode.UNRESPONSIVE),
            )
            stack.callback(requests.cancel)
            await self._pump(store_reader, writer, ProxyMode.ONE_WAY)

    def _track(
        self,
        stack: AsyncExitStack,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        stack.callback(self.writers.discard, writer)
        stack.callback(self._silenced.discard, writer)
        stack.callback(writer.close)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropped_in: ProxyMode,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self._mode is ProxyMode.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            if self._mode in {dropped_in, ProxyMode.UNRESPONSIVE}:
                continue
            if writer in self._silenced:
                continue
            writer.write(chunk)
            await writer.drain()
