"""Chooses the upstream that runs a request.

A request runs at this agent's upstream if that has a free slot. Otherwise it is
handed off to a peer of the same service, which may queue it. If a peer refuses
it, the next is tried, at most ``MAX_PEERS_TRIED``; then it waits in this
agent's queue. It is refused if the queue is full, its wait times out or no
upstream accepts it. An upstream that refuses a request has not run it; after a
lost connection only an idempotent request is tried at another upstream.
"""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Final, Protocol

from result import Err, Ok

from ragwortpost.request._outcome import (
    Answered,
    RefusalReason,
    Refused,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.request._peer_selector import PeerSelector
from ragwortpost.request._request import Request
from ragwortpost.request._slots import Slots
from ragwortpost.version import Fleet, ShortId, Upstream

MAX_PEERS_TRIED: Final = 3


class UpstreamPort(Protocol):
    """Sends requests to the upstream beside this agent."""

    async def send(self, request: Request) -> RequestOutcome:
        """Send a request to the upstream and return its outcome."""


class PeerPort(Protocol):
    """Sends requests to the agents of other upstreams."""

    async def serve(self, peer: Upstream, request: Request) -> RequestOutcome:
        """Hand off a request to a peer, which runs it at its upstream."""

    async def send_to_owner(
        self, owner: Upstream, request: Request
    ) -> RequestOutcome:
        """Send a keyed request to the agent that owns the key."""


class Availability(Protocol):
    """Whether the upstream beside this agent accepts new work."""

    @property
    def accepts_work(self) -> bool:
        """Whether a request may be sent to the upstream now."""

    @property
    def refusal(self) -> RefusalReason:
        """Why requests are refused while no work is accepted."""

    async def wait_until_resynced(self) -> None:
        """Wait until the versions are resynced after a suspension.

        The wait is bounded: it also ends when the resync has timed out.
        """


@dataclass(frozen=True)
class Ports:
    """Interfaces to the upstream and the peers."""

    # The upstream beside this agent.
    upstream: UpstreamPort
    # The agents of the other upstreams.
    peers: PeerPort
    # Whether the upstream accepts work.
    availability: Availability


class RequestRouter:
    """Routes the requests of one agent."""

    def __init__(
        self,
        ident: ShortId,
        slots: Slots,
        ports: Ports,
        selector: PeerSelector,
    ) -> None:
        """Initialize with an empty fleet."""
        self._ident = ident
        self._slots = slots
        self._ports = ports
        self._selector = selector
        self._fleet = Fleet()

    def apply(self, fleet: Fleet) -> None:
        """Replace the fleet that requests are routed over."""
        self._fleet = fleet
        names = [peer.name for peer in fleet.snapshot.upstreams.values()]
        self._selector.remove_absent(names)

    async def route(self, request: Request) -> RequestOutcome:
        """Run a request here or at a peer and return its outcome."""
        local_outcome: RequestOutcome = Refused(
            self._ports.availability.refusal
        )
        tried_locally = self._prefers_local(request)
        if tried_locally:
            local_outcome = await self._run_locally(request)
            if not _may_retry_elsewhere(request, local_outcome):
                return local_outcome
        if request.handed_off:
            return local_outcome
        peer_outcome = await self._run_at_peer(request)
        if peer_outcome is not None:
            if not _may_retry_elsewhere(request, peer_outcome):
                return peer_outcome
            local_outcome = peer_outcome
        if self._ports.availability.accepts_work and not tried_locally:
            return _combine(local_outcome, await self._run_locally(request))
        return local_outcome

    async def _run_at_peer(self, request: Request) -> RequestOutcome | None:
        """Return the first final outcome of a peer.

        If there is none, returns the outcome of a peer that lost its response,
        or none if all peers refused the request.
        """
        lost: RequestOutcome | None = None
        tried: set[str] = set()
        peers = self._other_upstreams(request.service)
        peer = self._selector.select(peers, tried)
        while peer is not None and len(tried) < MAX_PEERS_TRIED:
            tried.add(peer.name)
            self._selector.count_used_slot(peer.name)
            outcome = await self._ports.peers.serve(peer, request)
            if not _may_retry_elsewhere(request, outcome):
                return outcome
            if not isinstance(outcome, Refused):
                lost = outcome
            peer = self._selector.select(peers, tried)
        return lost

    def _prefers_local(self, request: Request) -> bool:
        if not self._ports.availability.accepts_work:
            return False
        return request.handed_off or self._slots.free > 0

    async def _run_locally(self, request: Request) -> RequestOutcome:
        match await self._slots.acquire(request.deadline):
            case Err(reason):
                return Refused(reason)
            case Ok():
                return await self._send_to_upstream(request)

    async def _send_to_upstream(self, request: Request) -> RequestOutcome:
        async with AsyncExitStack() as stack:
            stack.enter_context(self._slots.released_on_exit())
            if not self._ports.availability.accepts_work:
                return Refused(self._ports.availability.refusal)
            outcome = await self._ports.upstream.send(request)
            if not isinstance(outcome, Answered):
                return outcome
            stack.push_async_exit(outcome.stack)
            return replace(outcome, stack=stack.pop_all())

    def _other_upstreams(self, service: str) -> Sequence[Upstream]:
        return self._fleet.other_accepting_upstreams(service, self._ident)


def _combine(earlier: RequestOutcome, later: RequestOutcome) -> RequestOutcome:
    """Return the outcome of a request that was sent to several upstreams.

    A refusal of one upstream does not show that another, which lost its
    response, has not run the request.
    """
    if isinstance(earlier, Unknown) and isinstance(later, Refused):
        return earlier
    return later


def _may_retry_elsewhere(request: Request, outcome: RequestOutcome) -> bool:
    """Whether a request may be sent to another upstream after an outcome."""
    match outcome:
        case Refused():
            return True
        case Unknown(UnknownReason.CONNECTION_LOST):
            return request.idempotent
        case _:
            return False
