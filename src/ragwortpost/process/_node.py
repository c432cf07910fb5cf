"""The parts shared by entry and agent of the QUIC data path.

These are the versioned documents, the gossip with peers, the audit trail and
the metrics.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from functools import partial
from typing import Final, Protocol

from absl import logging
from grpclib.server import Server, Stream

from ragwortpost._clock import Clock
from ragwortpost.process._audit_trail import AuditTrail
from ragwortpost.process._platform_client import PlatformPort
from ragwortpost.process._platform_reader import PlatformReader
from ragwortpost.process._process_metrics import ProcessMetrics
from ragwortpost.process._process_settings import ProcessSettings
from ragwortpost.process._sealed_codec import SealedCodec
from ragwortpost.process._suspension import SuspensionDetector
from ragwortpost.process._version_gossip import (
    ExchangePort,
    Freshness,
    Stores,
    VersionGossip,
)
from ragwortpost.version import Fleet, settings_store, vms_store
from ragwortpost.wire.peer_grpc import AdminBase
from ragwortpost.wire.peer_pb2 import (
    AuditEntry,
    AuditReply,
    AuditRequest,
    StatusField,
    StatusReply,
    StatusRequest,
)

FIRST_SYNC_TIMEOUT_SECONDS: Final = 2.0
TASK_RESTART_SECONDS: Final = 1.0

FleetListener = Callable[[Fleet], None]


class GrpcService(Protocol):
    """A service that a grpclib server can serve."""

    def __mapping__(self) -> Mapping[str, object]:
        """Return the service's method handlers by path."""


class Node:
    """The parts of a process that do not depend on its role."""

    def __init__(
        self,
        clock: Clock,
        settings: ProcessSettings,
        platform: PlatformPort,
        exchange: ExchangePort,
        rng: random.Random,
    ) -> None:
        """Initialize with empty document stores."""
        self.clock: Final = clock
        self.settings: Final = settings
        self.rng: Final = rng
        self.stores: Final = Stores(settings_store(), vms_store())
        self.audit: Final = AuditTrail(clock)
        self.freshness: Final = Freshness(clock)
        self.platform: Final = platform
        self._listeners: list[FleetListener] = []
        self.stores.settings.subscribe(self.audit.record)
        self.stores.vms.subscribe(self.audit.record)
        self.gossip: Final = VersionGossip(
            settings.name,
            self.stores,
            self.freshness,
            exchange,
            rng,
        )
        self.gossip.use_seed_peers(settings.peers)
        self.reader: Final = PlatformReader(
            settings.name,
            settings.data_centre,
            self.platform,
            self.stores,
            self.freshness,
            rng,
        )
        self.suspension: Final = SuspensionDetector(clock, self.sync_versions)
        self.stores.settings.subscribe(self._notify_listeners)
        self.stores.vms.subscribe(self._notify_listeners)

    @property
    def fleet(self) -> Fleet:
        """The current view: the settings and the VM list in force."""
        return Fleet(self.stores.settings.current, self.stores.vms.current)

    def status(self) -> Mapping[str, object]:
        """Return the status fields that every role has."""
        return {
            'name': self.settings.name,
            'role': self.settings.role.value,
            'data_centre': self.settings.data_centre,
            'settings_version': self.stores.settings.current.version,
            'vms_version': self.stores.vms.current.version,
            'platform_age_s': round(self.freshness.age, 1),
            'reader': self.reader.is_reader,
            'wakings': self.suspension.count,
            'platform_calls': self.platform.calls,
        }

    def subscribe(self, listener: FleetListener) -> None:
        """Call ``listener`` for each applied or rejected version."""
        self._listeners.append(listener)

    async def sync_versions(self) -> None:
        """Read the platform and exchange versions with a few peers."""
        await asyncio.gather(
            self.reader.read_all(),
            self.gossip.exchange_with_some(),
        )

    async def start(self, stack: AsyncExitStack) -> None:
        """Fetch a first view and start the tasks that keep it up to date."""
        try:
            async with asyncio.timeout(FIRST_SYNC_TIMEOUT_SECONDS):
                await self.sync_versions()
                # The platform may have served an old version. The VM list that
                # was read with it names peers that know the one in force.
                await self.gossip.exchange_with_some()
        except TimeoutError:
            logging.warning('event=start_without_view')
        for work in (
            self.gossip.run,
            partial(self.reader.run, self.stores.settings),
            partial(self.reader.run, self.stores.vms),
            self.suspension.run,
        ):
            task = asyncio.create_task(keep_running(work))
            stack.callback(task.cancel)

    async def serve(
        self,
        stack: AsyncExitStack,
        services: list[GrpcService],
    ) -> None:
        """Serve peers and operators until ``stack`` closes."""
        server = Server(services, codec=SealedCodec(self.settings.key))
        address = self.settings.address
        await server.start(address.host, address.port)
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)

    def _notify_listeners(self, _: object) -> None:
        for listener in self._listeners:
            listener(self.fleet)


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run a background task and restart it whenever it ends or fails."""
    while True:
        try:
            await work()
        except Exception:
            logging.exception('event=task_failed')
        await asyncio.sleep(TASK_RESTART_SECONDS)


class AdminService(AdminBase):  # type: ignore[misc]
    """The gRPC service through which operators inspect this process."""

    def __init__(
        self,
        audit: AuditTrail,
        status: Callable[[], Mapping[str, object]],
    ) -> None:
        """Initialize with the audit trail and the source of the status."""
        self._audit = audit
        self._status = status
        self._metrics = ProcessMetrics(status)

    async def Status(  # noqa: N802
        self,
        stream: Stream[StatusRequest, StatusReply],
    ) -> None:
        """Return the status of the process as named fields."""
        await stream.recv_message()
        fields = [
            StatusField(name=name, value=str(state))
            for name, state in self._status().items()
        ]
        await stream.send_message(StatusReply(fields=fields))

    async def Metrics(  # noqa: N802
        self,
        stream: Stream[StatusRequest, StatusReply],
    ) -> None:
        """Return the metrics of the process by name."""
        await stream.recv_message()
        fields = [
            StatusField(name=name, value=str(measured))
            for name, measured in self._metrics.collect().items()
        ]
        await stream.send_message(StatusReply(fields=fields))

    async def Audit(  # noqa: N802
        self,
        stream: Stream[AuditRequest, AuditReply],
    ) -> None:
        """Return the audit trail, oldest entry first."""
        await stream.recv_message()
        entries = [
            AuditEntry(
                time=entry.time.isoformat(),
                document=entry.change.document,
                version=entry.change.version,
                outcome=entry.change.outcome.value,
                detail=entry.change.detail,
                source=entry.change.source,
            )
            for entry in self._audit.entries
        ]
        reply = AuditReply(entries=entries, dropped=self._audit.dropped)
        await stream.send_message(reply)
