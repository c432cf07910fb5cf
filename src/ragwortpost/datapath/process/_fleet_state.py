"""A process's view of the fleet, its age, and state derived from it."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import replace
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._view_lag import ViewLag
from ragwortpost.datapath.version import (
    EMPTY_INDEX,
    Changes,
    FleetIndex,
    Record,
    StateVersion,
    TakenOut,
    UpstreamEntry,
    View,
    build_index,
)

# An upstream has lapsed if its record was deleted while not marked as leaving.
# It is kept for this time, if its agent is responsive: records that are lost
# while the store is unavailable are written again within two seconds.
LAPSE_GRACE_SECONDS: Final = 2.5
# A data centre that operators drained stays so for this time after the first
# read of a restored store that lacks its record: operators write records again
# that a restore lost.
DRAINED_GRACE_SECONDS: Final = 10.0
# Maximum age at which the view counts as the store's state. Above the time that
# a change takes to reach all processes.
FRESH_SECONDS: Final = 3.0
# Largest age of an era that is reported to peers.
_MAX_ERA_AGE_SECONDS: Final = 3600.0
_NEVER: Final = float('-inf')

Listener = Callable[[], None]


class FleetState:
    """The view, the index built from it, and the time of confirmation."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Initialize with an empty view."""
        self._clock = clock
        self._log = log
        self._view = View()
        self._fleet = EMPTY_INDEX
        self._confirmed_at = _NEVER
        self._warm_up_ends_at: dict[str, float] = {}
        self._lapsed: dict[str, tuple[float, Record]] = {}
        # Upstreams that the store has not had since its last restore.
        self._kept_upstreams: frozenset[str] = frozenset()
        # Time of the first read of the view's era by any process.
        self._era_started_at = _NEVER
        self._listeners: list[Listener] = []
        self._lag = ViewLag(clock, log)

    @property
    def fleet(self) -> FleetIndex:
        """Index of the view, with lapsed upstreams in their grace period."""
        return self._fleet

    @property
    def version(self) -> StateVersion:
        """Version of the store's state that the view has reached."""
        return self._view.version

    @property
    def era(self) -> int:
        """Era of the store that the view has reached."""
        return self._view.version.era

    @property
    def revision(self) -> int:
        """Store revision that the view has reached in its era."""
        return self._view.version.revision

    @property
    def fingerprint(self) -> int:
        """Hash that differs between views with different documents."""
        return self._view.fingerprint

    @property
    def has_withheld(self) -> bool:
        """Whether only another read can show that an upstream is alive."""
        return self._view.has_withheld

    @property
    def age(self) -> float:
        """Seconds since the view was last confirmed as the store's state."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def lag(self) -> ViewLag:
        """The states of the store that the view has not reached."""
        return self._lag

    @property
    def is_fresh(self) -> bool:
        """Whether a missing record proves that the store has none."""
        return self.age < FRESH_SECONDS

    @property
    def records(self) -> Iterator[Record]:
        """All records of the view, deleted ones included."""
        return self._view.records

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after each change of the index."""
        self._listeners.append(listener)

    def record_report(self, version: StateVersion, source: str) -> None:
        """Record that the store has reached a version, by a peer's report."""
        self._lag.record_report(version, self.version, source)

    def confirm(self, version: StateVersion, age: float) -> None:
        """Record that the store was at a version ``age`` seconds ago.

        A version of an earlier era confirms nothing: the store was restored
        after it.
        """
        if version.era != self.era:
            return
        if 0 < version.revision <= self.revision:
            confirmed_at = self._clock.monotonic() - age
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def changes_since(self, version: StateVersion) -> Changes:
        """Return the changes that a view at a version lacks."""
        changes = self._view.changes_since(version)
        if not changes.complete:
            return changes
        age = self._clock.monotonic() - self._era_started_at
        return replace(changes, era_age=min(age, _MAX_ERA_AGE_SECONDS))

    def merge(self, changes: Changes, source: str) -> bool:
        """Apply a peer's changes; return false if preceding ones are missing.

        Changes of an earlier era add what the sender knew before the restore.
        """
        return self._merge(changes, source, self._view.merge)

    def merge_read(self, changes: Changes) -> bool:
        """Apply what the store returned, with the era of its response."""
        return self._merge(changes, 'store', self._view.merge_read)

    def warm_up_left(self, ident: str) -> float:
        """Return the remaining warm-up of an upstream, in seconds."""
        ends_at = self._warm_up_ends_at.get(ident, _NEVER)
        return max(0, ends_at - self._clock.monotonic())

    def is_lapsed(self, ident: str) -> bool:
        """Return whether an upstream's record is missing in the store.

        It was deleted while the upstream was not leaving, or a restore lost it.
        """
        return ident in self._lapsed or ident in self._kept_upstreams

    def expire(self) -> None:
        """Remove lapsed upstreams and lost records after their grace period."""
        now = self._clock.monotonic()
        self._lag.log_overdue(self.version)
        forgotten = self._forget_lost(now)
        overdue = [
            ident
            for ident, (lapsed, _) in self._lapsed.items()
            if now - lapsed > LAPSE_GRACE_SECONDS
        ]
        for ident in overdue:
            self._lapsed.pop(ident)
        if overdue or forgotten:
            self._rebuild_index()

    def _merge(
        self,
        changes: Changes,
        source: str,
        merge: Callable[[Changes], Sequence[Record] | None],
    ) -> bool:
        replaced = self._replaced_records(changes)
        era = self.era
        merged = merge(changes)
        if merged is None:
            return False
        self._lag.record_progress(self.version)
        now = self._clock.monotonic()
        self._update_era_start(era, changes, now)
        for record in merged:
            previous = replaced.get(record.subject)
            if record.document is None and previous is None:
                # The deletion of a document that was not known.
                continue
            self._track(record, previous, now)
            self._log.write_change(record, self.version, source)
        if self._forget_lost(now) or merged or era != self.era:
            self._rebuild_index()
        return True

    def _update_era_start(self, era: int, changes: Changes, now: float) -> None:
        started_at = now - changes.era_age
        if era != self.era:
            self._era_started_at = started_at
        elif changes.complete and changes.version.era == era:
            self._era_started_at = min(self._era_started_at, started_at)

    def _forget_lost(self, now: float) -> bool:
        """Remove records that were not written again after a restore."""
        if not self._view.kept:
            return False
        forgotten = self._view.forget(
            [
                subject
                for subject in self._view.kept
                if self._is_lost(subject, now)
            ]
        )
        for record in forgotten:
            self._log.write_change(record, self.version, 'expired')
        return bool(forgotten)

    def _is_lost(self, subject: str, now: float) -> bool:
        """Return whether a record's grace period has ended.

        A process that is cut off from the store and its peers can't know
        whether operators have drained a data centre again meanwhile, so that
        period counts only up to the last confirmation.
        """
        record = self._view.get(subject)
        if record is not None and isinstance(record.document, TakenOut):
            confirmed_at = min(now, self._confirmed_at)
            return confirmed_at - self._era_started_at > DRAINED_GRACE_SECONDS
        return now - self._era_started_at > LAPSE_GRACE_SECONDS

    def _replaced_records(self, changes: Changes) -> Mapping[str, Record]:
        """Return the records that changes may replace, by subject."""
        if changes.complete or changes.version.era != self.era:
            return {record.subject: record for record in self._view.records}
        known = (self._view.get(record.subject) for record in changes.records)
        return {record.subject: record for record in known if record}

    def _track(
        self,
        record: Record,
        previous: Record | None,
        now: float,
    ) -> None:
        match record.document:
            case UpstreamEntry(ident=ident, warm_up_left=left):
                self._lapsed.pop(ident, None)
                self._warm_up_ends_at[ident] = now + left
            case None if previous is not None:
                self._track_deletion(record, previous, now)

    def _track_deletion(
        self, record: Record, previous: Record, now: float
    ) -> None:
        # An upstream that was seen gone before a restore does not lapse.
        in_this_era = record.version > StateVersion(self.era, 0)
        match previous.document:
            case UpstreamEntry(ident=ident, leaving=False) if in_this_era:
                self._lapsed[ident] = (now, previous)
            case UpstreamEntry(ident=ident):
                self._warm_up_ends_at.pop(ident, None)

    def _rebuild_index(self) -> None:
        self._kept_upstreams = frozenset(
            document.ident
            for subject in self._view.kept
            if (record := self._view.get(subject))
            and isinstance(document := record.document, UpstreamEntry)
        )
        lapsed = [record for _, record in self._lapsed.values()]
        self._fleet = build_index([*lapsed, *self._view.records], self._fleet)
        for listener in self._listeners:
            listener()
