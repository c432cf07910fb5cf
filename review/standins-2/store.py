"""A stand-in for the platform's store, as PROTOCOL.md describes it.

Each machine has an address of its own to reach the store at, so that a test can
cut a machine off from the store: its calls and those in progress stay without
an answer.
"""

import asyncio
import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_SECONDS = 0.004


class Store:
    """Items, their history and a single revision counter."""

    def __init__(self) -> None:
        self.revision = 7
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        # Addresses whose calls get no answer.
        self.cut: set[str] = set()
        # Whether it is down: no call gets an answer and no write is done.
        self.is_down = False
        # Addresses by the time of their last answered call.
        self.answered: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    def put(self, key: str, fields: object) -> None:
        """Write an item; the change is acknowledged when this returns."""
        if self.is_down:
            return
        known = self.items.get(key)
        if known is not None and _differ_in_sequence_only(
            known['fields'], fields
        ):
            known['fields'] = fields
            known['item']['value'] = _encode(fields)
            return
        self.revision += 1
        created = known['item']['created'] if known else self.revision
        item = {
            'key': key,
            'value': _encode(fields),
            'revision': self.revision,
            'created': created,
            'lease': 0,
        }
        self.items[key] = {'fields': fields, 'item': item}
        self._record(dict(item))

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.is_down:
            return
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    async def serve(self, host: str, port: int) -> None:
        """Serve calls at an address."""

        async def handle(reader, writer):
            try:
                await self._serve_connection(host, reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self._servers.append(await asyncio.start_server(handle, host, port))

    def close(self) -> None:
        """Stop serving."""
        for server in self._servers:
            server.close()

    async def _serve_connection(self, host, reader, writer) -> None:
        silent = False
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            target = head.split(b' ', 2)[1].decode()
            status, body = await self._answer(target)
            # A connection that was cut stays silent for good.
            silent = silent or host in self.cut or self.is_down
            if silent:
                continue
            self.answered[host] = asyncio.get_running_loop().time()
            text = json.dumps(body).encode()
            writer.write(
                b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n' % (status, len(text))
                + text
            )
            await writer.drain()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        await asyncio.sleep(ANSWER_SECONDS)
        match parts.path:
            case '/-/kv-key':
                known = self.items.get(query['key'])
                if known is None:
                    return 404, {'storeRevision': self.revision}
                return 200, {
                    **known['item'],
                    'storeRevision': self.revision,
                }
            case '/-/kv-range':
                return 200, self._page(query)
            case '/-/kv-watch':
                return await self._watch(query)
        return 404, {}

    def _page(self, query: dict) -> dict:
        page: list[dict] = []
        size = 0
        has_more = False
        for key in sorted(self.items):
            if not key.startswith(query.get('prefix', '')):
                continue
            if key <= query.get('after', ''):
                continue
            item = self.items[key]['item']
            if page and (
                len(page) >= PAGE_ITEMS
                or size + len(item['value']) > PAGE_BYTES
            ):
                has_more = True
                break
            page.append(item)
            size += len(item['value'])
        return {
            'items': page,
            'hasMore': has_more,
            'storeRevision': self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after, prefix = int(query['after']), query.get('prefix', '')
        if after > self.revision:
            return 410, {'storeRevision': self.revision}
        try:
            async with asyncio.timeout(int(query['waitMs']) / 1000):
                while not self._events(after, prefix):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return 200, {
            'events': self._events(after, prefix),
            'storeRevision': self.revision,
        }

    def _events(self, after: int, prefix: str) -> list[dict]:
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def _record(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _encode(fields: object) -> str:
    return b64encode(json.dumps(fields).encode()).decode()


def _differ_in_sequence_only(known: object, fields: object) -> bool:
    if not isinstance(known, dict) or not isinstance(fields, dict):
        return False
    if 'sequence' not in fields:
        return False
    return {**known, 'sequence': 0} == {**fields, 'sequence': 0}
