"""Distributes document versions among processes by push-pull gossip.

In each round a process exchanges version numbers with one peer, usually of its
own data centre, and the side that is behind receives the newer documents. A
version that a process has just applied is pushed to a few peers immediately.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

from absl import logging
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ragwortpost._clock import Clock
from ragwortpost.process._peer_channels import PeerChannels
from ragwortpost.version import (
    ChangeOutcome,
    Snapshot,
    SocketAddress,
    VersionChange,
    VersionStore,
    VmList,
)
from ragwortpost.wire.peer_grpc import PeerStub
from ragwortpost.wire.peer_pb2 import (
    Document,
    ExchangeReply,
    ExchangeRequest,
    Load,
)

ROUND_SECONDS: Final = 1.0
PUSH_FANOUT: Final = 3
LOCAL_PEER_SHARE: Final = 0.75
EXCHANGE_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_MAX_AGE_MS: Final = 4294967295
_NEVER: Final = float('-inf')

PeerMessage: TypeAlias = ExchangeRequest | ExchangeReply


@dataclass(frozen=True)
class Stores:
    """The versioned documents that one process holds."""

    # The settings document.
    settings: VersionStore[Snapshot]
    # The platform's VM list.
    vms: VersionStore[VmList]

    def submit(self, document: Document, source: str) -> None:
        """Submit a document received from a peer to the store of its kind."""
        if document.kind == Document.SETTINGS:
            self.settings.submit(document.version, document.body, source)
        elif document.kind == Document.VMS:
            self.vms.submit(document.version, document.body, source)


class ExchangePort(Protocol):
    """Sends exchange requests to peers."""

    async def exchange(
        self,
        peer: SocketAddress,
        request: ExchangeRequest,
    ) -> ExchangeReply:
        """Return the peer's reply.

        Raises :class:`OSError` if there is none and :class:`GRPCError` if the
        peer uses another key.
        """


class GrpcExchange:
    """Sends exchange requests over gRPC."""

    def __init__(self, channels: PeerChannels) -> None:
        """Initialize with the channels, which their owner closes."""
        self._channels = channels

    async def exchange(
        self,
        peer: SocketAddress,
        request: ExchangeRequest,
    ) -> ExchangeReply:
        """Return the peer's reply."""
        reply: ExchangeReply = await PeerStub(
            self._channels.channel(peer),
        ).Exchange(request)
        return reply


class Freshness:
    """Tracks when this process or a peer last read the platform."""

    def __init__(self, clock: Clock) -> None:
        """Initialize as if the platform had never been read."""
        self._clock = clock
        self._last_read = _NEVER

    @property
    def age(self) -> float:
        """Seconds since the latest known read of the platform."""
        return self._clock.monotonic() - self._last_read

    def record(self, age: float = 0) -> None:
        """Record a read of the platform ``age`` seconds ago."""
        self._last_read = max(self._last_read, self._clock.monotonic() - age)


