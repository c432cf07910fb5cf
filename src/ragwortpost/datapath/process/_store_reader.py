"""Decides which processes read the store, and reads it.

A few processes watch the store; all others hear of changes from peers. Nobody
is elected: a process reads when too few others say that they do, the first in
a fixed order soonest, and stops when enough before it in that order do.
"""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import Final, Protocol

import xxhash
from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._peer_directory import Peer, PeerDirectory
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.version import Changes

# Processes that watch the store at a time.
READER_COUNT: Final = 2
# Seconds that a watch waits at the store.
WATCH_SECONDS: Final = 15.0
# Seconds between two cheap reads that show whether the store is in reach.
PROBE_SECONDS: Final = 1.0
# Seconds of silence after which a reader no longer counts as one.
READER_TIMEOUT_SECONDS: Final = 1.2
# Seconds that each place in the order waits longer before it reads too.
RANK_DELAY_SECONDS: Final = 0.3
# Seconds without enough readers before an agent reads; entries go first.
AGENT_DELAY_SECONDS: Final = 1.5
# Seconds between a change and the next watch, so that changes that follow each
# other closely come in one answer.
COALESCE_SECONDS: Final = 0.2
# A link that a reader's messages to all others would fill after a mass restart,
# when the store changes several times a second.
SLOW_LINK_MEGABITS: Final = 50.0
# Places that a process with such a link goes back in the order of readers.
SLOW_LINK_RANK_PENALTY: Final = 4
# Seconds between two looks at who reads.
ROLE_CHECK_SECONDS: Final = 0.2
# Shortest and longest pause after a call that failed.
RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.6
# Longest pause of a process that has no view at all.
MAX_NO_VIEW_RETRY_SECONDS: Final = 0.4


class StoreError(RagwortpostError):
    """The store could not be read."""

    def __init__(self, cause: str, status: int) -> None:
        """Record why, and the HTTP status if there was one, else zero."""
        super().__init__(cause, status)
        self.cause = cause
        self.status = status


class HistoryLost(RagwortpostError):
    """The store no longer knows what changed since a revision."""

    def __init__(self, revision: int) -> None:
        """Record the revision that was asked for."""
        super().__init__(revision)
        self.revision = revision


class StorePort(Protocol):
    """Reads the store; the adapter of a platform provides it."""

    async def read_all(self, *, stale: bool) -> Result[Changes, StoreError]:
        """Return the whole state; a stale one is cheap and may be old."""

    async def watch(
        self,
        revision: int,
        seconds: float,
    ) -> Result[Changes, StoreError | HistoryLost]:
        """Return what changed after a revision, or nothing after a while."""

    async def probe(self) -> Result[int, StoreError]:
        """Return the revision of a cheap read, which may be outdated."""


def rank(host: str) -> int:
    """Return a process's place in the fixed order of readers."""
    return xxhash.xxh64_intdigest(host.encode())


def is_reader(peer: Peer, now: float) -> bool:
    """Return whether a peer lately said that it reads the store."""
    if not peer.digest.reading:
        return False
    return now - peer.last_digest_at < READER_TIMEOUT_SECONDS


def entries_before(directory: PeerDirectory, host: str, now: float) -> int:
    """Return how many live entries go before a process as readers."""
    own = rank(host)
    return sum(
        1
        for entry in directory.recent_entries(now, READER_TIMEOUT_SECONDS)
        if rank(entry) < own
    )


