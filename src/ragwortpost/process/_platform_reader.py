"""Selects the processes that watch the platform, and watches or reads it.

A few processes of each data centre watch the platform: those of the VM list
whose names have the lowest hashes, so that no election is needed. The others
receive changes by gossip. If neither a process nor its peers have read the
platform recently, it reads the platform itself at random times, at a rate that
keeps the total of all processes within the platform's limit.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

import xxhash
from absl import logging
from result import Err, Ok

from ragwortpost.process._platform_client import PlatformPort, PublishedDocument
from ragwortpost.process._version_gossip import Freshness, Stores
from ragwortpost.version import Snapshot, VersionStore, Vm, VmList, VmState

READERS_PER_DATA_CENTRE: Final = 2
# A process reads the platform itself once the latest known read is this old.
STALE_SECONDS: Final = 3.0
# Reads of one document by all such processes together, on average.
FALLBACK_READS_PER_SECOND: Final = 200
_RETRY_SECONDS: Final = 0.5
_MAX_RETRY_SECONDS: Final = 5.0
_SOURCE: Final = 'platform'

_Store = VersionStore[Snapshot] | VersionStore[VmList]


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def choose_readers(vms: Sequence[Vm], data_centre: str) -> Sequence[str]:
    """Return the names of the processes that watch for a data centre."""
    local = [
        vm.name
        for vm in vms
        if vm.data_centre == data_centre and vm.state is VmState.LIVE
    ]
    local.sort(key=_rank)
    return local[:READERS_PER_DATA_CENTRE]


class PlatformReader:
    """Watches the platform if this process is chosen, else reads at need."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        client: PlatformPort,
        stores: Stores,
        freshness: Freshness,
        rng: random.Random,
    ) -> None:
        """Initialize with the platform client and the stores to update."""
        self._name = name
        self._data_centre = data_centre
        self._client = client
        self._stores = stores
        self._freshness = freshness
        self._rng = rng

    @property
    def is_reader(self) -> bool:
        """Whether this process is chosen to watch for its data centre."""
        vms = tuple(self._stores.vms.current.vms.values())
        return self._name in choose_readers(vms, self._data_centre)

    async def read_all(self) -> None:
        """Read all documents once."""
        await asyncio.gather(
            self._read(self._stores.settings),
            self._read(self._stores.vms),
        )

    async def run(self, store: _Store) -> None:
        """Keep the document of one store up to date until cancelled."""
        retry_seconds = _RETRY_SECONDS
        while True:
            if self.is_reader:
                succeeded = await self._watch(store)
            else:
                succeeded = await self._read_if_stale(store)
            if succeeded:
                retry_seconds = _RETRY_SECONDS
                continue
            await asyncio.sleep(retry_seconds * self._rng.uniform(0.5, 1))
            retry_seconds = min(retry_seconds * 2, _MAX_RETRY_SECONDS)

    async def _read_if_stale(self, store: _Store) -> bool:
        await asyncio.sleep(1)
        if self._freshness.age < STALE_SECONDS:
            return True
        process_count = max(1, len(self._stores.vms.current.vms))
        if self._rng.random() < FALLBACK_READS_PER_SECOND / process_count:
            return await self._read(store)
        return True

    async def _read(self, store: _Store) -> bool:
        match await self._client.read(store.name):
            case Ok(published):
                self._apply(store, published)
                return True
            case Err(problem):
                logging.debug('event=platform_read_failed why=%r', problem)
                return False

    async def _watch(self, store: _Store) -> bool:
        version = store.current.version
        match await self._client.watch(store.name, version):
            case Ok(published):
                return self._apply(store, published)
            case Err(problem):
                logging.info('event=platform_watch_failed why=%r', str(problem))
                return False

    def _apply(
        self, store: _Store, published: PublishedDocument | None
    ) -> bool:
        self._freshness.record()
        if published is None:
            return True
        return store.submit(published.version, published.body, _SOURCE).is_ok()
