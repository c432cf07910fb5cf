"""What may become of a request."""

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
    """An answer whose body ended before it was whole."""

    def __init__(self, cause: str) -> None:
        """Record what the connection said."""
        super().__init__(cause)
        self.cause = cause

    def __str__(self) -> str:
        """Return the cause in one line."""
        return f'answer broke off: {self.cause}'


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
        """The HTTP status that goes with the reason."""
        match self:
            case RefusalReason.MALFORMED | RefusalReason.FOREIGN_KEY:
                return _BAD_REQUEST
            case RefusalReason.TOO_LARGE:
                return _TOO_LARGE
            case _:
                return _UNAVAILABLE


class UnknownReason(Enum):
    """Why it can't be said whether a request was run."""

    OWNER_GONE = 'owner_gone'
    OWNER_UNREACHABLE = 'owner_unreachable'
    KEY_EXPIRED = 'key_expired'
    CONNECTION_LOST = 'connection_lost'
    DEADLINE = 'deadline'
    ANSWER_TOO_LARGE = 'answer_too_large'


@dataclass(frozen=True)
class Answered:
    """The upstream answered."""

    # The HTTP status.
    status: int
    # The answer's headers, hop-by-hop ones removed.
    headers: Headers
    # The body in pieces; read it inside ``stack``.
    chunks: AsyncGenerator[bytes, None]
    # Owns the slot and the connection that the body is read from.
    stack: AsyncExitStack


@dataclass(frozen=True)
class Refused:
    """The request was not run: no byte was offered to an upstream."""

    # Why it was not run.
    reason: RefusalReason
    # When a repeat may succeed.
    retry_after: timedelta = timedelta(seconds=1)


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have been run."""

    # Why it is not known.
    reason: UnknownReason
    # When asking again may tell; unset when it never will.
    retry_after: timedelta | None = None


RequestOutcome: TypeAlias = Answered | Refused | Unknown