class StoreReader:
    """Keeps the view up to date from the store while it has to."""

    def __init__(
        self,
        context: NodeContext,
        store: StorePort,
        gossip: ViewGossip,
    ) -> None:
        """Prepare; :meth:`run` does the work and tells peers what it read."""
        self._clock = context.clock
        self._host = context.settings.host
        link = context.settings.link_megabits
        self._has_slow_link = link < SLOW_LINK_MEGABITS
        self._is_entry = context.settings.upstream_side is None
        self._state = context.state
        self._directory = context.directory
        self._rng = context.rng
        self._metrics = context.metrics
        self._log = context.log
        self._store = store
        self._gossip = gossip
        self._last_enough_readers = context.clock.monotonic()
        self._reading = False
        self._needs_full_read = True
        self._retry_delay = RETRY_SECONDS

    async def run(self) -> None:
        """Read the store while too few others do, until cancelled."""
        while True:
            self._update_role()
            if self._reading:
                await self._read()
            else:
                await asyncio.sleep(ROLE_CHECK_SECONDS)

    async def run_probe(self) -> None:
        """Check by cheap reads that the store is in reach."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            if self._reading and not self._needs_full_read:
                await self._probe()

    def _update_role(self) -> None:
        now = self._clock.monotonic()
        if len(self._other_readers()) >= READER_COUNT:
            self._last_enough_readers = now
            if not self._is_leading():
                self._stop_reading()
            return
        if self._reading:
            return
        if now - self._last_enough_readers >= self._takeover_delay(now):
            self._reading = True
            self._needs_full_read = True
            self._log.write('reading', revision=self._state.revision)

    def _other_readers(self) -> Sequence[str]:
        now = self._clock.monotonic()
        peers = self._directory.peers
        return [host for host in peers if is_reader(peers[host], now)]

    def _is_leading(self) -> bool:
        """Return whether this process is among the first of the readers.

        Only those tell all others of changes; after a mass restart there are
        many more readers for a moment.
        """
        own = rank(self._host)
        before = sum(rank(host) < own for host in self._other_readers())
        return before < READER_COUNT

    def _takeover_delay(self, now: float) -> float:
        rank_position = entries_before(self._directory, self._host, now)
        if self._has_slow_link:
            rank_position += SLOW_LINK_RANK_PENALTY
        if not self._is_entry:
            # Agents read when no entry is left that could.
            return AGENT_DELAY_SECONDS + RANK_DELAY_SECONDS * rank_position
        return RANK_DELAY_SECONDS * rank_position

    def _stop_reading(self) -> None:
        if self._reading:
            self._reading = False
            self._set_healthy(healthy=False)
            self._log.write('reading_ended', revision=self._state.revision)

    async def _read(self) -> None:
        if self._needs_full_read:
            await self._apply(self._store.read_all(stale=False))
        else:
            revision = self._state.revision
            await self._apply(self._store.watch(revision, WATCH_SECONDS))

    async def _apply(
        self,
        call: Awaitable[
            Result[Changes, StoreError]
            | Result[Changes, StoreError | HistoryLost]
        ],
    ) -> None:
        match await call:
            case Ok(changes):
                self._merge(changes)
                await asyncio.sleep(COALESCE_SECONDS)
            case Err(HistoryLost() as lost):
                self._log.write('history_lost', revision=lost.revision)
                self._needs_full_read = True
            case Err(problem):
                await self._back_off(problem)

    def _merge(self, changes: Changes) -> None:
        before = self._state.revision
        self._state.merge(changes, 'store')
        self._state.confirm(changes.revision, 0)
        self._needs_full_read = False
        self._retry_delay = RETRY_SECONDS
        self._set_healthy(healthy=True)
        if self._state.revision > before and self._is_leading():
            self._gossip.push_changes(before)

    async def _probe(self) -> None:
        started = self._clock.monotonic()
        probed = await self._store.probe()
        self._metrics.store_call_seconds.observe(
            self._clock.monotonic() - started
        )
        match probed:
            case Ok(revision):
                self._state.confirm(max(1, revision), 0)
                self._set_healthy(healthy=True)
            case Err(problem):
                self._log.write('store_probe_failed', why=repr(problem))
                self._set_healthy(healthy=False)

    async def _back_off(self, problem: Exception) -> None:
        self._log.write('store_failed', why=repr(problem))
        self._set_healthy(healthy=False)
        await asyncio.sleep(self._retry_delay * self._rng.uniform(0.5, 1))
        longest = MAX_RETRY_SECONDS
        if not self._state.revision:
            # Nothing is served before there is a view.
            longest = MAX_NO_VIEW_RETRY_SECONDS
        self._retry_delay = min(self._retry_delay * 2, longest)

    def _set_healthy(self, *, healthy: bool) -> None:
        local_status = self._gossip.local_status
        if local_status.reading is not healthy:
            local_status.reading = healthy
            self._log.write('store_lost' if not healthy else 'store_regained')
            self._gossip.broadcast_digest()
