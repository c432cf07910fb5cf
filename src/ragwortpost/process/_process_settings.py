"""The settings of a single process, read from its own INI file."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from result import Err, Ok, Result

from ragwortpost.version import (
    IniEntry,
    IniSection,
    InvalidValueError,
    Location,
    MissingKeyError,
    ParseError,
    Role,
    SettingsError,
    SocketAddress,
    UnknownKeyError,
    UnknownSectionError,
    parse_address,
    parse_ini,
)

KEY_BYTES: Final = 32
_PROCESS: Final = 'process'
_KEYS: Final = frozenset(
    (
        'role',
        'name',
        'data-centre',
        'address',
        'key',
        'platform',
        'peers',
        'listen-host',
        'target',
        'certificate',
        'private-key',
    )
)
_Parsed = TypeVar('_Parsed')


@dataclass(frozen=True)
class ProcessSettings:
    """The settings that a process needs before it can reach the platform."""

    # Entry or agent.
    role: Role
    # The process's name; for an agent, the full name of its upstream.
    name: str
    # The data centre in which it runs.
    data_centre: str
    # Address for envelopes (UDP) and calls from peers (TCP).
    address: SocketAddress
    # Secret key shared by all processes, 32 bytes.
    key: bytes
    # Base URL of the platform's service.
    platform: str
    # Peers to exchange versions with while there is no VM list, such as when
    # the platform is down; may be empty.
    peers: Sequence[SocketAddress] = ()
    # Host that an entry binds instead of the services' hosts; empty if unset.
    listen_host: str = ''
    # Address of the agent's upstream; unset for an entry.
    target: SocketAddress | None = None
    # Path of the agent's certificate in PEM; empty for an entry.
    certificate: str = ''
    # Path of the agent's private key in PEM; empty for an entry.
    private_key: str = ''


def parse_process_settings(
    body: bytes,
) -> Result[ProcessSettings, SettingsError]:
    """Parse a process's settings, or return the first error in them."""
    match parse_ini(body):
        case Err() as failure:
            return failure
        case Ok(sections):
            return _read_sections(sections)


def _read_sections(
    sections: Sequence[IniSection],
) -> Result[ProcessSettings, SettingsError]:
    for section in sections:
        if section.name != _PROCESS:
            return Err(UnknownSectionError(section.location))
    if not sections:
        return Err(MissingKeyError(Location(_PROCESS), 'role'))
    entries = sections[0].entries
    for key, entry in entries.items():
        if key not in _KEYS:
            return Err(UnknownKeyError(entry.location))
    try:
        return Ok(_build(sections[0].location, entries))
    except SettingsError as error:
        return Err(error)


def _build(
    location: Location,
    entries: Mapping[str, IniEntry],
) -> ProcessSettings:
    reader = _SectionReader(location, entries)
    role = reader.required('role', _parse_role)
    is_agent = role is Role.AGENT
    return ProcessSettings(
        role=role,
        name=reader.required('name', Ok),
        data_centre=reader.required('data-centre', Ok),
        address=reader.required('address', parse_address),
        key=reader.required('key', _parse_key),
        platform=reader.required('platform', Ok),
        peers=reader.optional('peers', _parse_peers, ()),
        listen_host=reader.optional('listen-host', Ok, ''),
        target=reader.required('target', parse_address) if is_agent else None,
        certificate=reader.required('certificate', Ok) if is_agent else '',
        private_key=reader.required('private-key', Ok) if is_agent else '',
    )


class _SectionReader:
    """Reads the entries of one section; raises a typed error."""

    def __init__(
        self,
        location: Location,
        entries: Mapping[str, IniEntry],
    ) -> None:
        self._location = location
        self._entries = entries

    def required(
        self,
        key: str,
        parse: Callable[[str], Result[_Parsed, ParseError]],
    ) -> _Parsed:
        entry = self._entries.get(key)
        if entry is None:
            raise MissingKeyError(self._location, key)
        match parse(entry.text):
            case Ok(parsed):
                return parsed
            case Err(problem):
                detail = f'expected {problem.expected}'
                raise InvalidValueError(entry.location, detail)

    def optional(
        self,
        key: str,
        parse: Callable[[str], Result[_Parsed, ParseError]],
        default: _Parsed,
    ) -> _Parsed:
        if key not in self._entries:
            return default
        return self.required(key, parse)


def _parse_role(text: str) -> Result[Role, ParseError]:
    try:
        return Ok(Role(text))
    except ValueError:
        return Err(ParseError('one of entry, agent', text))


def _parse_key(text: str) -> Result[bytes, ParseError]:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return Err(ParseError('64 hexadecimal digits', text))
    if len(key) != KEY_BYTES:
        return Err(ParseError('64 hexadecimal digits', text))
    return Ok(key)


def _parse_peers(
    text: str,
) -> Result[Sequence[SocketAddress], ParseError]:
    addresses = []
    for part in text.split():
        match parse_address(part):
            case Ok(address):
                addresses.append(address)
            case Err() as failure:
                return failure
    return Ok(tuple(addresses))
