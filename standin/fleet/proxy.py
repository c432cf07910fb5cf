"""A TCP proxy between one process and the store, with faults of its own."""

import asyncio
from contextlib import AsyncExitStack, suppress
from enum import Enum

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.4


class Passage(Enum):
    """What the proxy does with connections and bytes."""

    OPEN = 'open'
    DELAYED = 'delayed'
    RESET = 'reset'
    # Requests arrive, answers do not.
    ONE_WAY = 'one way'
    SILENT = 'silent'


class Proxy:
    """Passes connections on to one address, as far as it is let."""

    def __init__(self, host: str, port: int) -> None:
        self.target = (host, port)
        self.writers: set[asyncio.StreamWriter] = set()
        self._passage = Passage.OPEN

    @property
    def passage(self) -> Passage:
        """What the proxy does now."""
        return self._passage

    @passage.setter
    def passage(self, passage: Passage) -> None:
        self._passage = passage
        if passage is Passage.RESET:
            for writer in self.writers:
                writer.transport.abort()

    async def serve(self, stack: AsyncExitStack, host: str, port: int) -> None:
        """Take connections until ``stack`` closes."""
        server = await asyncio.start_server(self._take, host, port)
        stack.callback(server.close)

    async def _take(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._passage is Passage.RESET:
            writer.transport.abort()
            return
        async with AsyncExitStack() as stack:
            stack.enter_context(suppress(OSError))
            self._keep(stack, writer)
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            self._keep(stack, far_writer)
            requests = asyncio.create_task(
                self._pump(reader, far_writer, Passage.SILENT),
            )
            stack.callback(requests.cancel)
            await self._pump(far_reader, writer, Passage.ONE_WAY)

    def _keep(
        self,
        stack: AsyncExitStack,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        stack.callback(self.writers.discard, writer)
        stack.callback(writer.close)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        lost_when: Passage,
    ) -> None:
        while received := await reader.read(CHUNK_BYTES):
            if self._passage is Passage.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            if self._passage in {lost_when, Passage.SILENT}:
                continue
            writer.write(received)
            await writer.drain()
