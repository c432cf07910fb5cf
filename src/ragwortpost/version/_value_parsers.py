"""Parsers of setting values: durations, shares, counts and addresses."""

import re
from dataclasses import dataclass
from datetime import timedelta
from ipaddress import AddressValueError, IPv4Address
from typing import Final

from result import Err, Ok, Result

_DURATION: Final = re.compile(r'(\d{1,9})(ms|s|min|h)')
_SHARE: Final = re.compile(r'(\d{1,3})%')
_COUNT: Final = re.compile(r'\d{1,9}')
_UNIT_SECONDS: Final = (('ms', 0.001), ('s', 1), ('min', 60), ('h', 3600))
_PERCENT: Final = 100
_MAX_PORT: Final = 65535


@dataclass(frozen=True)
class ParseError:
    """A text that does not have the expected format."""

    # Description of the expected format.
    expected: str
    # The offending text.
    found: str


@dataclass(frozen=True, order=True)
class SocketAddress:
    """An IPv4 address with a port."""

    # Address in dotted-decimal notation.
    host: str
    # Port, 1 to 65535.
    port: int

    def __str__(self) -> str:
        """Return the address as written in the settings."""
        return f'{self.host}:{self.port}'

    def offset(self, count: int) -> 'SocketAddress | None':
        """Return the address ``count`` hosts higher, if there is one."""
        try:
            return SocketAddress(str(IPv4Address(self.host) + count), self.port)
        except AddressValueError:
            return None

    @property
    def host_port(self) -> tuple[str, int]:
        """Host and port as the socket functions expect them."""
        return self.host, self.port


def parse_duration(text: str) -> Result[timedelta, ParseError]:
    """Parse a duration such as ``250ms``, ``5s``, ``2min`` or ``1h``."""
    match = _DURATION.fullmatch(text)
    if match is None:
        return Err(ParseError('a duration such as 250ms, 5s or 2min', text))
    seconds = dict(_UNIT_SECONDS)[match.group(2)]
    return Ok(timedelta(seconds=int(match.group(1)) * seconds))


def parse_share(text: str) -> Result[float, ParseError]:
    """Parse a percentage such as ``10%`` into a share in (0, 1]."""
    match = _SHARE.fullmatch(text)
    percent = int(match.group(1)) if match else 0
    if percent < 1 or percent > _PERCENT:
        return Err(ParseError('a share from 1% to 100%', text))
    return Ok(percent / _PERCENT)


def parse_count(text: str) -> Result[int, ParseError]:
    """Parse a non-negative whole number of at most nine digits."""
    if _COUNT.fullmatch(text) is None:
        return Err(ParseError('a whole number of at most 9 digits', text))
    return Ok(int(text))


def parse_address(text: str) -> Result[SocketAddress, ParseError]:
    """Parse an IPv4 address with a port, such as ``10.0.0.7:4433``."""
    host, colon, port = text.rpartition(':')
    try:
        IPv4Address(host)
    except AddressValueError:
        return Err(ParseError('an address such as 10.0.0.7:4433', text))
    if not port.isascii() or not port.isdigit():
        return Err(ParseError('an address such as 10.0.0.7:4433', text))
    if not 0 < int(port) <= _MAX_PORT:
        return Err(ParseError('a port from 1 to 65535', text))
    return Ok(SocketAddress(host, int(port)))
