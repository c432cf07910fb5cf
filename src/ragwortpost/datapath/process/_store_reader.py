"""Decides whether this process reads the platform's store, and reads it.

A few packet-level processes watch the store; all others receive changes by
gossip. There is no election: a process starts to read when too few others
report that they do, after a delay that grows with its rank, and stops when
enough processes ranked before it do.
"""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import Final

import xxhash
from result import Err, Ok, Result

from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._peer_directory import Peer, PeerDirectory
from ragwortpost.datapath.process._store_era import EraVerdict, judge_era
from ragwortpost.datapath.process._store_port import (
    HistoryLost,
    StoreError,
    StorePoint,
    StorePort,
    StoreRead,
)
from ragwortpost.datapath.process._unusable_items import UnusableItems
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.version import (
    ORIGIN,
    Changes,
    StateVersion,
)

# Number of processes that should watch the store at a time.
READER_COUNT: Final = 2
# Maximum time that a watch request waits at the store for a change. Its
# response confirms the view, and that the connection returns anything: one that
# does not must be found before a change that it hides is overdue.
WATCH_SECONDS: Final = 1.0
# A process without a digest for this time no longer counts as a reader, nor as
# an entry that may become one.
READER_TIMEOUT_SECONDS: Final = 1.2
# Additional delay before a process starts to read, for each rank position.
RANK_DELAY_SECONDS: Final = 0.3
# Additional delay of agents, while there are too few readers, before they start
# to read: entries take precedence.
AGENT_DELAY_SECONDS: Final = 1.5
# Pause between a change and the next watch, so that changes in quick succession
# arrive in one response.
COALESCE_SECONDS: Final = 0.2
# A slower link would be saturated by a reader's messages to all others after a
# mass restart, when the store changes several times a second.
SLOW_LINK_MEGABITS: Final = 50.0
# Rank positions added for a process with a slow link.
SLOW_LINK_RANK_PENALTY: Final = 4
# Time until the first full read, and the longest time, while an upstream that
# was seen gone is in a restored store: writes that only show that it is alive
# cause no event. Each further time is twice as long.
MIN_REREAD_SECONDS: Final = 1.0
MAX_REREAD_SECONDS: Final = 15.0
# Interval between checks whether this process should read.
READER_CHECK_SECONDS: Final = 0.2
# Minimum and maximum backoff after a failed call.
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.6
# Maximum backoff of a process that has no view yet.
MAX_NO_VIEW_RETRY_SECONDS: Final = 0.4


def rank(host: str) -> int:
    """Return the sort key of a process as a reader; the lowest goes first."""
    return xxhash.xxh64_intdigest(host.encode())


def is_reader(peer: Peer, now: float) -> bool:
    """Return whether a peer's recent digest reports that it reads."""
    if not peer.digest.reading:
        return False
    return now - peer.last_digest_at < READER_TIMEOUT_SECONDS


def count_entries_before(
    directory: PeerDirectory, host: str, now: float
) -> int:
    """Return the number of live entries ranked before a process."""
    own_rank = rank(host)
    return sum(
        1
        for entry in directory.recent_entries(now, READER_TIMEOUT_SECONDS)
        if rank(entry) < own_rank
    )


