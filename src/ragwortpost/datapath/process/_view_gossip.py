"""Gossip of views and liveness between packet-level processes.

In each round a process sends some peers a digest with the version of its view
and the time since that was confirmed. A process that receives a digest with a
higher version pulls the missing changes; readers of the store also push small
changes to all known processes at once. After a restore of the store a process
also pulls views of the earlier era.
"""

import asyncio
import struct
from collections.abc import Callable, Coroutine, Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final

from ragwortpost._datagrams import SendDatagram
from ragwortpost.datapath.connection import RouteKey
from ragwortpost.datapath.process._codec import (
    decode,
    encode,
    layout_of_digest,
)
from ragwortpost.datapath.process._messages import (
    Digest,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeRole
from ragwortpost.datapath.process._reconciliation import (
    PeerView,
    Reconciliation,
)
from ragwortpost.datapath.process._unhandled_errors import origin_of
from ragwortpost.datapath.version import (
    ORIGIN,
    Changes,
    StateVersion,
    decode_changes,
    encode_changes,
)

# Mean interval of gossip rounds. In each, an entry sends digests to all agents
# of its own data centre, and an agent sends one to a random entry.
GOSSIP_INTERVAL_SECONDS: Final = 0.4
# Mean interval while the process has no view. It can neither forward packets
# nor answer lookups then, and after a mass restart its first digests reach
# processes that have no view either.
FIRST_VIEW_INTERVAL_SECONDS: Final = 0.1
# Number of agents of other data centres, and number of entries, to which an
# entry sends digests in each round.
SAMPLE_SIZE: Final = 2
# Largest set of changes that is pushed as one datagram.
MAX_DATAGRAM_BYTES: Final = 1300
# Timeout of a pull, on either side.
PULL_TIMEOUT_SECONDS: Final = 1.0
# Time to wait for a pushed change before it is pulled: readers push changes to
# all processes at once.
PULL_DELAY_SECONDS: Final = 0.15
_LENGTH_BYTES: Final = 4
# The version of the view that a pull requests the changes of.
_VERSION_LAYOUT: Final = struct.Struct('!QQ')
_MS: Final = 1000
_MAX_AGE_MS: Final = 3600000


@dataclass
class LocalStatus:
    """Status of this process in its digests, besides its view."""

    # Whether it reads the store successfully.
    reading: bool = False
    # Whether it is shutting down.
    leaving: bool = False
    # Returns the load of its upstream.
    load: Callable[[], int] = int
    # Returns the milliseconds that its upstream takes for each request.
    pace_ms: Callable[[], int] = int
    # Returns the routes that its upstream has served, while it has no view.
    served_routes: Callable[[], Sequence[RouteKey]] = tuple


class ViewGossip:
    """Sends digests to peers, and pushes, pulls and serves changes."""

    def __init__(
        self,
        context: NodeContext,
    ) -> None:
        """Initialize with the process's context."""
        self._clock = context.clock
        self._settings = context.settings
        self._state = context.state
        self._directory = context.directory
        self._layouts = context.layouts
        self._rng = context.rng
        self._log = context.log
        self._send: SendDatagram | None = None
        self._pull: asyncio.Task[None] | None = None
        self._reconciliation = Reconciliation()
        # The served routes that were last sent to each entry.
        self._informed: dict[str, Sequence[RouteKey]] = {}
        self.local_status: Final = LocalStatus()

    async def open(self, stack: AsyncExitStack, send: SendDatagram) -> None:
        """Serve pulls until ``stack`` closes; send datagrams through ``send``.

        Raises :class:`OSError` if the peer port can't be bound.
        """
        self._send = send
        server = await asyncio.start_server(
            self._serve_changes,
            self._settings.host,
            self._settings.peer_port,
        )
        stack.callback(server.close)

    async def run(self) -> None:
        """Send digests in rounds until cancelled."""
        entries = self._directory.entries(self._clock.monotonic())
        self.send_digest(entries, wants_reply=True)
        while True:
            self.send_digest(self._next_targets(), wants_reply=True)
            interval = GOSSIP_INTERVAL_SECONDS
            if not self._state.revision:
                interval = FIRST_VIEW_INTERVAL_SECONDS
            await asyncio.sleep(interval * self._rng.uniform(0.8, 1.2))
            now = self._clock.monotonic()
            self._directory.expire(now)
            known = set(self._directory.peers)
            self._reconciliation.forget_peers(known)
            self._layouts.forget_peers(known, now)

    def send_digest(self, hosts: Iterable[str], *, wants_reply: bool) -> None:
        """Send a digest to the given processes, to each in its layout."""
        if self._send is None:
            return
        now = self._clock.monotonic()
        digest = self._digest(wants_reply=wants_reply)
        own = self._layouts.own
        encoded: dict[int, bytes] = {}
        for host in hosts:
            layouts = [self._layouts.layout_for(host, now)]
            # Before the first view, most digests only find a peer that has one.
            is_useful = self._state.revision or digest.served_routes
            if is_useful and self._layouts.start_announcement(host, now):
                # The digest in the peer's layout comes last: of several that
                # wait for the budget, only the last one is sent.
                layouts.insert(0, own.newest)
            for layout in layouts:
                if layout not in encoded:
                    encoded[layout] = encode(digest, layout)
                address = (host, self._settings.peer_port)
                self._send(encoded[layout], address)

    def refresh_digest(self, datagram: bytes) -> bytes:
        """Return a digest of the present state in place of an earlier one."""
        match decode(datagram):
            case Digest(wants_reply=wants_reply):
                digest = self._digest(wants_reply=wants_reply)
                return encode(digest, layout_of_digest(datagram))
        return datagram

    def broadcast_digest(self) -> None:
        """Send a digest to every known process."""
        self.send_digest(self._known_hosts(), wants_reply=False)

    def receive(self, message: Digest | Changes, host: str) -> None:
        """Handle a digest or pushed changes from a peer."""
        match message:
            case Digest():
                self._receive_digest(message, host)
            case Changes():
                if not self._state.merge(message, host):
                    self._state.record_report(message.version, host)
                    self._directory.record_version(host, message.version)
                    self._start_pull(self._pull_missing(host))

    def push_changes(self, after: StateVersion) -> None:
        """Send the changes after a version to every known process.

        Changes too large for a datagram are announced by a digest instead.
        """
        if self._send is None:
            return
        datagram = encode(self._state.changes_since(after))
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.broadcast_digest()
            return
        for host in self._known_hosts():
            self._send(datagram, (host, self._settings.peer_port))

    def _receive_digest(self, digest: Digest, host: str) -> None:
        now = self._clock.monotonic()
        # Also send a digest to newly advertised entries: a process that has
        # just started is then in the directories of all entries at once.
        new_entries = self._directory.unknown_entries(digest)
        if new_entries:
            self.send_digest(new_entries, wants_reply=False)
        self._directory.record_digest(host, digest, now)
        self._layouts.record_digest(host, digest, now)
        self._state.record_report(digest.version, host)
        self._state.confirm(digest.version, digest.view_age_ms / _MS)
        match self._reconciliation.compare(
            host, digest, self._state.version, self._state.fingerprint, now
        ):
            case PeerView.AHEAD:
                self._start_pull(self._pull_missing(host))
            case PeerView.DIFFERENT:
                self._start_pull(self._pull_whole(host))
        if digest.wants_reply:
            self.send_digest((host,), wants_reply=False)

    def _digest(self, *, wants_reply: bool) -> Digest:
        now = self._clock.monotonic()
        side = self._settings.upstream_side
        role = NodeRole.AGENT if side else NodeRole.ENTRY
        age = min(self._state.age * _MS, _MAX_AGE_MS)
        recent = tuple(self._directory.recent_entries(now, age=2.0))
        own_address = (self._settings.host,) if side is None else ()
        return Digest(
            wants_reply=wants_reply,
            role=role.value,
            data_centre=self._settings.data_centre,
            service=side.service if side else '',
            version=self._state.version,
            view_age_ms=int(age),
            reading=self.local_status.reading,
            leaving=self.local_status.leaving,
            load=self.local_status.load(),
            entries=recent + own_address,
            pace_ms=self.local_status.pace_ms(),
            fingerprint=self._state.fingerprint,
            layouts=self._layouts.own,
            served_routes=tuple(self.local_status.served_routes()),
        )

    def _next_targets(self) -> Sequence[str]:
        """Return the addresses to send digests to in this round."""
        entries = self._directory.entries(self._clock.monotonic())
        if self._settings.upstream_side is not None:
            return self._uninformed(entries) or self._sample(entries, 1)
        local, remote = [], []
        for upstream in self._state.fleet.upstreams_by_host.values():
            if upstream.data_centre == self._settings.data_centre:
                local.append(upstream.host)
            else:
                remote.append(upstream.host)
        chosen = (
            *local,
            *self._sample(remote, SAMPLE_SIZE),
            *self._sample(entries, SAMPLE_SIZE),
        )
        return tuple(dict.fromkeys(chosen))

    def _uninformed(self, entries: Sequence[str]) -> Sequence[str]:
        """Return the entries to send newly served routes to, and record it."""
        routes = tuple(self.local_status.served_routes())
        if not routes:
            self._informed.clear()
            return ()
        uninformed = [
            entry for entry in entries if self._informed.get(entry) != routes
        ]
        self._informed.update(dict.fromkeys(uninformed, routes))
        return uninformed

    def _sample(self, hosts: Sequence[str], count: int) -> Sequence[str]:
        return self._rng.sample(hosts, min(count, len(hosts)))

    def _known_hosts(self) -> Iterable[str]:
        now = self._clock.monotonic()
        hosts = dict.fromkeys(self._directory.peers)
        hosts.update(dict.fromkeys(self._directory.entries(now)))
        hosts.update(dict.fromkeys(self._state.fleet.upstreams_by_host))
        hosts.pop(self._settings.host, None)
        return hosts

    def _start_pull(self, pull: Coroutine[None, None, None]) -> None:
        if self._pull is not None and not self._pull.done():
            pull.close()
            return
        loop = asyncio.get_running_loop()
        self._pull = loop.create_task(pull)

    async def _pull_missing(self, host: str) -> None:
        """Pull the changes that this process lacks."""
        if self._state.revision:
            # The missing changes have probably been pushed already.
            await asyncio.sleep(PULL_DELAY_SECONDS)
            if self._directory.version_of(host) <= self._state.version:
                return
        await self._pull_changes(host, self._state.version)

    async def _pull_whole(self, host: str) -> None:
        """Pull a view of an earlier era, or one that differs."""
        changes = await self._pull_changes(host, ORIGIN)
        if changes is not None:
            now = self._clock.monotonic()
            own = self._state.version
            self._reconciliation.record_pull(host, own, changes.version, now)

    async def _pull_changes(
        self, host: str, after: StateVersion
    ) -> Changes | None:
        try:
            async with asyncio.timeout(PULL_TIMEOUT_SECONDS):
                message = await self._request_changes(host, after)
        except (OSError, EOFError) as error:
            self._log.write(
                'pull_failed',
                peer=host,
                era=after.era,
                revision=after.revision,
                why=repr(error),
            )
            return None
        decoded = decode_changes(message)
        if decoded.is_err():
            why = repr(decoded.unwrap_err())
            self._log.write('pull_unreadable', peer=host, why=why)
            return None
        changes = decoded.unwrap()
        self._state.merge(changes, host)
        return changes

    async def _request_changes(self, host: str, after: StateVersion) -> bytes:
        async with AsyncExitStack() as stack:
            reader, writer = await asyncio.open_connection(
                host,
                self._settings.peer_port,
            )
            stack.callback(writer.close)
            writer.write(_VERSION_LAYOUT.pack(*after))
            length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES))
            return await reader.readexactly(length)

    async def _serve_changes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        async with AsyncExitStack() as stack:
            stack.callback(writer.close)
            try:
                await self._send_changes(reader, writer)
            except Exception as error:
                # The peer asks another process once the connection is closed.
                self._log.write(
                    'serve_failed', why=repr(error), at=origin_of(error)
                )

    async def _send_changes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        async with asyncio.timeout(PULL_TIMEOUT_SECONDS):
            request = await reader.readexactly(_VERSION_LAYOUT.size)
            after = StateVersion(*_VERSION_LAYOUT.unpack(request))
            message = encode_changes(self._state.changes_since(after))
            writer.write(len(message).to_bytes(_LENGTH_BYTES) + message)
            await writer.drain()
