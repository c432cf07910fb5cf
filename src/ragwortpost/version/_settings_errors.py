"""Reasons for which a settings tree is rejected."""

from dataclasses import dataclass

from ragwortpost._errors import RagwortpostError


@dataclass(frozen=True)
class Location:
    """Where in an INI text a fault stands."""

    # The section's name without brackets; empty outside any section.
    section: str = ''
    # The key's name; empty when the fault concerns the whole section.
    key: str = ''
    # The line's number from one; zero when no single line is at fault.
    line: int = 0

    def __str__(self) -> str:
        """Return the location as it stands at the head of an error line."""
        position = f'line {self.line}' if self.line else 'settings'
        if self.section:
            position = f'{position}: [{self.section}]'
        return f'{position} {self.key}' if self.key else position


class SettingsError(RagwortpostError):
    """A settings text that can't be accepted."""

    reason = 'invalid settings'

    def __init__(self, location: Location, detail: str = '') -> None:
        """Record where the fault stands and the offending text."""
        super().__init__(location, detail)
        self.location = location
        self.detail = detail

    def __str__(self) -> str:
        """Return section, key, line and reason in one line."""
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

    reason = 'not an INI line'


class DuplicateSectionError(SettingsError):
    """A section that stands twice."""

    reason = 'section stands twice'


class DuplicateKeyError(SettingsError):
    """A key that stands twice in one section."""

    reason = 'key stands twice'


class UnknownSectionError(SettingsError):
    """A section whose kind or shape is not known."""

    reason = 'unknown section'


class UnknownKeyError(SettingsError):
    """A key that its section does not take."""

    reason = 'unknown key'


class MissingKeyError(SettingsError):
    """A required key that no level gives."""

    reason = 'key is missing'


class InvalidValueError(SettingsError):
    """A setting whose unit, form or range is wrong."""

    reason = 'wrong form or unit'


class DanglingReferenceError(SettingsError):
    """A name that refers to a section that is absent."""

    reason = 'name refers to an absent section'


class AddressConflictError(SettingsError):
    """Two services or two upstreams that claim one address."""

    reason = 'address is taken'
