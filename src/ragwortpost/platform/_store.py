"""Reads the platform's store."""

import json
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final
from urllib.parse import urlencode

import httptools
from result import Err, Ok, Result

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process import HistoryLost, StoreError
from ragwortpost.datapath.version import Changes, Record
from ragwortpost.platform._http_client import HttpConnection, HttpResponse
from ragwortpost.platform._item_decoder import (
    CONFIGURATION_KEY,
    UnusableItemError,
    decode_item,
)

_logger = logging.getLogger('ragwortpost')
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_MS_PER_SECOND: Final = 1000
# Seconds for a call that the store answers at once.
_CALL_SECONDS: Final = 1.5
# Every key of the store begins with this.
_ALL_KEYS: Final = ''

_Fields = Mapping[str, Any]


class PlatformStore:
    """The store, read through two connections.

    One of them is held by the watch that waits, the other serves all calls
    that are answered at once.
    """

    def __init__(self, address: HostPort) -> None:
        """Prepare; nothing is opened before the first call."""
        self._call_connection = HttpConnection(address)
        self._watch_connection = HttpConnection(address)
        self._call_count = 0

    @property
    def calls(self) -> int:
        """Calls made so far, a watch counting as one."""
        return self._call_count

    async def read_all(self, *, stale: bool) -> Result[Changes, StoreError]:
        """Return the whole state; a stale one is cheap and may be old."""
        records: list[Record] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': _ALL_KEYS, 'after': after, 'staleOk': int(stale)}
            match await self._call_json(
                self._call_connection, 'kv-range', query
            ):
                case Err(problem):
                    return Err(problem)
                case Ok(fields):
                    # Later pages are newer; the first revision is the one
                    # after which nothing is missing.
                    revision = revision or fields['storeRevision']
                    records.extend(_records(fields['items']))
            if not fields['hasMore']:
                return Ok(Changes(0, revision, tuple(records)))
            after = fields['items'][-1]['key']

    async def watch(
        self,
        revision: int,
        seconds: float,
    ) -> Result[Changes, StoreError | HistoryLost]:
        """Return what changed after a revision, once anything did.

        Returns no records if nothing changed for ``seconds``.
        """
        query = {
            'prefix': _ALL_KEYS,
            'after': revision,
            'waitMs': int(seconds * _MS_PER_SECOND),
        }
        response = await self._get(
            self._watch_connection, 'kv-watch', query, seconds
        )
        match response.and_then(_decode):
            case Err(StoreError(status=status)) if status == _GONE:
                return Err(HistoryLost(revision))
            case Err(problem):
                return Err(problem)
            case Ok(fields):
                reached = fields['storeRevision']
                records = tuple(_records(fields['events']))
                return Ok(Changes(revision, reached, records))

    async def probe(self) -> Result[int, StoreError]:
        """Return the revision of a cheap read, which may be outdated."""
        query = {'key': CONFIGURATION_KEY, 'staleOk': 1}
        match await self._call_json(self._call_connection, 'kv-key', query):
            case Ok(fields):
                revision: int = fields.get('storeRevision', 0)
                return Ok(revision)
            case Err(StoreError(status=status)) if status == _NOT_FOUND:
                return Ok(0)
            case Err(problem):
                return Err(problem)

    def close(self) -> None:
        """Close both connections."""
        self._call_connection.close()
        self._watch_connection.close()

    async def _call_json(
        self,
        connection: HttpConnection,
        name: str,
        query: Mapping[str, object],
    ) -> Result[_Fields, StoreError]:
        response = await self._get(connection, name, query, 0)
        return response.and_then(_decode)

    async def _get(
        self,
        connection: HttpConnection,
        name: str,
        query: Mapping[str, object],
        wait: float,
    ) -> Result[HttpResponse, StoreError]:
        self._call_count += 1
        path = f'/-/{name}?{urlencode(query)}'
        try:
            return Ok(await connection.get(path, wait + _CALL_SECONDS))
        except (
            OSError,
            EOFError,
            httptools.HttpParserError,
        ) as error:
            return Err(StoreError(repr(error), 0))


def _decode(response: HttpResponse) -> Result[_Fields, StoreError]:
    if response.status != _OK:
        return Err(StoreError(f'status {response.status}', response.status))
    try:
        fields: _Fields = json.loads(response.body)
    except ValueError as error:
        return Err(StoreError(repr(error), 0))
    return Ok(fields)


def _records(rows: Iterable[_Fields]) -> Iterable[Record]:
    decoded = (_record(row) for row in rows)
    return (record for record in decoded if record is not None)


def _record(row: _Fields) -> Record | None:
    try:
        return decode_item(row)
    except UnusableItemError as error:
        key = row.get('key')
        _logger.warning(
            {'event': 'item_unusable', 'key': key, 'why': str(error)},
        )
    if not key or key == CONFIGURATION_KEY:
        # The last configuration that could be used stays in force.
        return None
    return Record(key, row['revision'], None)
