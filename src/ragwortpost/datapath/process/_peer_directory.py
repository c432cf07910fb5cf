"""The other processes of the system, as far as this one has heard of them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.process._messages import (
    Digest,
)
from ragwortpost.datapath.process._node_settings import NodeRole

# Seconds after which a process that was not heard of is forgotten.
FORGET_SECONDS: Final = 30.0
# Seconds after which a process that did not answer is worth another try.
UNANSWERED_SECONDS: Final = 0.5
# Seconds for which an entry that others name is worth a try.
HEARSAY_SECONDS: Final = 5.0
_MS: Final = 1000


@dataclass(slots=True)
class Peer:
    """What one process last said."""

    # Its last digest.
    digest: Digest
    # The highest revision that its view was known to have.
    revision: int
    # Monotonic seconds of the last sign of life.
    heard: float
    # Monotonic seconds of the last digest.
    told: float
    # Requests at hand at its upstream, with flows placed there since.
    load: float
    # Monotonic seconds of the last report of its load, or of a flow placed.
    reported: float


class PeerDirectory:
    """Processes by address."""

    def __init__(self, host: str, seeds: Sequence[str]) -> None:
        """Start with the seeds, of which nothing is known yet."""
        self._host = host
        self._seeds: Sequence[str] = ()
        self.use_seeds(seeds)
        self._peers: dict[str, Peer] = {}
        self._named: dict[str, float] = {}
        self._unanswered: dict[str, float] = {}
        self._attempts: dict[str, float] = {}

    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses that are tried before others are known."""
        self._seeds = tuple(seed for seed in seeds if seed != self._host)

    @property
    def peers(self) -> dict[str, Peer]:
        """All processes heard of, by address."""
        return self._peers

    def note_digest(self, host: str, digest: Digest, now: float) -> None:
        """Take in what a process says of itself."""
        self._attempts.pop(host, None)
        known = self._peers.get(host)
        if known is None:
            self._peers[host] = Peer(
                digest,
                digest.revision,
                now,
                now,
                digest.load,
                now,
            )
        else:
            known.digest = digest
            known.revision = digest.revision
            known.heard = now
            known.told = now
            known.load = digest.load
            known.reported = now
        for entry in digest.entries:
            if entry != self._host:
                self._named[entry] = now

    def note_revision(self, host: str, revision: int) -> None:
        """Note that a process's view has reached a revision."""
        peer = self._peers.get(host)
        if peer is not None and peer.revision < revision:
            peer.revision = revision

    def revision_of(self, host: str) -> int:
        """Return the revision of a process's view, zero if unknown."""
        peer = self._peers.get(host)
        return peer.revision if peer else 0

    def unknown_entries(self, digest: Digest) -> Sequence[str]:
        """Return the entries that a digest names and nobody did before."""
        return [
            entry
            for entry in digest.entries
            if entry not in self._named and entry != self._host
        ]

    def note_sign(self, host: str, now: float) -> None:
        """Note that a process lives."""
        self._attempts.pop(host, None)
        peer = self._peers.get(host)
        if peer is not None:
            peer.heard = now

    def note_unanswered(self, host: str, now: float) -> None:
        """Note that a process did not answer in time."""
        self._unanswered[host] = now

    def is_unanswering(self, host: str, now: float) -> bool:
        """Return whether a process lately failed to answer, to the last."""
        failed = self._unanswered.get(host)
        if failed is None or now - failed > UNANSWERED_SECONDS:
            return False
        peer = self._peers.get(host)
        return peer is None or peer.heard < failed

    def is_attempted(self, host: str, now: float) -> bool:
        """Return whether a new flow was just sent to a process.

        False once the process was heard of again.
        """
        sent = self._attempts.get(host)
        return sent is not None and now - sent < UNANSWERED_SECONDS

    def note_load(self, host: str, load: float, now: float) -> None:
        """Note the load that a process reports."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.load = load
            peer.reported = now

    def add_load(self, host: str, now: float) -> None:
        """Count a flow placed at a process until its next report."""
        self._attempts[host] = now
        peer = self._peers.get(host)
        if peer is not None:
            peer.load += 1
            peer.reported = now

    def entries(self, now: float) -> Sequence[str]:
        """Return the addresses of the other entries that may be alive."""
        heard = {
            host: None
            for host, peer in self._peers.items()
            if peer.digest.role == NodeRole.ENTRY.value
        }
        for host, named in self._named.items():
            if now - named < HEARSAY_SECONDS:
                heard[host] = None
        heard.update(dict.fromkeys(self._seeds))
        return tuple(heard)

    def fresh_entries(self, now: float, age: float) -> Iterable[str]:
        """Yield the entries heard within ``age`` seconds."""
        for host, peer in self._peers.items():
            if peer.digest.role != NodeRole.ENTRY.value:
                continue
            if now - peer.heard < age:
                yield host

    def expire(self, now: float) -> None:
        """Forget processes that were silent for long."""
        for host, peer in list(self._peers.items()):
            if now - peer.heard > FORGET_SECONDS:
                self._peers.pop(host)
        for moments in (self._named, self._unanswered, self._attempts):
            for host, moment in list(moments.items()):
                if now - moment > FORGET_SECONDS:
                    moments.pop(host)
