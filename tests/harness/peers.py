"""In-memory substitutes for the gRPC calls between processes.

Calls across a partition and calls to a killed process fail.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Protocol

from ragwortpost.process import VersionGossip
from ragwortpost.process._connection_transfers import AdoptOutcome
from ragwortpost.process._peer_rpc import PeerServicePorts
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
from ragwortpost.version import SocketAddress, Upstream
from ragwortpost.wire.peer_pb2 import ExchangeReply, ExchangeRequest, MovedFlow
from tests.harness.network import Host, Network

# Time after which a request to an agent that can't be reached is refused.
CONNECT_SECONDS = 0.5


class PeerProcess(Protocol):
    """The parts of a process that calls of other processes use."""

    host: Host
    gossip: VersionGossip
    peer_service_ports: PeerServicePorts | None


@dataclass
class GossipTraffic:
    """The amount of gossip between processes."""

    # Bytes sent within a data centre.
    near_bytes: int = 0
    # Bytes sent between data centres.
    far_bytes: int = 0
    # Number of exchanges.
    exchanges: int = 0

    def record(self, sender: Host, receiver: Host, size: int) -> None:
        """Add the bytes of a request and its reply."""
        if sender.data_centre == receiver.data_centre:
            self.near_bytes += size
        else:
            self.far_bytes += size


@dataclass
class PeerNetwork:
    """Finds the process at an address, if it can be reached."""

    # The network whose partitions and delays apply to the calls.
    network: Network
    # Processes by address.
    peers: dict[SocketAddress, PeerProcess] = field(default_factory=dict)
    # Total gossip of all processes.
    traffic: GossipTraffic = field(default_factory=GossipTraffic)
    # Names of agents whose next reply to a peer is lost.
    drop_next_reply_of: set[str] = field(default_factory=set)

    def find_reachable(
        self, sender: Host, address: SocketAddress
    ) -> PeerProcess | None:
        """Return the process at an address, or none if it can't be reached."""
        peer = self.peers.get(address)
        if peer is None or not peer.host.alive or not sender.alive:
            return None
        if {peer.host.name, sender.name} & self.network.control_partitioned:
            return None
        return peer if self.network.are_connected(sender, peer.host) else None


class MemoryExchange:
    """The gossip calls of one process."""

    def __init__(self, peers: PeerNetwork, host: Host) -> None:
        """Initialize with the network of peers and the calling host."""
        self._peers = peers
        self._host = host

    async def exchange(
        self,
        peer: SocketAddress,
        request: ExchangeRequest,
    ) -> ExchangeReply:
        """Send an exchange request and return the peer's reply."""
        target = self._peers.find_reachable(self._host, peer)
        await asyncio.sleep(2 * self._peers.network.delay)
        if target is None:
            raise ConnectionRefusedError
        while target.host.suspended or self._host.suspended:
            await asyncio.sleep(0.05)
        reply = target.gossip.reply_to(request)
        traffic = self._peers.traffic
        traffic.exchanges += 1
        traffic.record(
            self._host, target.host, request.ByteSize() + reply.ByteSize()
        )
        return reply


class MemoryPeers:
    """The calls of one agent to other agents."""

    def __init__(
        self,
        peers: PeerNetwork,
        host: Host,
        record_free_slots: Callable[[str, int], None],
    ) -> None:
        """Initialize with the network of peers and the calling host.

        ``record_free_slots`` is called with a peer's name and its free slots
        after each reply.
        """
        self._peers = peers
        self._host = host
        self._record_free_slots = record_free_slots

    async def serve(self, peer: Upstream, request: Request) -> RequestOutcome:
        """Send a request to a peer that runs it at its own upstream."""
        return await self._call(peer, replace(request, handed_off=True))

    async def send_to_owner(
        self, owner: Upstream, request: Request
    ) -> RequestOutcome:
        """Send a keyed request to the agent that owns the key."""
        match await self._call(owner, request):
            case Refused(RefusalReason.PEER_UNREACHABLE):
                reason = UnknownReason.OWNER_UNREACHABLE
                return Unknown(reason, timedelta(seconds=1))
            case outcome:
                return outcome

    async def adopt(self, peer: Upstream, state: MovedFlow) -> AdoptOutcome:
        """Send a connection's state to a peer, which may continue it."""
        await asyncio.sleep(2 * self._peers.network.delay)
        target = self._peers.find_reachable(self._host, peer.address)
        if target is None or target.peer_service_ports is None:
            return AdoptOutcome.REFUSED
        accepted = target.peer_service_ports.adopt(
            MovedFlow.FromString(state.SerializeToString())
        )
        return AdoptOutcome.ACCEPTED if accepted else AdoptOutcome.REFUSED

    async def _call(self, peer: Upstream, request: Request) -> RequestOutcome:
        target = self._peers.find_reachable(self._host, peer.address)
        if target is None or target.peer_service_ports is None:
            await asyncio.sleep(CONNECT_SECONDS)
            return Refused(RefusalReason.PEER_UNREACHABLE)
        await asyncio.sleep(self._peers.network.delay)
        serve_task = asyncio.ensure_future(
            _serve(target.peer_service_ports, request)
        )
        try:
            while not serve_task.done():
                await asyncio.wait((serve_task,), timeout=0.02)
                if self._is_unreachable(peer):
                    return Unknown(UnknownReason.CONNECTION_LOST)
        finally:
            serve_task.cancel()
        await asyncio.sleep(self._peers.network.delay)
        if peer.name in self._peers.drop_next_reply_of:
            self._peers.drop_next_reply_of.discard(peer.name)
            return Unknown(UnknownReason.CONNECTION_LOST)
        self._record_free_slots(
            peer.name, target.peer_service_ports.free_slots()
        )
        outcome: RequestOutcome = serve_task.result()
        if isinstance(outcome, Answered):
            return replace(
                outcome,
                chunks=self._chunks_until_unreachable(peer, outcome.chunks),
            )
        return outcome

    def _is_unreachable(self, peer: Upstream) -> bool:
        return self._peers.find_reachable(self._host, peer.address) is None

    async def _chunks_until_unreachable(
        self,
        peer: Upstream,
        chunks: AsyncGenerator[bytes, None],
    ) -> AsyncGenerator[bytes, None]:
        async for chunk in chunks:
            if self._is_unreachable(peer):
                raise IncompleteResponseError('peer is unreachable')
            yield chunk


async def _serve(ports: PeerServicePorts, request: Request) -> RequestOutcome:
    if request.is_event_stream:
        outcome: RequestOutcome = await ports.open_stream(request)
        return outcome
    return await ports.dispatcher.dispatch(request)
