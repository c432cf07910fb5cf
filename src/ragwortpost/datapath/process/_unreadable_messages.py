"""Counts datagrams of peers that this process can't read.

A peer of another build may send layouts that this one does not know. Each peer
and number is logged once, since a peer repeats what it sends.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from ragwortpost.datapath.process._event_log import EventLog

# Maximum pairs of a peer and a number that are counted apart.
MAX_COUNTED_PAIRS: Final = 1000
_EVENT: Final = 'datagram_unreadable'


class UnreadableMessages:
    """Numbers of the unreadable datagrams, by sender and first byte."""

    def __init__(self, log: EventLog, events: Counter[str]) -> None:
        """Initialize with the log and the event counters of a process."""
        self._log = log
        self._events = events
        self._counts: Counter[tuple[str, int]] = Counter()

    def record(self, datagram: bytes, host: str) -> None:
        """Count a datagram; log the first one of its number and sender."""
        number = datagram[0] if datagram else 0
        pair = (host, number)
        is_counted = pair in self._counts
        if not is_counted and len(self._counts) >= MAX_COUNTED_PAIRS:
            self._events[_EVENT] += 1
            return
        self._counts[pair] += 1
        if is_counted:
            self._events[_EVENT] += 1
        else:
            self._log.write(
                'datagram_unreadable',
                peer=host,
                number=number,
                size=len(datagram),
            )

    def describe(self) -> Mapping[str, Mapping[str, int]]:
        """Return the counts by sender and number, for operators."""
        by_host: dict[str, dict[str, int]] = {}
        for (host, number), count in sorted(self._counts.items()):
            by_host.setdefault(host, {})[str(number)] = count
        return by_host
