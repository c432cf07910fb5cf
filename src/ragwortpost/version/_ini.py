"""Parses INI text into sections whose entries have line numbers.

:mod:`configparser` checks the syntax but keeps no line numbers, so a second
pass over the lines finds them.
"""

import configparser
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from ragwortpost.version._settings_errors import (
    DuplicateKeyError,
    DuplicateSectionError,
    Location,
    SettingsEncodingError,
    SettingsError,
    SettingsSyntaxError,
    SettingsTooLargeError,
)

MAX_TEXT_BYTES: Final = 1048576


@dataclass(frozen=True)
class IniEntry:
    """One key of a section."""

    # Text after the equals sign, without surrounding white space.
    text: str
    # Location of the key.
    location: Location


@dataclass(frozen=True)
class IniSection:
    """One section of an INI text."""

    # Name between the brackets.
    name: str
    # Location of the section header.
    location: Location
    # Entries by key, in the order of the text.
    entries: Mapping[str, IniEntry]


def parse_ini(body: bytes) -> Result[Sequence[IniSection], SettingsError]:
    """Parse an INI text of at most ``MAX_TEXT_BYTES`` bytes."""
    if len(body) > MAX_TEXT_BYTES:
        return Err(SettingsTooLargeError(Location(), f'{len(body)} bytes'))
    try:
        text = body.decode('utf-8')
    except UnicodeDecodeError as error:
        return Err(SettingsEncodingError(Location(), f'at byte {error.start}'))
    parser = configparser.ConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        # Makes [DEFAULT] an ordinary section.
        default_section='\0',
        interpolation=None,
        strict=True,
    )
    failure = _parse_text(parser, text)
    if failure is not None:
        return Err(failure)
    return Ok(_locate_sections(parser, text))


def _parse_text(
    parser: configparser.ConfigParser,
    text: str,
) -> SettingsError | None:
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        return DuplicateSectionError(
            Location(error.section, line=error.lineno or 0),
        )
    except configparser.DuplicateOptionError as error:
        return DuplicateKeyError(
            Location(error.section, error.option, error.lineno or 0),
        )
    except configparser.ParsingError as error:
        return _syntax_error(error)
    return None


def _syntax_error(error: configparser.ParsingError) -> SettingsError:
    if isinstance(error, configparser.MissingSectionHeaderError):
        return SettingsSyntaxError(Location(line=error.lineno), error.line)
    line, found = error.errors[0]
    return SettingsSyntaxError(Location(line=line), found)


def _locate_sections(
    parser: configparser.ConfigParser,
    text: str,
) -> Sequence[IniSection]:
    lines = _line_numbers(text)
    sections = []
    for name in parser.sections():
        header_location = Location(name, line=lines.get((name, ''), 0))
        entries = {
            key: IniEntry(
                found.strip(),
                Location(name, key, lines.get((name, key), 0)),
            )
            for key, found in parser.items(name)
        }
        sections.append(IniSection(name, header_location, entries))
    return sections


def _line_numbers(text: str) -> Mapping[tuple[str, str], int]:
    numbers: dict[tuple[str, str], int] = {}
    section = ''
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('[') and ']' in stripped:
            section = stripped[1 : stripped.rindex(']')]
            numbers.setdefault((section, ''), number)
        elif '=' in stripped:
            key = stripped.partition('=')[0].strip().lower()
            numbers.setdefault((section, key), number)
    return numbers
