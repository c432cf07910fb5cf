"""The audit trail of versions that this process applied or rejected."""

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
    """One change and the time at which it was recorded."""

    # Time of the record, in UTC.
    time: datetime
    # The submitted version and its outcome.
    change: VersionChange


class AuditTrail:
    """Keeps the latest changes in memory and drops the oldest."""

    def __init__(self, clock: Clock, limit: int = MAX_ENTRIES) -> None:
        """Initialize a trail of at most ``limit`` entries."""
        self._clock = clock
        self._entries: deque[AuditEntry] = deque(maxlen=limit)
        self._dropped = 0

    @property
    def entries(self) -> Sequence[AuditEntry]:
        """The recorded entries, oldest first."""
        return tuple(self._entries)

    @property
    def dropped(self) -> int:
        """The number of entries dropped because the trail was full."""
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
