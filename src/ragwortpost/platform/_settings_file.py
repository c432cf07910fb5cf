"""Parses the settings file that the platform writes for each process."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from ragwortpost._datagrams import HostPort
from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.process import (
    NodeSettings,
    UpstreamSide,
)

# The environment variable that names the settings file.
SETTINGS_VARIABLE: Final = 'RAGWORTPOST_CONFIG'
_PARSE_ERRORS: Final = (ValueError, TypeError, AttributeError, IndexError)


class NodeSettingsError(RagwortpostError):
    """The settings can't be used: unreadable, or a field is invalid."""

    def __init__(self, cause: str) -> None:
        """Initialize with the cause."""
        super().__init__(cause)
        self.cause = cause

    def __str__(self) -> str:
        """Return a message of one line that includes the cause."""
        return f"platform's settings file: {self.cause}"


class UnreadableSettingsError(NodeSettingsError):
    """The settings file can't be read."""


class SettingsFile:
    """The settings file of this process."""

    def __init__(self, path: Path) -> None:
        """Initialize with the path of the file."""
        self._path = path

    def change_marker(self) -> float:
        """Return the file's modification time in seconds since the epoch.

        Raises :class:`OSError` if the file can't be read.
        """
        return self._path.stat().st_mtime

    def load(self) -> Result[NodeSettings, NodeSettingsError]:
        """Read and parse the current settings."""
        try:
            return parse_settings(self._path.read_bytes())
        except OSError as error:
            return Err(UnreadableSettingsError(str(error)))


def parse_settings(text: bytes) -> Result[NodeSettings, NodeSettingsError]:
    """Return the settings of the process."""
    try:
        return Ok(_parse_fields(json.loads(text)))
    except KeyError as error:
        return Err(NodeSettingsError(f'field {error} is missing'))
    except _PARSE_ERRORS as error:
        return Err(NodeSettingsError(repr(error)))


def _parse_fields(fields: Mapping[str, Any]) -> NodeSettings:
    addresses = fields['listenAddrs']
    return NodeSettings(
        name=fields['nodeName'],
        host=fields['ip'],
        data_centre=fields['zone'],
        readiness=_parse_address(addresses['readyAddr']),
        packet_port=_parse_address(addresses['datagramAddr'])[1],
        peer_port=int(fields['internalPortRange'][0]),
        admin_port=int(fields['internalPortRange'][0]) + 1,
        seeds=tuple(_parse_address(seed)[0] for seed in fields['seeds'] or ()),
        store=_parse_address(fields['platform']['address']),
        first_start=bool(fields['bootstrap']),
        link_megabits=float(fields['limits']['linkMbps']),
        stop_seconds=float(fields['bounds']['graceS']),
        upstream_side=_parse_upstream_side(fields),
    )


def _parse_upstream_side(fields: Mapping[str, Any]) -> UpstreamSide | None:
    if not fields.get('app'):
        return None
    return UpstreamSide(
        service=fields['service'],
        upstream=_parse_address(fields['app']),
        outbound=_parse_address(fields['listenAddrs']['outbound']),
    )


def _parse_address(text: str) -> HostPort:
    host, _, port = text.rpartition(':')
    return host, int(port)
