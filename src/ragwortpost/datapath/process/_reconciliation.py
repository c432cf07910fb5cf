"""Decides what to do about the version in a peer's digest.

A view of an earlier era may contain what its process saw before a restore of
the store, such as an upstream that left. Views of the same version may differ
for the same reason. Both are pulled whole, at a limited rate.
"""

from enum import Enum
from typing import Final

from ragwortpost.datapath.process._messages import Digest
from ragwortpost.datapath.version import StateVersion

# Minimum time between two pulls of a view that differs from this process's view
# at the same version.
RECONCILE_SECONDS: Final = 1.0


class PeerView(Enum):
    """A peer's view compared with the view of this process."""

    # It has changes that this one lacks.
    AHEAD = 'ahead'
    # It may have knowledge that this one lacks.
    DIFFERENT = 'different'
    # It has nothing that this one lacks.
    KNOWN = 'known'


class Reconciliation:
    """Remembers which views were pulled to learn what their processes saw."""

    def __init__(self) -> None:
        """Start without any pull."""
        # The era of this process and of the peer at its last pull, by host.
        self._learned: dict[str, tuple[int, int]] = {}
        self._last_pull = float('-inf')

    def compare(
        self,
        host: str,
        digest: Digest,
        version: StateVersion,
        fingerprint: int,
        now: float,
    ) -> PeerView:
        """Compare the view of a digest with the view of this process."""
        if digest.version > version:
            return PeerView.AHEAD
        if digest.version.era < version.era:
            eras = (version.era, digest.version.era)
            is_new = digest.version.revision and self._learned.get(host) != eras
        else:
            is_new = (
                digest.version == version
                and digest.fingerprint != fingerprint
                and now - self._last_pull >= RECONCILE_SECONDS
            )
        return PeerView.DIFFERENT if is_new else PeerView.KNOWN

    def record_pull(
        self, host: str, own: StateVersion, pulled: StateVersion, now: float
    ) -> None:
        """Record that the whole view of a peer was pulled."""
        self._last_pull = now
        if pulled.era < own.era:
            self._learned[host] = (own.era, pulled.era)

    def forget_peers(self, hosts: set[str]) -> None:
        """Forget the pulls from all peers except ``hosts``."""
        for host in self._learned.keys() - hosts:
            self._learned.pop(host)
