"""What lives as long as one request."""

from ragwortpost.request._dispatcher import Dispatcher
from ragwortpost.request._event_stream import EventStream
from ragwortpost.request._events import EventSplitter
from ragwortpost.request._idempotency import (
    ForeignKeyError,
    IdempotencyKey,
    Incarnation,
    KeyCodec,
)
from ragwortpost.request._outcome import (
    Answer,
    Answered,
    BrokenAnswerError,
    RefusalReason,
    Refused,
    Unknown,
    UnknownReason,
)
from ragwortpost.request._peer_selector import PeerSelector
from ragwortpost.request._ramp import Ramp
from ragwortpost.request._records import (
    BeginRefused,
    Begun,
    RecordTable,
    Repeated,
    StoredAnswer,
)
from ragwortpost.request._request import (
    IDEMPOTENCY_KEY,
    LAST_EVENT_ID,
    OUTCOME,
    RETRY_AFTER,
    TIMEOUT_MS,
    Headers,
    Request,
)
from ragwortpost.request._request_router import (
    Availability,
    PeerPort,
    Ports,
    RequestRouter,
    UpstreamPort,
)
from ragwortpost.request._slots import Slots

__all__ = [
    'IDEMPOTENCY_KEY',
    'LAST_EVENT_ID',
    'OUTCOME',
    'RETRY_AFTER',
    'TIMEOUT_MS',
    'Answer',
    'Answered',
    'Availability',
    'BeginRefused',
    'Begun',
    'BrokenAnswerError',
    'Dispatcher',
    'EventSplitter',
    'EventStream',
    'ForeignKeyError',
    'Headers',
    'IdempotencyKey',
    'Incarnation',
    'KeyCodec',
    'PeerPort',
    'PeerSelector',
    'Ports',
    'Ramp',
    'RecordTable',
    'RefusalReason',
    'Refused',
    'Repeated',
    'Request',
    'RequestRouter',
    'Slots',
    'StoredAnswer',
    'Unknown',
    'UnknownReason',
    'UpstreamPort',
]
