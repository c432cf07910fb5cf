"""The open connections of an agent, by connection id."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from aioquic.quic.configuration import QuicConfiguration

from ragwortpost._clock import Clock
from ragwortpost.connection import (
    CallerConnection,
    ConnectionIdCodec,
    DatagramSender,
    RequestServer,
    RoutedQuicConnection,
)
from ragwortpost.version import ShortId
from ragwortpost.wire.peer_pb2 import MovedFlow

_NONCE_BYTES: Final = 7


class _ConnectionIds:
    """The ids of one connection: the caller's first and those issued."""

    def __init__(
        self,
        ident: ShortId,
        codec: ConnectionIdCodec,
        random_bytes: Callable[[int], bytes],
    ) -> None:
        self._ident = ident
        self._codec = codec
        self._random_bytes = random_bytes
        self._all_ids: list[bytes] = []
        self._on_add: Callable[[bytes], None] | None = None

    @property
    def all_ids(self) -> Sequence[bytes]:
        return self._all_ids

    def issue(self) -> bytes:
        nonce = self._random_bytes(_NONCE_BYTES)
        connection_id = self._codec.issue(self._ident, nonce)
        self.add(connection_id)
        return connection_id

    def add(self, connection_id: bytes) -> None:
        self._all_ids.append(connection_id)
        if self._on_add is not None:
            self._on_add(connection_id)

    def subscribe(self, on_add: Callable[[bytes], None]) -> None:
        self._on_add = on_add
        for connection_id in self._all_ids:
            on_add(connection_id)


class ConnectionTable:
    """Opens connections and looks them up by connection id."""

    def __init__(
        self,
        clock: Clock,
        ident: ShortId,
        ids: ConnectionIdCodec,
        configuration: QuicConfiguration,
        random_bytes: Callable[[int], bytes],
    ) -> None:
        """Initialize an empty table whose ids encode the upstream ``ident``."""
        self._clock = clock
        self._ident = ident
        self._ids = ids
        self._configuration = configuration
        self._random_bytes = random_bytes
        self._by_id: dict[bytes, CallerConnection] = {}
        self._connections: dict[CallerConnection, _ConnectionIds] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def connections(self) -> Sequence[CallerConnection]:
        """The open connections."""
        return tuple(self._connections)

    def find(self, connection_id: bytes) -> CallerConnection | None:
        """Return the open connection that has an id, if there is one."""
        return self._by_id.get(connection_id)

    def open(
        self,
        original_destination: bytes,
        sender: DatagramSender,
        server: RequestServer,
    ) -> CallerConnection:
        """Open a connection for a caller's Initial packet and start it."""
        connection = self._create(original_destination, sender, server)
        self._start(connection)
        return connection

    def adopt(
        self,
        state: MovedFlow,
        sender: DatagramSender,
        server: RequestServer,
    ) -> CallerConnection:
        """Open a connection from the state that another agent exported."""
        connection = self._create(state.own_ids[0].value, sender, server)
        for own_id in state.own_ids[1:]:
            self._connections[connection].add(own_id.value)
        connection.import_state(state, self._ids.reset_token)
        self._start(connection)
        return connection

    def ids_of(self, connection: CallerConnection) -> Sequence[bytes]:
        """Return all connection ids of a connection."""
        return tuple(self._connections[connection].all_ids)

    def close_all(self, reason: str) -> None:
        """Close all connections without waiting for them to end."""
        for connection in self.connections:
            connection.close(reason)

    async def close(self, reason: str) -> None:
        """Close all connections and wait up to one second for them to end."""
        self.close_all(reason)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1)

    def _create(
        self,
        original_destination: bytes,
        sender: DatagramSender,
        server: RequestServer,
    ) -> CallerConnection:
        connection_ids = _ConnectionIds(
            self._ident, self._ids, self._random_bytes
        )
        quic_connection = RoutedQuicConnection(
            configuration=self._configuration,
            original_destination=original_destination,
            issue_id=connection_ids.issue,
            reset_token=self._ids.reset_token,
        )
        connection = CallerConnection(
            self._clock, quic_connection, sender, server
        )
        self._connections[connection] = connection_ids
        connection_ids.add(original_destination)
        connection_ids.subscribe(
            lambda added_id: self._register(added_id, connection)
        )
        return connection

    def _start(self, connection: CallerConnection) -> None:
        task = asyncio.create_task(connection.run(self._remove))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _register(
        self, connection_id: bytes, connection: CallerConnection
    ) -> None:
        self._by_id[connection_id] = connection

    def _remove(self, connection: CallerConnection) -> None:
        for connection_id in self._connections.pop(connection).all_ids:
            if self._by_id.get(connection_id) is connection:
                self._by_id.pop(connection_id)
