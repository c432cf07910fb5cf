"""Adapter of the data path to the platform's store, settings and packets.

It only translates; the data path itself uses none of the platform's key names
and formats.
"""

from ragwortpost.platform._packet_format import PlatformPacketFormat
from ragwortpost.platform._readiness import answer_readiness
from ragwortpost.platform._settings_file import (
    SETTINGS_VARIABLE,
    NodeSettingsError,
    SettingsFile,
    parse_settings,
)
from ragwortpost.platform._store import PlatformStore

__all__ = [
    'SETTINGS_VARIABLE',
    'NodeSettingsError',
    'PlatformPacketFormat',
    'PlatformStore',
    'SettingsFile',
    'answer_readiness',
    'parse_settings',
]
