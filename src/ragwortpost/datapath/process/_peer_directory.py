"""The other packet-level processes, as known from their messages."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection import RouteKey
from ragwortpost.datapath.process._messages import (
    Digest,
)
from ragwortpost.datapath.process._node_settings import NodeRole
from ragwortpost.datapath.version import ORIGIN, StateVersion

# A process without a digest or reply for this time is removed.
FORGET_AFTER_SECONDS: Final = 30.0
# Time after which a process that did not reply is tried again.
RETRY_AFTER_SECONDS: Final = 0.5
# An entry is contacted for this time after a digest has advertised it.
ADVERTISED_SECONDS: Final = 5.0
_MS: Final = 1000
# Read once: access to the value of an enumeration member is slow.
_ENTRY_ROLE: Final = NodeRole.ENTRY.value


@dataclass(slots=True)
class Peer:
    """State of another process, from its messages."""

    # Its latest digest.
    digest: Digest
    # Highest version that its view is known to have reached.
    version: StateVersion
    # Monotonic time of its last digest or reply, in seconds.
    last_received_at: float
    # Monotonic time of its last digest, in seconds.
    last_digest_at: float
    # Reported load of its upstream, with the flows assigned to it since.
    load: float
    # Seconds that its upstream takes for each request, zero if unknown.
    pace: float
    # Monotonic time of the last load report or assigned flow, in seconds.
    load_updated_at: float


class PeerDirectory:
    """Known processes, by address."""

    def __init__(self, host: str, seeds: Sequence[str]) -> None:
        """Initialize with the process's own address and the seeds."""
        self._host = host
        self._seeds: Sequence[str] = ()
        self.replace_seeds(seeds)
        self._peers: dict[str, Peer] = {}
        self._advertised: dict[str, float] = {}
        self._timed_out: dict[str, float] = {}
        self._last_attempts: dict[str, float] = {}
        self._load_listeners: list[Callable[[str], None]] = []

    def subscribe_loads(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the address of a process on a load change."""
        self._load_listeners.append(listener)

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses to contact before any digest arrives."""
        self._seeds = tuple(seed for seed in seeds if seed != self._host)

    @property
    def peers(self) -> dict[str, Peer]:
        """All processes that sent a digest, by address."""
        return self._peers

    def record_digest(self, host: str, digest: Digest, now: float) -> None:
        """Record a digest and the entries that it advertises."""
        self._last_attempts.pop(host, None)
        known = self._peers.get(host)
        if known is None:
            self._peers[host] = Peer(
                digest,
                digest.version,
                now,
                now,
                digest.load,
                digest.pace_ms / _MS,
                now,
            )
        else:
            known.digest = digest
            known.version = digest.version
            known.last_received_at = now
            known.last_digest_at = now
            known.load = digest.load
            known.pace = digest.pace_ms / _MS
            known.load_updated_at = now
        self._notify_load(host)
        for entry in digest.entries:
            if entry != self._host:
                self._advertised[entry] = now

    def record_version(self, host: str, version: StateVersion) -> None:
        """Record that a process's view has reached a version."""
        peer = self._peers.get(host)
        if peer is not None and peer.version < version:
            peer.version = version

    def version_of(self, host: str) -> StateVersion:
        """Return the version of a process's view, the origin if unknown."""
        peer = self._peers.get(host)
        return peer.version if peer else ORIGIN

    def services_of(self, route: RouteKey) -> Sequence[str]:
        """Return the services whose agents report that they serve a route."""
        services = (
            peer.digest.service
            for peer in self._peers.values()
            if route in peer.digest.served_routes
        )
        return tuple(dict.fromkeys(services))

    def unknown_entries(self, digest: Digest) -> Sequence[str]:
        """Return a digest's entries that no recent digest has advertised.

        The process itself is left out.
        """
        return [
            entry
            for entry in digest.entries
            if entry not in self._advertised and entry != self._host
        ]

    def record_activity(self, host: str, now: float) -> None:
        """Record that a reply of a process arrived."""
        self._last_attempts.pop(host, None)
        peer = self._peers.get(host)
        if peer is not None:
            peer.last_received_at = now

    def record_timeout(self, host: str, now: float) -> None:
        """Record that a process did not reply in time."""
        self._timed_out[host] = now

    def has_timed_out(self, host: str, now: float) -> bool:
        """Return whether the last expected reply timed out recently.

        Any later digest or reply clears the timeout.
        """
        timed_out_at = self._timed_out.get(host)
        if timed_out_at is None or now - timed_out_at > RETRY_AFTER_SECONDS:
            return False
        peer = self._peers.get(host)
        return peer is None or peer.last_received_at < timed_out_at

    def has_recent_attempt(self, host: str, now: float) -> bool:
        """Return whether a new flow was just assigned to a process.

        Any later digest or reply clears the attempt.
        """
        attempted_at = self._last_attempts.get(host)
        return (
            attempted_at is not None
            and now - attempted_at < RETRY_AFTER_SECONDS
        )

    def record_load(
        self, host: str, load: float, now: float, *, pace_ms: float = 0
    ) -> None:
        """Record the load and the pace that a process reports."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.load = load
            peer.pace = pace_ms / _MS
            peer.load_updated_at = now
            self._notify_load(host)

    def count_assigned_flow(self, host: str, now: float) -> None:
        """Add a new flow to a process's load until its next report."""
        self._last_attempts[host] = now
        peer = self._peers.get(host)
        if peer is not None:
            peer.load += 1
            peer.load_updated_at = now
        self._notify_load(host)

    def entries(self, now: float) -> Sequence[str]:
        """Return the addresses of other entries that may be running."""
        addresses = {
            host: None
            for host, peer in self._peers.items()
            if peer.digest.role == _ENTRY_ROLE
        }
        for host, advertised_at in self._advertised.items():
            if now - advertised_at < ADVERTISED_SECONDS:
                addresses[host] = None
        addresses.update(dict.fromkeys(self._seeds))
        return tuple(addresses)

    def recent_entries(self, now: float, age: float) -> Iterable[str]:
        """Yield the entries that sent a digest within ``age`` seconds."""
        for host, peer in self._peers.items():
            if peer.digest.role != _ENTRY_ROLE:
                continue
            if now - peer.last_received_at < age:
                yield host

    def expire(self, now: float) -> None:
        """Remove processes without recent messages, and old timestamps."""
        for host, peer in list(self._peers.items()):
            if now - peer.last_received_at > FORGET_AFTER_SECONDS:
                self._peers.pop(host)
        for timestamps in (
            self._advertised,
            self._timed_out,
            self._last_attempts,
        ):
            for host, timestamp in list(timestamps.items()):
                if now - timestamp > FORGET_AFTER_SECONDS:
                    timestamps.pop(host)

    def _notify_load(self, host: str) -> None:
        for listener in self._load_listeners:
            listener(host)
