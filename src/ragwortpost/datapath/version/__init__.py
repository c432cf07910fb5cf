"""What lives as long as one state of the platform's store."""

from ragwortpost.datapath.version._changes import (
    Changes,
    ChangesEncodingError,
    Record,
    decode_changes,
    encode_changes,
)
from ragwortpost.datapath.version._documents import (
    Configuration,
    Document,
    Route,
    ServicePolicy,
    ServiceShare,
    TakenOut,
    UpstreamEntry,
)
from ragwortpost.datapath.version._fleet import EMPTY_FLEET, Fleet, arrange
from ragwortpost.datapath.version._view import View

__all__ = [
    'EMPTY_FLEET',
    'Changes',
    'ChangesEncodingError',
    'Configuration',
    'Document',
    'Fleet',
    'Record',
    'Route',
    'ServicePolicy',
    'ServiceShare',
    'TakenOut',
    'UpstreamEntry',
    'View',
    'arrange',
    'decode_changes',
    'encode_changes',
]
