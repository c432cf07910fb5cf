"""A caller's request as the agents process it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

# Names of HTTP header fields.
IDEMPOTENCY_KEY: Final = b'idempotency-key'
LAST_EVENT_ID: Final = b'last-event-id'
OUTCOME: Final = b'request-outcome'
RETRY_AFTER: Final = b'retry-after'
TIMEOUT_MS: Final = b'x-request-timeout-ms'
# RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS: Final = frozenset(
    (
        'GET',
        'HEAD',
        'OPTIONS',
        'TRACE',
        'PUT',
        'DELETE',
    )
)
_EVENT_STREAM_TYPE: Final = b'text/event-stream'


@dataclass(frozen=True)
class Request:
    """A request with its deadline."""

    # Service at whose address the request arrived.
    service: str
    # HTTP method as received; methods are case-sensitive.
    method: str
    # Path and query.
    path: bytes
    # Headers with lower-case names, without pseudo-headers.
    headers: Headers
    # Complete body.
    body: bytes
    # Monotonic time in seconds at which the caller stops waiting.
    deadline: float
    # Whether a peer handed it off to be run here; it is not handed off again.
    # False for a request that was sent to the owner of its key.
    handed_off: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether running it twice has the same effect as running it once."""
        return self.method in _IDEMPOTENT_METHODS

    @property
    def is_event_stream(self) -> bool:
        """Whether the caller accepts an event stream."""
        return _EVENT_STREAM_TYPE in self.header(b'accept')

    def header(self, name: bytes) -> bytes:
        """Return the value of the first header named ``name``, or b''."""
        return next(
            (found for key, found in self.headers if key == name),
            b'',
        )
