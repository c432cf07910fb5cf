"""The other processes of the system, as far as this one has heard of them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.process._messages import (
    Digest,
)
from ragwortpost.datapath.process._node_settings import NodeRole

# Seconds after which a process that was not heard of is forgotten.
FORGET_AFTER_SECONDS: Final = 30.0
# Seconds after which a process that did not answer is worth another try.
RETRY_AFTER_SECONDS: Final = 0.5
# Seconds for which an entry that others name is worth a try.
ADVERTISED_SECONDS: Final = 5.0
_MS: Final = 1000


@dataclass(slots=True)
class Peer:
    """What one process last said."""

    # Its last digest.
    digest: Digest
    # The highest revision that its view was known to have.
    revision: int
    # Monotonic seconds of the last sign of life.
    last_received: float
    # Monotonic seconds of the last digest.
    last_digest: float
    # Requests at hand at its upstream, with flows placed there since.
    load: float
    # Monotonic seconds of the last report of its load, or of a flow placed.
    last_load_report: float


class PeerDirectory:
    """Processes by address."""

    def __init__(self, host: str, seeds: Sequence[str]) -> None:
        """Start with the seeds, of which nothing is known yet."""
        self._host = host
        self._seeds: Sequence[str] = ()
        self.replace_seeds(seeds)
        self._peers: dict[str, Peer] = {}
        self._advertised: dict[str, float] = {}
        self._timed_out: dict[str, float] = {}
        self._last_attempts: dict[str, float] = {}

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses that are tried before others are known."""
        self._seeds = tuple(seed for seed in seeds if seed != self._host)

    @property
    def peers(self) -> dict[str, Peer]:
        """All processes heard of, by address."""
        return self._peers

    def record_digest(self, host: str, digest: Digest, now: float) -> None:
        """Take in what a process says of itself."""
        self._last_attempts.pop(host, None)
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
            known.last_received = now
            known.last_digest = now
            known.load = digest.load
            known.last_load_report = now
        for entry in digest.entries:
            if entry != self._host:
                self._advertised[entry] = now

    def record_revision(self, host: str, revision: int) -> None:
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
            if entry not in self._advertised and entry != self._host
        ]

    def record_activity(self, host: str, now: float) -> None:
        """Note that a process lives."""
        self._last_attempts.pop(host, None)
        peer = self._peers.get(host)
        if peer is not None:
            peer.last_received = now

    def record_timeout(self, host: str, now: float) -> None:
        """Note that a process did not answer in time."""
        self._timed_out[host] = now

    def has_timed_out(self, host: str, now: float) -> bool:
        """Return whether a process lately failed to answer."""
        timed_out_at = self._timed_out.get(host)
        if timed_out_at is None or now - timed_out_at > RETRY_AFTER_SECONDS:
            return False
        peer = self._peers.get(host)
        return peer is None or peer.last_received < timed_out_at

    def has_recent_attempt(self, host: str, now: float) -> bool:
        """Return whether a new flow was just sent to a process.

        False once the process was heard of again.
        """
        attempted_at = self._last_attempts.get(host)
        return (
            attempted_at is not None
            and now - attempted_at < RETRY_AFTER_SECONDS
        )

    def record_load(self, host: str, load: float, now: float) -> None:
        """Note the load that a process reports."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.load = load
            peer.last_load_report = now

    def count_assigned_flow(self, host: str, now: float) -> None:
        """Count a flow placed at a process until its next report."""
        self._last_attempts[host] = now
        peer = self._peers.get(host)
        if peer is not None:
            peer.load += 1
            peer.last_load_report = now

    def entries(self, now: float) -> Sequence[str]:
        """Return the addresses of the other entries that may be alive."""
        addresses = {
            host: None
            for host, peer in self._peers.items()
            if peer.digest.role == NodeRole.ENTRY.value
        }
        for host, advertised_at in self._advertised.items():
            if now - advertised_at < ADVERTISED_SECONDS:
                addresses[host] = None
        addresses.update(dict.fromkeys(self._seeds))
        return tuple(addresses)

    def recent_entries(self, now: float, age: float) -> Iterable[str]:
        """Yield the entries heard within ``age`` seconds."""
        for host, peer in self._peers.items():
            if peer.digest.role != NodeRole.ENTRY.value:
                continue
            if now - peer.last_received < age:
                yield host

    def expire(self, now: float) -> None:
        """Forget processes that were silent for long."""
        for host, peer in list(self._peers.items()):
            if now - peer.last_received > FORGET_AFTER_SECONDS:
                self._peers.pop(host)
        for timestamps in (
            self._advertised,
            self._timed_out,
            self._last_attempts,
        ):
            for host, timestamp in list(timestamps.items()):
                if now - timestamp > FORGET_AFTER_SECONDS:
                    timestamps.pop(host)
