"""Decides in which layout to send messages to each peer.

A peer is sent the oldest supported layout until its own digest names the range
that it reads. Until then it also gets some digests in the newest layout: a peer
of an earlier build does not read them, any other one replies with its range.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.process._layouts import (
    SUPPORTED_LAYOUTS,
    UNREPORTED_LAYOUTS,
    LayoutRange,
)
from ragwortpost.datapath.process._messages import Digest

# A reported range is used for this time after the digest that named it: the
# peer may have been replaced by an earlier build that does not read the layout.
RANGE_LIFETIME_SECONDS: Final = 10.0
# A digest in the oldest layout within this time after one that named a range
# was sent before the peer knew the range of this process.
REORDER_SECONDS: Final = 1.0
# Minimum and maximum time between two digests that announce the own range to a
# peer which has not reported one. The time doubles with each announcement.
MIN_ANNOUNCE_SECONDS: Final = 1.0
MAX_ANNOUNCE_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class _ReportedRange:
    """The range in the latest digest of a peer."""

    layouts: LayoutRange
    # Monotonic seconds at which the digest arrived.
    received_at: float


@dataclass(frozen=True, slots=True)
class _Announcement:
    """The latest announcement to a peer without a reported range."""

    sent_at: float
    # Seconds until the next one.
    delay: float


class PeerLayouts:
    """The ranges that peers have reported, by address."""

    def __init__(self, own: LayoutRange = SUPPORTED_LAYOUTS) -> None:
        """Initialize with the layouts that this process reads."""
        self.own: Final = own
        self._reported: dict[str, _ReportedRange] = {}
        self._announced: dict[str, _Announcement] = {}
        # Peers that report no range: each was replaced by, or is, an earlier
        # build, or does not know this process yet.
        self._unreported: dict[str, float] = {}

    def record_digest(self, host: str, digest: Digest, now: float) -> None:
        """Record the range that a digest names, or that it names none."""
        if digest.layouts != UNREPORTED_LAYOUTS:
            self._reported[host] = _ReportedRange(digest.layouts, now)
            self._announced.pop(host, None)
            self._unreported.pop(host, None)
            return
        reported = self._reported.get(host)
        if reported is not None:
            if now - reported.received_at < REORDER_SECONDS:
                return
            # It has restarted.
            self._reported.pop(host)
            self._announced.pop(host, None)
        self._unreported[host] = now

    def layout_for(self, host: str, now: float) -> int:
        """Return the layout in which to send a digest to a peer."""
        reported = self._reported.get(host)
        if reported is None:
            return self.own.oldest
        if now - reported.received_at > RANGE_LIFETIME_SECONDS:
            return self.own.oldest
        return self.own.common_with(reported.layouts) or self.own.oldest

    def start_announcement(self, host: str, now: float) -> bool:
        """Return whether to announce the own range to a peer, and record it."""
        if self.own.newest == self.own.oldest:
            return False
        if self.layout_for(host, now) != self.own.oldest:
            return False
        latest = self._announced.get(host)
        delay = MIN_ANNOUNCE_SECONDS
        if latest is not None:
            if now - latest.sent_at < latest.delay:
                return False
            delay = min(latest.delay * 2, MAX_ANNOUNCE_SECONDS)
        self._announced[host] = _Announcement(now, delay)
        return True

    def forget_peers(self, hosts: set[str], now: float) -> None:
        """Forget the ranges of all peers except ``hosts``.

        Announcements are kept longer, so that seeds that don't run are not
        sent more of them.
        """
        for by_host in (self._reported, self._unreported):
            for host in by_host.keys() - hosts:
                by_host.pop(host)
        for host, latest in list(self._announced.items()):
            if now - latest.sent_at > 2 * MAX_ANNOUNCE_SECONDS:
                self._announced.pop(host)

    def describe(self, now: float) -> Mapping[str, object]:
        """Return the own range, and the peers by layout, for operators."""
        known = self._reported.keys() | self._unreported.keys()
        used = Counter(self.layout_for(host, now) for host in known)
        return {
            'own': list(self.own),
            'peers_by_layout': {
                str(layout): used[layout] for layout in sorted(used)
            },
            'oldest_peers': self._oldest_peers(now),
            'incompatible_peers': sorted(
                host
                for host, reported in self._reported.items()
                if self.own.common_with(reported.layouts) is None
            ),
        }

    def _oldest_peers(self, now: float) -> Sequence[str]:
        """Return the peers that keep this process from its newest layout."""
        known = self._reported.keys() | self._unreported.keys()
        return sorted(
            host
            for host in known
            if self.layout_for(host, now) < self.own.newest
        )
