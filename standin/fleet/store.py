"""The platform's store: items, watches, history, and its bad moods."""

import asyncio
import json
from base64 import b64encode
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web


class Mood(Enum):
    """How the store treats calls."""

    WELL = 'well'
    BUSY = 'busy'
    SILENT = 'silent'


@dataclass
class Store:
    """The items with one revision counter."""

    revision: int = 1
    items: dict[str, dict[str, object]] = field(default_factory=dict)
    history: list[dict[str, object]] = field(default_factory=list)
    floor: int = 0
    calls: int = 0
    mood: Mood = Mood.WELL
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, fields: object) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        value = b64encode(json.dumps(fields).encode()).decode()
        known = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({'key': key, 'revision': self.revision, 'tombstone': True})

    def forget_history(self) -> None:
        """Drop what watches would need to go on; those that wait are cut."""
        self.floor = self.revision
        self.history.clear()
        self._wake()

    async def serve(self, stack: AsyncExitStack, host: str, port: int) -> None:
        """Answer calls until ``stack`` closes."""
        app = web.Application()
        app.router.add_get('/-/kv-key', self.handle_key)
        app.router.add_get('/-/kv-range', self.handle_range)
        app.router.add_get('/-/kv-watch', self.handle_watch)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, port).start()

    async def handle_key(self, request: web.Request) -> web.Response:
        """Answer a read of one item."""
        await self._suffer()
        item = self.items.get(request.query['key'])
        status = 404 if item is None else 200
        return self._json({**(item or {})}, status)

    async def handle_range(self, request: web.Request) -> web.Response:
        """Answer a read of many items; all fit one page."""
        await self._suffer()
        prefix = request.query['prefix']
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > request.query.get('after', '')
        ]
        return self._json({'items': items, 'hasMore': False})

    async def handle_watch(self, request: web.Request) -> web.Response:
        """Answer once something changed after a revision, or in the end."""
        await self._suffer()
        after = int(request.query['after'])
        try:
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                while self.floor <= after and self.revision <= after:
                    await self.changed.wait()
        except TimeoutError:
            return self._json({'events': []})
        await self._suffer()
        if after < self.floor:
            raise web.HTTPGone
        events = [one for one in self.history if self._is_after(one, after)]
        return self._json({'events': events})

    def _is_after(self, event: dict[str, object], revision: int) -> bool:
        number = event['revision']
        return isinstance(number, int) and number > revision

    async def _suffer(self) -> None:
        self.calls += 1
        if self.mood is Mood.BUSY:
            raise web.HTTPServiceUnavailable
        if self.mood is Mood.SILENT:
            await asyncio.sleep(60)

    def _note(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _json(
        self,
        fields: dict[str, object],
        status: int = 200,
    ) -> web.Response:
        return web.json_response(
            {**fields, 'storeRevision': self.revision},
            status=status,
        )
