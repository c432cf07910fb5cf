"""Access to the platform's store, as its readers need it."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.version import Record


class StoreError(RagwortpostError):
    """The store could not be read."""

    def __init__(self, cause: str, status: int) -> None:
        """Initialize with the cause and the HTTP status, zero without one."""
        super().__init__(cause, status)
        self.cause = cause
        self.status = status


class HistoryLost(RagwortpostError):
    """The store no longer has the changes since a revision."""

    def __init__(self, revision: int) -> None:
        """Initialize with the requested revision."""
        super().__init__(revision)
        self.revision = revision


@dataclass(frozen=True, slots=True)
class StorePoint:
    """The state of the store that a response is about."""

    # The revision of the store.
    revision: int
    # The era as the store gave it, not checked; empty if it gave none.
    era: str = ''


@dataclass(frozen=True, slots=True)
class RejectedItem:
    """An item of the store that can't be decoded."""

    # Identifies the document in the store; empty if the key is invalid.
    subject: str
    # The revision of its last change.
    revision: int
    # What is wrong with it, with the field and its value where they are known.
    cause: str


@dataclass(frozen=True, slots=True)
class StoreRead:
    """Records that the store returned."""

    # The state of the store before later changes.
    point: StorePoint
    # Revision before the changes; zero if the records are the whole state.
    after: int
    # The records, with the era of their versions left at zero.
    records: tuple[Record, ...]
    # Items that the store holds as well, but that name nothing.
    rejected: tuple[RejectedItem, ...] = ()


class StorePort(Protocol):
    """Access to the store, implemented by the platform's adapter."""

    async def read_all(self, *, stale: bool) -> Result[StoreRead, StoreError]:
        """Return the whole state; a stale read is cheap but may be old."""

    async def watch(
        self,
        revision: int,
        wait_seconds: float,
    ) -> Result[StoreRead, StoreError | HistoryLost]:
        """Return the changes after a revision, none if the wait times out."""
