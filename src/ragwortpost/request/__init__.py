"""Routing, admission and records of requests, for the QUIC data path.

An agent reads requests from its callers' connections and sends them to the
upstream beside it or to other agents. The packet-level data path (datapath/)
does not read requests.
"""

from ragwortpost.request._dispatcher import Dispatcher
from ragwortpost.request._event_splitter import EventSplitter
from ragwortpost.request._event_stream import EventStream
from ragwortpost.request._idempotency import (
    ForeignKeyError,
    IdempotencyKey,
    Incarnation,
    KeyCodec,
)
from ragwortpost.request._outcome import (
    Answered,
    IncompleteResponseError,
    RefusalReason,
    Refused,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.request._peer_selector import PeerSelector
from ragwortpost.request._ramp import Ramp
from ragwortpost.request._record_table import (
    ExistingRecord,
    NewRecord,
    RecordRefusal,
    RecordTable,
    StoredResponse,
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
    'Answered',
    'Availability',
    'Dispatcher',
    'EventSplitter',
    'EventStream',
    'ExistingRecord',
    'ForeignKeyError',
    'Headers',
    'IdempotencyKey',
    'Incarnation',
    'IncompleteResponseError',
    'KeyCodec',
    'NewRecord',
    'PeerPort',
    'PeerSelector',
    'Ports',
    'Ramp',
    'RecordRefusal',
    'RecordTable',
    'RefusalReason',
    'Refused',
    'Request',
    'RequestOutcome',
    'RequestRouter',
    'Slots',
    'StoredResponse',
    'Unknown',
    'UnknownReason',
    'UpstreamPort',
]
