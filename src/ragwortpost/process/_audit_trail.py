"""The trail of changes that this process applied or rejected."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Final

from absl import logging

from ragwortpost._clock import Clock
from ragwortpost.version import VersionChange

MAX_ENTRIES: Final = 1000


@dataclass(frozen=True)
class AuditEntry:
    """One change with the time at which this process met it."""

    # When, in UTC.
    time: datetime
    # What was offered and what became of it.
    change: VersionChange


class AuditTrail:
    """The latest changes, bounded in memory; the oldest go first."""

    def __init__(self, clock: Clock, limit: int = MAX_ENTRIES) -> None:
        """Keep at most ``limit`` entries."""
        self._clock = clock
        self._entries: deque[AuditEntry] = deque(maxlen=limit)
        self._dropped = 0

    @property
    def entries(self) -> Sequence[AuditEntry]:
        """The entries kept, oldest first."""
        return tuple(self._entries)

    @property
    def dropped(self) -> int:
        """Entries that were dropped to keep the bound."""
        return self._dropped

    def record(self, change: VersionChange) -> None:
        """Add a change and log it."""
        if len(self._entries) == self._entries.maxlen:
            self._dropped += 1
        self._entries.append(AuditEntry(self._clock.now(), change))
        logging.info(
            'event=change document=%s version=%d previous=%d outcome=%s '
            'source=%s detail=%r',
            change.document,
            change.version,
            change.previous,
            change.outcome.value,
            change.source,
            change.detail,
        )
