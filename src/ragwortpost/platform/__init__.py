"""Adapter of the packet-level data path to the platform.

It translates the platform's store, settings file and packets; the data path
itself uses none of their key names and formats. The QUIC data path reads its
platform with :class:`ragwortpost.process.PlatformClient`.
"""

from ragwortpost.platform._packet_format import PlatformPacketFormat
from ragwortpost.platform._readiness import answer_readiness
from ragwortpost.platform._settings_file import (
    SETTINGS_VARIABLE,
    NodeSettingsError,
    SettingsFile,
    UnreadableSettingsError,
    parse_settings,
)
from ragwortpost.platform._store import PlatformStore

__all__ = [
    'SETTINGS_VARIABLE',
    'NodeSettingsError',
    'PlatformPacketFormat',
    'PlatformStore',
    'SettingsFile',
    'UnreadableSettingsError',
    'answer_readiness',
    'parse_settings',
]
