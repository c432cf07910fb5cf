"""Errors for which a settings text is rejected."""

from dataclasses import dataclass

from ragwortpost._errors import RagwortpostError


@dataclass(frozen=True)
class Location:
    """Location of an error in an INI text."""

    # Section name without brackets; empty outside any section.
    section: str = ''
    # Key name; empty if the error concerns the whole section.
    key: str = ''
    # Line number from one; zero if the error has no single line.
    line: int = 0

    def __str__(self) -> str:
        """Return the location as the prefix of an error message."""
        position = f'line {self.line}' if self.line else 'settings'
        if self.section:
            position = f'{position}: [{self.section}]'
        return f'{position} {self.key}' if self.key else position


class SettingsError(RagwortpostError):
    """A settings text that is not accepted."""

    reason = 'invalid settings'

    def __init__(self, location: Location, detail: str = '') -> None:
        """Initialize with the location and the offending text."""
        super().__init__(location, detail)
        self.location = location
        self.detail = detail

    def __str__(self) -> str:
        """Return the location, reason and detail in one line."""
        message = f'{self.location}: {self.reason}'
        return f'{message}: {self.detail}' if self.detail else message


class SettingsTooLargeError(SettingsError):
    """The text exceeds the platform's limit for one value."""

    reason = 'text is larger than 1048576 bytes'


class SettingsEncodingError(SettingsError):
    """The text is not UTF-8."""

    reason = 'text is not UTF-8'


class SettingsSyntaxError(SettingsError):
    """A line that is neither a section, a key nor a comment."""

    reason = 'invalid INI syntax'


class DuplicateSectionError(SettingsError):
    """A section that occurs twice."""

    reason = 'duplicate section'


class DuplicateKeyError(SettingsError):
    """A key that occurs twice in one section."""

    reason = 'duplicate key'


class UnknownSectionError(SettingsError):
    """A section of unknown kind or format."""

    reason = 'unknown section'


class UnknownKeyError(SettingsError):
    """A key that is not allowed in its section."""

    reason = 'unknown key'


class MissingKeyError(SettingsError):
    """A required key that no level sets."""

    reason = 'key is missing'


class InvalidValueError(SettingsError):
    """A value with an invalid format, unit or range."""

    reason = 'invalid value'


class DanglingReferenceError(SettingsError):
    """A reference to a section that does not exist."""

    reason = 'reference to a missing section'


class AddressConflictError(SettingsError):
    """Two services or upstreams with one address, or upstreams with one id."""

    reason = 'address or ID conflict'
