"""Stand-in for the platform's store: items, watches and fault modes."""

import asyncio
import json
import random
from base64 import b64decode, b64encode
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web


class FaultMode(Enum):
    """How the store handles calls."""

    HEALTHY = 'well'
    # Calls fail with status 503.
    UNAVAILABLE = 'busy'
    # Calls are delayed by a minute, so that clients time out.
    UNRESPONSIVE = 'silent'


@dataclass(frozen=True)
class Backup:
    """A copy of the items at a revision."""

    revision: int
    items: dict[str, dict[str, object]]


@dataclass
class Store:
    """Items and their history, with a single revision counter."""

    # Number of restores, sent in the header ``Store-Era``.
    era: int = 0
    # The latest backups, oldest first.
    backups: list[Backup] = field(default_factory=list)

    revision: int = 1
    items: dict[str, dict[str, object]] = field(default_factory=dict)
    history: list[dict[str, object]] = field(default_factory=list)
    # Revision up to which the history was dropped.
    compacted_revision: int = 0
    # Calls received; a completed watch counts twice.
    calls: int = 0
    fault_mode: FaultMode = FaultMode.HEALTHY
    # Share of responses that are lost; a connection on which a response was
    # lost returns nothing further.
    loss: float = 0
    loss_choices: random.Random = field(
        default_factory=lambda: random.Random(1)
    )
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, fields: object) -> int:
        """Write an item and return its new revision."""
        encoded = json.dumps(fields).encode()
        existing = self.items.get(key)
        if existing and _differ_in_sequence_only(existing['value'], fields):
            value = b64encode(encoded).decode()
            self.items[key] = {**existing, 'value': value}
            return self.revision
        return self.put_bytes(key, encoded)

    def put_bytes(self, key: str, encoded: bytes) -> int:
        """Write an item of any bytes and return its new revision."""
        value = b64encode(encoded).decode()
        existing = self.items.get(key)
        self.revision += 1
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': existing['created'] if existing else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._record_event(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record_event(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )

    def drop_history(self) -> None:
        """Drop the history: watches from older revisions fail with 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        self._notify_watchers()

    def back_up(self) -> None:
        """Keep a copy of the items; only the two latest are kept."""
        backup = Backup(self.revision, dict(self.items))
        self.backups = [*self.backups[-1:], backup]

    def restore(self, backup: Backup) -> None:
        """Return to a backup; revisions after it are assigned again."""
        self.era += 1
        self.revision = backup.revision
        self.items = dict(backup.items)
        self.history.clear()
        self.compacted_revision = backup.revision
        self._notify_watchers()

    async def serve(self, stack: AsyncExitStack, host: str, port: int) -> None:
        """Serve calls until ``stack`` is closed."""
        app = web.Application()
        app.router.add_get('/-/kv-key', self.handle_key)
        app.router.add_get('/-/kv-range', self.handle_range)
        app.router.add_get('/-/kv-watch', self.handle_watch)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, port).start()

    async def handle_key(self, request: web.Request) -> web.Response:
        """Return an item."""
        await self._apply_fault()
        await self._lose_response()
        item = self.items.get(request.query['key'])
        status = 404 if item is None else 200
        return self._json({**(item or {})}, status)

    async def handle_range(self, request: web.Request) -> web.Response:
        """Return all items with a prefix, as a single page."""
        await self._apply_fault()
        await self._lose_response()
        prefix = request.query['prefix']
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > request.query.get('after', '')
        ]
        return self._json({'items': items, 'hasMore': False})

    async def handle_watch(self, request: web.Request) -> web.Response:
        """Return events after a revision, waiting up to ``waitMs`` for one."""
        await self._apply_fault()
        after = int(request.query['after'])
        era = self.era
        try:
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                while (
                    self.era == era
                    and self.compacted_revision <= after
                    and self.revision <= after
                ):
                    await self.changed.wait()
        except TimeoutError:
            await self._lose_response()
            return self._json({'events': []})
        await self._apply_fault()
        await self._lose_response()
        if after < self.compacted_revision or after > self.revision:
            raise web.HTTPGone(headers=self._headers)
        events = [
            event for event in self.history if self._is_after(event, after)
        ]
        return self._json({'events': events})

    @property
    def _headers(self) -> dict[str, str]:
        return {'Store-Era': str(self.era)}

    def _is_after(self, event: dict[str, object], revision: int) -> bool:
        event_revision = event['revision']
        return isinstance(event_revision, int) and event_revision > revision

    async def _apply_fault(self) -> None:
        self.calls += 1
        if self.fault_mode is FaultMode.UNAVAILABLE:
            raise web.HTTPServiceUnavailable(headers=self._headers)
        if self.fault_mode is FaultMode.UNRESPONSIVE:
            await asyncio.sleep(60)

    async def _lose_response(self) -> None:
        if self.loss_choices.random() < self.loss:
            await asyncio.Event().wait()

    def _record_event(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
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
            headers=self._headers,
        )


def _differ_in_sequence_only(value: object, fields: object) -> bool:
    """Return whether a write changes no more than an upstream's sequence."""
    try:
        known = json.loads(b64decode(str(value)))
    except (ValueError, RecursionError):
        return False
    if not isinstance(known, dict) or not isinstance(fields, dict):
        return False
    if 'sequence' not in fields or known == fields:
        return False
    return {**known, 'sequence': fields['sequence']} == fields
