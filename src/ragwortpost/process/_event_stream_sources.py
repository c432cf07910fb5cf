"""Opens event streams at this agent's upstream or through a peer."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import replace

from ragwortpost.request import (
    Answered,
    PeerSelector,
    Ports,
    Refused,
    Request,
    RequestOutcome,
)
from ragwortpost.version import Fleet, ShortId


class EventStreamSources:
    """Opens the sources of the event streams sent to an agent's callers.

    A source is an upstream's response from which events are read. A caller's
    stream outlives its sources.
    """

    def __init__(
        self,
        ident: ShortId,
        ports: Ports,
        selector: PeerSelector,
    ) -> None:
        """Initialize with an empty view; :meth:`apply` replaces it."""
        self._ident = ident
        self._ports = ports
        self._selector = selector
        self._fleet = Fleet()
        self._leaving = asyncio.Event()

    def apply(self, fleet: Fleet) -> None:
        """Replace the view from which peers are selected."""
        self._fleet = fleet

    def leave(self) -> None:
        """End the streams of this upstream, so that they reopen at peers."""
        self._leaving.set()

    def rejoin(self) -> None:
        """Allow streams at this agent's upstream again."""
        self._leaving.clear()

    async def open(self, request: Request) -> RequestOutcome:
        """Open a source here, or at a peer if this upstream refuses it."""
        await self._ports.availability.wait_until_resynced()
        local_outcome = await self.open_here(request)
        if not isinstance(local_outcome, Refused):
            return local_outcome
        return await self._open_at_peer(request) or local_outcome

    async def open_here(self, request: Request) -> RequestOutcome:
        """Open a source at this agent's own upstream."""
        availability = self._ports.availability
        if not availability.accepts_work:
            return Refused(availability.refusal)
        outcome = await self._ports.upstream.send(request)
        if isinstance(outcome, Answered):
            return replace(outcome, chunks=self._until_leaving(outcome.chunks))
        return outcome

    async def _open_at_peer(self, request: Request) -> RequestOutcome | None:
        """Return a peer's answer.

        If there is none, returns the outcome of a peer that lost its response,
        or none if all peers refused the request.
        """
        lost: RequestOutcome | None = None
        tried: set[str] = set()
        peers = self._fleet.other_accepting_upstreams(
            request.service, self._ident
        )
        peer = self._selector.select(peers, tried)
        while peer is not None:
            tried.add(peer.name)
            outcome = await self._ports.peers.serve(peer, request)
            if isinstance(outcome, Answered):
                return outcome
            if not isinstance(outcome, Refused):
                lost = outcome
            peer = self._selector.select(peers, tried)
        return lost

    async def _until_leaving(
        self,
        chunks: AsyncGenerator[bytes, None],
    ) -> AsyncGenerator[bytes, None]:
        leaving = asyncio.ensure_future(self._leaving.wait())
        next_chunk = None
        try:
            while not leaving.done():
                next_chunk = asyncio.ensure_future(anext(chunks, b''))
                await asyncio.wait(
                    (leaving, next_chunk),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not next_chunk.done() or not next_chunk.result():
                    return
                yield next_chunk.result()
        finally:
            leaving.cancel()
            await _cancel_and_wait(next_chunk)


async def _cancel_and_wait(next_chunk: asyncio.Future[bytes] | None) -> None:
    if next_chunk is not None:
        next_chunk.cancel()
        await asyncio.gather(next_chunk, return_exceptions=True)