class VersionGossip:
    """Exchanges versions, and agents' free slots, with other processes."""

    def __init__(
        self,
        name: str,
        stores: Stores,
        freshness: Freshness,
        exchange_port: ExchangePort,
        rng: random.Random,
    ) -> None:
        """Initialize without seed peers; peers come from the VM list."""
        self._name = name
        self._stores = stores
        self._freshness = freshness
        self._exchange_port = exchange_port
        self._rng = rng
        self._seed_peers: Sequence[SocketAddress] = ()
        self._pushes: set[asyncio.Task[None]] = set()
        self._load: Callable[[], Load | None] = lambda: None
        self._on_load: Callable[[Load], None] = lambda _: None
        stores.settings.subscribe(self._push_change)
        stores.vms.subscribe(self._push_change)

    def use_seed_peers(self, addresses: Sequence[SocketAddress]) -> None:
        """Set the peers to use while the VM list names no other process."""
        self._seed_peers = addresses

    def share_load(
        self,
        load: Callable[[], Load | None],
        on_load: Callable[[Load], None],
    ) -> None:
        """Send peers the result of ``load`` and pass theirs to ``on_load``."""
        self._load = load
        self._on_load = on_load

    async def run(self) -> None:
        """Exchange versions with one peer per round until cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS * self._rng.uniform(0.5, 1.5))
            for peer in self._choose_peers(1):
                await self.exchange(peer)  # noqa: WPS476

    async def exchange_with_some(self) -> None:
        """Exchange versions with a few random peers concurrently."""
        peers = self._choose_peers(PUSH_FANOUT)
        await asyncio.gather(*(self.exchange(peer) for peer in peers))

    async def exchange(self, peer: SocketAddress) -> None:
        """Exchange versions with one peer; a failure is only logged."""
        try:
            async with asyncio.timeout(EXCHANGE_SECONDS):
                await self._exchange(peer)
        except (GRPCError, StreamTerminatedError, OSError) as error:
            logging.debug('event=exchange_failed peer=%s why=%r', peer, error)

    def reply_to(self, request: ExchangeRequest) -> ExchangeReply:
        """Apply a peer's request and return the documents it is missing."""
        self._apply_message(request, request.sender)
        return ExchangeReply(
            settings_version=self._stores.settings.current.version,
            vms_version=self._stores.vms.current.version,
            documents=self._missing_documents(request),
            load=self._load(),
            platform_age_ms=self._platform_age_ms(),
        )

    async def _exchange(self, peer: SocketAddress) -> None:
        reply = await self._exchange_port.exchange(
            peer, self._build_request([])
        )
        self._apply_message(reply, 'peer')
        missing = self._missing_documents(reply)
        if missing:
            await self._exchange_port.exchange(
                peer, self._build_request(missing)
            )

    def _build_request(self, documents: Sequence[Document]) -> ExchangeRequest:
        return ExchangeRequest(
            sender=self._name,
            settings_version=self._stores.settings.current.version,
            vms_version=self._stores.vms.current.version,
            documents=documents,
            load=self._load(),
            platform_age_ms=self._platform_age_ms(),
        )

    def _apply_message(self, message: PeerMessage, source: str) -> None:
        for document in message.documents:
            self._stores.submit(document, source)
        if message.platform_age_ms < _MAX_AGE_MS:
            self._freshness.record(message.platform_age_ms / _MS_PER_SECOND)
        if message.HasField('load'):
            self._on_load(message.load)

    def _missing_documents(self, message: PeerMessage) -> list[Document]:
        documents = (
            (
                Document.SETTINGS,
                self._stores.settings,
                message.settings_version,
            ),
            (Document.VMS, self._stores.vms, message.vms_version),
        )
        return [
            Document(
                kind=kind,
                version=store.current.version,
                body=store.current.body,
            )
            for kind, store, peer_version in documents
            if peer_version < store.current.version
        ]

    def _platform_age_ms(self) -> int:
        return int(min(self._freshness.age * _MS_PER_SECOND, _MAX_AGE_MS))

    def _push_change(self, change: VersionChange) -> None:
        if change.outcome is not ChangeOutcome.APPLIED:
            return
        push = asyncio.get_running_loop().create_task(self.exchange_with_some())
        self._pushes.add(push)
        push.add_done_callback(self._pushes.discard)

    def _choose_peers(self, count: int) -> Sequence[SocketAddress]:
        vms = self._stores.vms.current.vms
        own = vms.get(self._name)
        others = [vm for vm in vms.values() if vm.name != self._name]
        if not others:
            return self._rng.sample(
                self._seed_peers, min(count, len(self._seed_peers))
            )
        local = [
            vm.address
            for vm in others
            if own is not None and vm.data_centre == own.data_centre
        ]
        remote = [vm.address for vm in others if vm.address not in set(local)]
        return self._sample_peers(local, remote, count)

    def _sample_peers(
        self,
        local: Sequence[SocketAddress],
        remote: Sequence[SocketAddress],
        count: int,
    ) -> Sequence[SocketAddress]:
        chosen: list[SocketAddress] = []
        for _ in range(count):
            take_local = self._rng.random() < LOCAL_PEER_SHARE
            pool = (local or remote) if take_local else (remote or local)
            chosen.append(self._rng.choice(pool))
        return list(dict.fromkeys(chosen))
