"""Parses the settings file that the platform writes for each process."""

import json
import os
import sys
from collections.abc import Mapping
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
# Processor cores of a process whose settings don't state them.
DEFAULT_CORES: Final = 1.0
_PARSE_ERRORS: Final = (
    ValueError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)


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


class InvalidNumberError(NodeSettingsError):
    """A field that should be a positive number is something else."""

    def __init__(self, field: str, found: object) -> None:
        """Initialize with the name and the content of the field."""
        super().__init__(f'field {field} is not a positive number: {found!r}')
        self.field = field
        self.found = found


class SettingsFile:
    """The settings file of this process.

    It does not use ``pathlib``, whose import lengthens each start.
    """

    def __init__(self, path: str) -> None:
        """Initialize with the path of the file."""
        self._path = path

    def change_marker(self) -> float:
        """Return the file's modification time in seconds since the epoch.

        Raises :class:`OSError` if the file can't be read.
        """
        return os.stat(self._path).st_mtime

    def load(self) -> Result[NodeSettings, NodeSettingsError]:
        """Read and parse the current settings."""
        try:
            with open(self._path, 'rb') as settings_file:
                return parse_settings(settings_file.read())
        except OSError as error:
            return Err(UnreadableSettingsError(str(error)))


def parse_settings(text: bytes) -> Result[NodeSettings, NodeSettingsError]:
    """Return the settings of the process."""
    try:
        return Ok(_parse_fields(json.loads(text)))
    except NodeSettingsError as error:
        return Err(error)
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
        processor_cores=_parse_cores(fields['limits']),
    )


def _parse_cores(limits: Mapping[str, Any]) -> float:
    """Return the cores that the process may use, one if they are not stated."""
    cores = limits.get('cores')
    share = limits.get('cpuShare')
    if cores is None or share is None:
        return DEFAULT_CORES
    for field, number in (('cores', cores), ('cpuShare', share)):
        if not _is_positive_number(number):
            raise InvalidNumberError(f'limits.{field}', number)
    return float(cores) * float(share) or DEFAULT_CORES


def _is_positive_number(number: object) -> bool:
    if isinstance(number, bool) or not isinstance(number, int | float):
        return False
    return 0 < number <= sys.float_info.max


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
