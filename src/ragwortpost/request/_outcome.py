"""Possible outcomes of a request."""

from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Final, TypeAlias

from ragwortpost._errors import RagwortpostError
from ragwortpost.request._request import Headers

_BAD_REQUEST: Final = 400
_TOO_LARGE: Final = 413
_UNAVAILABLE: Final = 503


class IncompleteResponseError(RagwortpostError):
    """A response whose body ended before it was complete."""

    def __init__(self, cause: str) -> None:
        """Initialize with the error of the connection."""
        super().__init__(cause)
        self.cause = cause

    def __str__(self) -> str:
        """Return the cause in one line."""
        return f'response ended early: {self.cause}'


class RefusalReason(Enum):
    """Why a request was not run."""

    QUEUE_FULL = 'queue_full'
    QUEUE_TIMEOUT = 'queue_timeout'
    LEAVING = 'leaving'
    SHED = 'shed'
    UPSTREAM_DOWN = 'upstream_down'
    PEER_UNREACHABLE = 'peer_unreachable'
    TABLE_FULL = 'table_full'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    FOREIGN_KEY = 'foreign_key'
    WRONG_SERVICE = 'wrong_service'

    @property
    def status(self) -> int:
        """HTTP status code for the reason."""
        match self:
            case RefusalReason.MALFORMED | RefusalReason.FOREIGN_KEY:
                return _BAD_REQUEST
            case RefusalReason.TOO_LARGE:
                return _TOO_LARGE
            case _:
                return _UNAVAILABLE


class UnknownReason(Enum):
    """Why it is unknown whether a request was run."""

    OWNER_GONE = 'owner_gone'
    OWNER_UNREACHABLE = 'owner_unreachable'
    KEY_EXPIRED = 'key_expired'
    CONNECTION_LOST = 'connection_lost'
    DEADLINE = 'deadline'
    ANSWER_TOO_LARGE = 'answer_too_large'


@dataclass(frozen=True)
class Answered:
    """The upstream sent a response."""

    # HTTP status code.
    status: int
    # Response headers without hop-by-hop headers.
    headers: Headers
    # Chunks of the body; read them while ``stack`` is open.
    chunks: AsyncGenerator[bytes, None]
    # Owns the slot and the connection that the body is read from.
    stack: AsyncExitStack


@dataclass(frozen=True)
class Refused:
    """The request was not run: no byte of it was sent to an upstream."""

    # Why it was not run.
    reason: RefusalReason
    # Time after which a retry may succeed.
    retry_after: timedelta = timedelta(seconds=1)


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have been run."""

    # Why the outcome is unknown.
    reason: UnknownReason
    # Time after which a retry may return the outcome; None if it never will.
    retry_after: timedelta | None = None


RequestOutcome: TypeAlias = Answered | Refused | Unknown
