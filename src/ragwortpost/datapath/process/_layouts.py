"""Versions of the layouts of messages between processes.

Processes of two builds run side by side while the fleet is replaced. Each
process reads all layouts of its range, and sends to a peer the newest one that
both know. docs/design/versions-side-by-side.md has the rules for changes.
"""

from typing import Final, NamedTuple


class LayoutRange(NamedTuple):
    """The layouts that a process reads and writes."""

    oldest: int
    newest: int

    def common_with(self, other: 'LayoutRange') -> int | None:
        """Return the newest layout in both ranges, or none."""
        newest = min(self.newest, other.newest)
        return newest if newest >= max(self.oldest, other.oldest) else None


# Digests have a fixed number of fields. A process that sends them does not say
# which layouts it reads.
FIXED_DIGESTS: Final = 1
# Digests say which layouts their sender reads. Its decoders ignore trailing
# fields of digests, changes, demands, grants and inventory queries.
EXTENSIBLE_DIGESTS: Final = 2
SUPPORTED_LAYOUTS: Final = LayoutRange(FIXED_DIGESTS, EXTENSIBLE_DIGESTS)
# The range of a process that does not report one.
UNREPORTED_LAYOUTS: Final = LayoutRange(FIXED_DIGESTS, FIXED_DIGESTS)
