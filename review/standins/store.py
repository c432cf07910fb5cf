"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
import random
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

PAGE = 500


class Connection:
    """One connection of a machine."""

    def __init__(self, machine: str, writer: asyncio.StreamWriter) -> None:
        self.machine = machine
        self.writer = writer
        # An answer was lost on it: it returns nothing further.
        self.silent = False


class Store:
    """Items, their history and watches; each machine has its own port."""

    def __init__(self, log, seed: int) -> None:
        self.log = log
        self.random = random.Random(seed)
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.fields: dict[str, object] = {}
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self.connections: set[Connection] = set()
        # Share of the answers that are lost.
        self.loss = 0.0
        # Machines that the store turns away, and how: 'silent' or 'busy'.
        self.turned_away: dict[str, str] = {}
        # The store is down for all: None, 'silent' or 'busy'.
        self.down: str | None = None
        self.calls = 0
        self.lost_answers = 0

    # -- writers ---------------------------------------------------------

    def accepts(self, machine: str) -> bool:
        """Whether a writer on a machine reaches the store now."""
        return self.down is None and machine not in self.turned_away

    def put(self, key: str, fields: object, raw: bytes | None = None) -> int:
        """Write an item; one that differs in ``sequence`` only keeps its revision."""
        value = json.dumps(fields).encode() if raw is None else raw
        known = self.items.get(key)
        item = {
            'key': key, 'value': b64encode(value).decode(), 'lease': 0,
            'revision': self.revision, 'created': self.revision,
        }
        if known is not None and self._same_but_sequence(key, fields):
            self.items[key] = {**item, 'revision': known['revision'], 'created': known['created']}
            self.fields[key] = fields
            return known['revision']
        self.revision += 1
        item['revision'] = self.revision
        item['created'] = known['created'] if known else self.revision
        self.items[key] = item
        self.fields[key] = fields
        self._add_event(item)
        return self.revision

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.fields.pop(key, None)
        self.revision += 1
        self._add_event({'key': key, 'revision': self.revision, 'tombstone': True})

    def _same_but_sequence(self, key: str, fields: object) -> bool:
        known = self.fields.get(key)
        if not (isinstance(known, dict) and isinstance(fields, dict)):
            return False
        if 'sequence' not in fields:
            return False
        return {**known, 'sequence': 0} == {**fields, 'sequence': 0}

    def _add_event(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    # -- readers ---------------------------------------------------------

    async def serve(self, stack, host: str, port: int, machine: str) -> None:
        async def handle(reader, writer):
            await self._connection(machine, reader, writer)
        server = await asyncio.start_server(handle, host, port)
        stack.callback(server.close)

    async def _connection(self, machine, reader, writer) -> None:
        connection = Connection(machine, writer)
        self.connections.add(connection)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.calls += 1
                target = head.split(b' ', 2)[1].decode()
                if connection.silent:
                    continue
                await self._call(connection, target)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def _trouble(self, connection: Connection) -> str | None:
        return self.down or self.turned_away.get(connection.machine)

    async def _call(self, connection: Connection, target: str) -> None:
        trouble = self._trouble(connection)
        if trouble == 'silent':
            connection.silent = True
            return
        if trouble == 'busy':
            await self._answer(connection, 503, {'error': 'busy'})
            return
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == '/-/kv-key':
            item = self.items.get(query['key'])
            body = {**(item or {}), 'storeRevision': self.revision}
            await self._answer(connection, 200 if item else 404, body)
        elif parts.path == '/-/kv-range':
            await self._answer(connection, 200, self._range(query))
        elif parts.path == '/-/kv-watch':
            body = await self._watch(query)
            if self._trouble(connection) == 'silent':
                connection.silent = True
                return
            await self._answer(connection, 200, body)
        else:
            await self._answer(connection, 404, {'error': 'no such call'})

    def _range(self, query) -> dict:
        after = query.get('after', '')
        keys = [
            key for key in sorted(self.items)
            if key.startswith(query.get('prefix', '')) and key > after
        ]
        return {
            'items': [self.items[key] for key in keys[:PAGE]],
            'hasMore': len(keys) > PAGE,
            'storeRevision': self.revision,
        }

    async def _watch(self, query) -> dict:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        loop = asyncio.get_running_loop()
        ends = loop.time() + int(query['waitMs']) / 1000
        while True:
            events = [
                event for event in self.history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = ends - loop.time()
            if events or left <= 0:
                return {'events': events, 'storeRevision': self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    async def _answer(self, connection: Connection, status: int, body: dict) -> None:
        if self.loss and self.random.random() < self.loss:
            self.lost_answers += 1
            connection.silent = True
            self.log('store', f'answer to {connection.machine} lost')
            return
        text = json.dumps(body).encode()
        head = (
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Store-Era: 0\r\nContent-Length: {len(text)}\r\n\r\n'
        )
        connection.writer.write(head.encode() + text)
        await connection.writer.drain()
