"""Records of the non-idempotent requests that an agent owns."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

from ragwortpost._clock import Clock
from ragwortpost.request._idempotency import IdempotencyKey
from ragwortpost.request._outcome import Refused, Unknown
from ragwortpost.request._request import Headers

MAX_RECORDS: Final = 10000
MAX_TOTAL_BODY_BYTES: Final = 4194304


@dataclass(frozen=True)
class StoredResponse:
    """A complete upstream response, kept for repeats of the request."""

    # HTTP status code.
    status: int
    # Response headers.
    headers: Headers
    # Complete body.
    body: bytes


RecordedOutcome: TypeAlias = StoredResponse | Unknown | Refused


@dataclass(frozen=True)
class Record:
    """Record of a key, whose request runs at most once."""

    # The recorded key.
    key: IdempotencyKey
    # Resolved once the outcome is known.
    outcome: asyncio.Future[RecordedOutcome]


class RecordRefusal(Enum):
    """Why no record was created."""

    FULL = 'full'
    EXPIRED = 'expired'


@dataclass(frozen=True)
class NewRecord:
    """The record of a key that had none; run its request."""

    # The new record.
    record: Record


@dataclass(frozen=True)
class ExistingRecord:
    """The record that a key already had; do not run its request again."""

    # The existing record.
    record: Record


BeginOutcome: TypeAlias = NewRecord | ExistingRecord | RecordRefusal


class RecordTable:
    """Records by key, bounded by lease, number and bytes of stored bodies.

    A record whose lease has not ended is never dropped to make room; the new
    request is refused instead.
    """

    def __init__(
        self,
        clock: Clock,
        max_records: int = MAX_RECORDS,
        max_body_bytes: int = MAX_TOTAL_BODY_BYTES,
    ) -> None:
        """Initialize an empty table with its limits."""
        self._clock = clock
        self._max_records = max_records
        self._max_body_bytes = max_body_bytes
        self._records: dict[IdempotencyKey, Record] = {}
        self._body_bytes = 0
        # Latest Unix time seen, in seconds.
        self._latest_wall_time = float(0)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def begin(self, key: IdempotencyKey) -> BeginOutcome:
        """Record a key before its request is sent anywhere."""
        self._expire()
        existing = self._records.get(key)
        if existing is not None:
            return ExistingRecord(existing)
        if key.expiry <= self._latest_wall_time:
            return RecordRefusal.EXPIRED
        if self._is_full():
            return RecordRefusal.FULL
        outcome = asyncio.get_running_loop().create_future()
        record = Record(key, outcome)
        self._records[key] = record
        return NewRecord(record)

    def settle(self, record: Record, outcome: RecordedOutcome) -> None:
        """Resolve a record with the outcome of its request.

        The record of a refused request is dropped, so that a retry can run.
        """
        match outcome:
            case Refused():
                self._records.pop(record.key, None)
            case StoredResponse(body=body):
                self._body_bytes += len(body)
        if not record.outcome.done():
            record.outcome.set_result(outcome)

    def _is_full(self) -> bool:
        return (
            len(self._records) >= self._max_records
            or self._body_bytes >= self._max_body_bytes
        )

    def _expire(self) -> None:
        # The wall clock may be set back; a key that expired stays expired.
        self._latest_wall_time = max(
            self._latest_wall_time, self._clock.now().timestamp()
        )
        for key, record in tuple(self._records.items()):
            # Keys are issued with one lease, so later ones expire later.
            if key.expiry > self._latest_wall_time:
                return
            if record.outcome.done():
                self._drop(record)

    def _drop(self, record: Record) -> None:
        self._records.pop(record.key)
        outcome = record.outcome.result()
        if isinstance(outcome, StoredResponse):
            self._body_bytes -= len(outcome.body)
