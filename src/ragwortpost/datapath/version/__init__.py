"""Versioned state of the platform's store, for the packet-level data path."""

from ragwortpost.datapath.version._changes import (
    Changes,
    Record,
    decode_changes,
    encode_changes,
)
from ragwortpost.datapath.version._document_rows import (
    ChangesEncodingError,
    Host,
    RouteKeyField,
    check_document,
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
from ragwortpost.datapath.version._fleet_index import (
    EMPTY_INDEX,
    FleetIndex,
    build_index,
)
from ragwortpost.datapath.version._state_version import (
    ORIGIN,
    EraMark,
    Natural,
    StateVersion,
)
from ragwortpost.datapath.version._view import View

__all__ = [
    'EMPTY_INDEX',
    'ORIGIN',
    'Changes',
    'ChangesEncodingError',
    'Configuration',
    'Document',
    'EraMark',
    'FleetIndex',
    'Host',
    'Natural',
    'Record',
    'Route',
    'RouteKeyField',
    'ServicePolicy',
    'ServiceShare',
    'StateVersion',
    'TakenOut',
    'UpstreamEntry',
    'View',
    'build_index',
    'check_document',
    'decode_changes',
    'encode_changes',
]