class StoreReader:
    """Updates the view from the store while this process is a reader."""

    def __init__(
        self,
        context: NodeContext,
        store: StorePort,
        gossip: ViewGossip,
    ) -> None:
        """Initialize with the store and the gossip that pushes changes."""
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
        self._last_enough_readers_at = context.clock.monotonic()
        self._unusable_items = UnusableItems(context.clock, context.log)
        self._reading = False
        self._needs_full_read = True
        self._retry_delay = MIN_RETRY_SECONDS
        self._reread_delay = MIN_REREAD_SECONDS
        # Monotonic time of the next full read for upstreams seen gone.
        self._reread_at: float | None = None
        self._unusable_era: str | None = None
        # Monotonic time of the last response to a full read or a watch.
        self._answered_at = context.clock.monotonic()

    @property
    def silence(self) -> float:
        """Seconds since the last response to a read, zero if not reading."""
        if not self._reading:
            return 0
        return self._clock.monotonic() - self._answered_at

    @property
    def unusable_items(self) -> int:
        """The number of items that the store held and that name nothing."""
        return self._unusable_items.count

    async def run(self) -> None:
        """Read the store while too few others do, until cancelled."""
        try:
            while True:
                self._update_reading()
                if self._reading:
                    await self._read()
                else:
                    await asyncio.sleep(READER_CHECK_SECONDS)
        except Exception:
            # The view may lack what could not be applied.
            self._needs_full_read = True
            self._set_healthy(healthy=False)
            raise

    def _update_reading(self) -> None:
        now = self._clock.monotonic()
        if len(self._other_readers()) >= READER_COUNT:
            self._last_enough_readers_at = now
            if not self._is_leading_reader():
                self._stop_reading()
            return
        if self._reading:
            return
        if now - self._last_enough_readers_at >= self._takeover_delay(now):
            self._reading = True
            self._answered_at = now
            self._needs_full_read = True
            self._log.write(
                'reading', era=self._state.era, revision=self._state.revision
            )

    def _other_readers(self) -> Sequence[str]:
        now = self._clock.monotonic()
        peers = self._directory.peers
        return [host for host in peers if is_reader(peers[host], now)]

    def _is_leading_reader(self) -> bool:
        """Return whether this process is among the first-ranked readers.

        Only these push changes to all processes: after a mass restart there
        are many more readers for a short time.
        """
        own_rank = rank(self._host)
        before = sum(rank(host) < own_rank for host in self._other_readers())
        return before < READER_COUNT

    def _takeover_delay(self, now: float) -> float:
        rank_position = count_entries_before(self._directory, self._host, now)
        if self._has_slow_link:
            rank_position += SLOW_LINK_RANK_PENALTY
        if not self._is_entry:
            # An agent starts only if too few entries have started by then.
            return AGENT_DELAY_SECONDS + RANK_DELAY_SECONDS * rank_position
        return RANK_DELAY_SECONDS * rank_position

    def _stop_reading(self) -> None:
        if self._reading:
            self._reading = False
            if self._gossip.local_status.reading:
                self._gossip.local_status.reading = False
                self._gossip.broadcast_digest()
            self._log.write(
                'reading_ended',
                era=self._state.era,
                revision=self._state.revision,
            )

    async def _read(self) -> None:
        version = self._state.version
        if self._needs_full_read:
            started = self._clock.monotonic()
            await self._apply(self._store.read_all(stale=False), version)
            self._metrics.store_call_seconds.observe(
                self._clock.monotonic() - started
            )
            return
        wait = self._next_wait()
        await self._apply(self._store.watch(version.revision, wait), version)
        if self._reread_at is not None:
            self._needs_full_read |= self._clock.monotonic() >= self._reread_at

    def _next_wait(self) -> float:
        """Return the time of the next watch; plan a full read if one is due."""
        if not self._state.has_withheld:
            self._reread_delay = MIN_REREAD_SECONDS
            self._reread_at = None
            return WATCH_SECONDS
        now = self._clock.monotonic()
        if self._reread_at is None or now >= self._reread_at:
            self._reread_at = now + self._reread_delay
            self._reread_delay = min(self._reread_delay * 2, MAX_REREAD_SECONDS)
        return min(WATCH_SECONDS, self._reread_at - now)

    async def _apply(
        self,
        call: Awaitable[
            Result[StoreRead, StoreError]
            | Result[StoreRead, StoreError | HistoryLost]
        ],
        requested_at: StateVersion,
    ) -> None:
        match await call:
            case Ok(read):
                self._answered_at = self._clock.monotonic()
                await self._apply_read(read, requested_at)
            case Err(HistoryLost() as lost):
                self._log.write(
                    'history_lost',
                    era=requested_at.era,
                    revision=lost.revision,
                )
                self._needs_full_read = True
            case Err(error):
                await self._back_off(error)

    async def _apply_read(
        self, read: StoreRead, requested_at: StateVersion
    ) -> None:
        verdict, era = self._judge(read.point)
        if verdict is EraVerdict.OLDER:
            await self._back_off(StoreError(f'older era {era}', 0))
            return
        if read.after and (
            verdict is EraVerdict.NEW or requested_at.era != era
        ):
            # Changes after a revision of another era say nothing.
            self._needs_full_read = True
            return
        after = StateVersion(era, read.after) if read.after else ORIGIN
        version = StateVersion(era, read.point.revision)
        records = self._unusable_items.usable_records(read)
        self._merge(Changes(after, version, records))
        if records:
            await asyncio.sleep(COALESCE_SECONDS)

    def _merge(self, changes: Changes) -> None:
        before = self._state.version
        self._state.merge_read(changes)
        self._state.confirm(changes.version, 0)
        self._needs_full_read = False
        self._retry_delay = MIN_RETRY_SECONDS
        self._set_healthy(healthy=True)
        if before.revision and self._state.era > before.era:
            self._reread_delay = MIN_REREAD_SECONDS
            self._reread_at = None
            self._log.write(
                'store_restored',
                era=self._state.era,
                revision=self._state.revision,
                known_era=before.era,
                known_revision=before.revision,
            )
        if self._state.version > before and self._is_leading_reader():
            self._gossip.push_changes(before)

    def _judge(self, point: StorePoint) -> tuple[EraVerdict, int]:
        """Return the verdict on a response's era; log an unusable one once."""
        known = self._state.era
        verdict, era = judge_era(point.era, known)
        if verdict in {EraVerdict.OLDER, EraVerdict.UNUSABLE}:
            if self._unusable_era != point.era:
                self._log.write(
                    'store_era_unusable', given=point.era, era=known
                )
            self._unusable_era = point.era
        else:
            self._unusable_era = None
        return verdict, era

    async def _back_off(self, error: Exception) -> None:
        self._log.write('store_failed', why=repr(error))
        self._set_healthy(healthy=False)
        await asyncio.sleep(self._retry_delay * self._rng.uniform(0.5, 1))
        max_delay = MAX_RETRY_SECONDS
        if not self._state.revision:
            # The process can't serve anything without a view.
            max_delay = MAX_NO_VIEW_RETRY_SECONDS
        self._retry_delay = min(self._retry_delay * 2, max_delay)

    def _set_healthy(self, *, healthy: bool) -> None:
        local_status = self._gossip.local_status
        if local_status.reading is not healthy:
            local_status.reading = healthy
            self._log.write('store_lost' if not healthy else 'store_regained')
            self._gossip.broadcast_digest()
