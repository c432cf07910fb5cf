"""A process's view of the fleet, its age, and state derived from it."""

from collections.abc import Callable, Iterator, Mapping
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.version import (
    EMPTY_INDEX,
    Changes,
    FleetIndex,
    Record,
    UpstreamEntry,
    View,
    build_index,
)

# An upstream has lapsed if its record was deleted while not marked as leaving.
# It is kept for this time, if its agent is responsive: records that are lost
# while the store is unavailable are written again within two seconds.
LAPSE_GRACE_SECONDS: Final = 2.5
# Maximum age at which the view counts as the store's state. Above the time that
# a change takes to reach all processes.
FRESH_SECONDS: Final = 3.0
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
        self._listeners: list[Listener] = []

    @property
    def fleet(self) -> FleetIndex:
        """Index of the view, with lapsed upstreams in their grace period."""
        return self._fleet

    @property
    def revision(self) -> int:
        """Store revision that the view has reached."""
        return self._view.revision

    @property
    def age(self) -> float:
        """Seconds since the view was last confirmed as the store's state."""
        return self._clock.monotonic() - self._confirmed_at

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

    def confirm(self, revision: int, age: float) -> None:
        """Record that the store was at a revision ``age`` seconds ago."""
        if 0 < revision <= self._view.revision:
            confirmed_at = self._clock.monotonic() - age
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def changes_since(self, revision: int) -> Changes:
        """Return the changes that a view at a revision lacks."""
        return self._view.changes_since(revision)

    def merge(self, changes: Changes, source: str) -> bool:
        """Apply changes; return false if preceding ones are missing."""
        replaced = self._replaced_records(changes)
        merged = self._view.merge(changes)
        if merged is None:
            return False
        if not merged:
            return True
        now = self._clock.monotonic()
        for record in merged:
            self._track(record, replaced.get(record.subject), now)
            self._log.write_change(record, self._view.revision, source)
        self._rebuild_index()
        return True

    def warm_up_left(self, ident: str) -> float:
        """Return the remaining warm-up of an upstream, in seconds."""
        ends_at = self._warm_up_ends_at.get(ident, _NEVER)
        return max(0, ends_at - self._clock.monotonic())

    def is_lapsed(self, ident: str) -> bool:
        """Return whether an upstream's record was deleted while not leaving."""
        return ident in self._lapsed

    def expire(self) -> None:
        """Remove lapsed upstreams after their grace period."""
        now = self._clock.monotonic()
        overdue = [
            ident
            for ident, (lapsed, _) in self._lapsed.items()
            if now - lapsed > LAPSE_GRACE_SECONDS
        ]
        for ident in overdue:
            self._lapsed.pop(ident)
        if overdue:
            self._rebuild_index()

    def _replaced_records(self, changes: Changes) -> Mapping[str, Record]:
        """Return the records that changes may replace, by subject."""
        if changes.complete:
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
                self._track_deletion(previous, now)

    def _track_deletion(self, previous: Record, now: float) -> None:
        match previous.document:
            case UpstreamEntry(ident=ident, leaving=False):
                self._lapsed[ident] = (now, previous)
            case UpstreamEntry(ident=ident):
                self._warm_up_ends_at.pop(ident, None)

    def _rebuild_index(self) -> None:
        lapsed = [record for _, record in self._lapsed.values()]
        self._fleet = build_index([*lapsed, *self._view.records], self._fleet)
        for listener in self._listeners:
            listener()
