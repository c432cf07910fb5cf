"""Client of the platform's store."""

import json
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final
from urllib.parse import urlencode

import httptools
from result import Err, Ok, Result

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process import (
    HistoryLost,
    StoreError,
    StorePoint,
    StoreRead,
)
from ragwortpost.datapath.version import Record, StateVersion
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
# Header of all responses: the number of restores of the store from a backup.
_ERA_HEADER: Final = 'store-era'
_MS_PER_SECOND: Final = 1000
# Timeout of a request, in addition to the wait of a watch.
_REQUEST_TIMEOUT_SECONDS: Final = 1.5
# The prefix that matches every key.
_ALL_KEYS: Final = ''

_JsonObject = Mapping[str, Any]
_Decoded = tuple[_JsonObject, StorePoint]


class PlatformStore:
    """Reads the store over two connections.

    A pending watch occupies one of them; the other carries all requests to
    which the store replies immediately.
    """

    def __init__(self, address: HostPort) -> None:
        """Initialize with the store's address, without connecting."""
        self._call_connection = HttpConnection(address)
        self._watch_connection = HttpConnection(address)
        self._call_count = 0

    @property
    def calls(self) -> int:
        """The number of calls so far; a watch counts as one."""
        return self._call_count

    async def read_all(self, *, stale: bool) -> Result[StoreRead, StoreError]:
        """Return all records; a stale read is cheap but may be outdated.

        Fails if the store is restored between two pages.
        """
        records: list[Record] = []
        first: StorePoint | None = None
        after = ''
        while True:
            query = {'prefix': _ALL_KEYS, 'after': after, 'staleOk': int(stale)}
            match await self._call_json(
                self._call_connection, 'kv-range', query
            ):
                case Err(problem):
                    return Err(problem)
                case Ok((fields, point)):
                    # Later pages may include newer changes. Only a watch that
                    # starts after the first page's revision misses nothing.
                    first = first or point
                    records.extend(_decode_records(fields['items']))
            if point.era != first.era:
                return Err(StoreError('restored between two pages', 0))
            if not fields['hasMore']:
                return Ok(StoreRead(first, 0, tuple(records)))
            after = fields['items'][-1]['key']

    async def watch(
        self,
        revision: int,
        wait_seconds: float,
    ) -> Result[StoreRead, StoreError | HistoryLost]:
        """Wait for changes after a revision and return them.

        Returns no records if nothing changes for ``wait_seconds``, and the
        error :class:`HistoryLost` if the store has dropped some of the changes.
        """
        query = {
            'prefix': _ALL_KEYS,
            'after': revision,
            'waitMs': int(wait_seconds * _MS_PER_SECOND),
        }
        response = await self._get(
            self._watch_connection, 'kv-watch', query, wait_seconds
        )
        match response.and_then(_decode_json):
            case Err(StoreError(status=status)) if status == _GONE:
                return Err(HistoryLost(revision))
            case Err(problem):
                return Err(problem)
            case Ok((fields, point)):
                records = tuple(_decode_records(fields['events']))
                return Ok(StoreRead(point, revision, records))

    async def probe(self) -> Result[StorePoint, StoreError]:
        """Return the state of a stale read, which may be outdated."""
        query = {'key': CONFIGURATION_KEY, 'staleOk': 1}
        response = await self._get(self._call_connection, 'kv-key', query, 0)
        match response:
            case Ok(HttpResponse(status=status) as found) if (
                status == _NOT_FOUND
            ):
                return Ok(StorePoint(0, _era_of(found)))
        return response.and_then(_decode_json).map(lambda decoded: decoded[1])

    def close(self) -> None:
        """Close both connections."""
        self._call_connection.close()
        self._watch_connection.close()

    async def _call_json(
        self,
        connection: HttpConnection,
        name: str,
        query: Mapping[str, object],
    ) -> Result[_Decoded, StoreError]:
        response = await self._get(connection, name, query, 0)
        return response.and_then(_decode_json)

    async def _get(
        self,
        connection: HttpConnection,
        name: str,
        query: Mapping[str, object],
        wait_seconds: float,
    ) -> Result[HttpResponse, StoreError]:
        self._call_count += 1
        path = f'/-/{name}?{urlencode(query)}'
        try:
            return Ok(
                await connection.get(
                    path, wait_seconds + _REQUEST_TIMEOUT_SECONDS
                )
            )
        except (
            OSError,
            EOFError,
            httptools.HttpParserError,
        ) as error:
            return Err(StoreError(repr(error), 0))


def _era_of(response: HttpResponse) -> str:
    return response.headers.get(_ERA_HEADER, '').strip()


def _decode_json(response: HttpResponse) -> Result[_Decoded, StoreError]:
    """Return the fields of a response and the state that it is about."""
    if response.status != _OK:
        return Err(StoreError(f'status {response.status}', response.status))
    try:
        fields: _JsonObject = json.loads(response.body)
    except ValueError as error:
        return Err(StoreError(repr(error), 0))
    revision: int = fields.get('storeRevision', 0)
    return Ok((fields, StorePoint(revision, _era_of(response))))


def _decode_records(stored_items: Iterable[_JsonObject]) -> Iterable[Record]:
    decoded = (_decode_record(stored_item) for stored_item in stored_items)
    return (record for record in decoded if record is not None)


def _decode_record(stored_item: _JsonObject) -> Record | None:
    try:
        return decode_item(stored_item)
    except UnusableItemError as error:
        key = stored_item.get('key')
        _logger.warning(
            {
                'event': 'item_unusable',
                'key': key,
                'revision': stored_item.get('revision'),
                'why': str(error),
            },
        )
    # The last valid configuration stays in force; any other invalid item counts
    # as deleted.
    if not key or key == CONFIGURATION_KEY:
        return None
    return Record(key, StateVersion(0, stored_item['revision']), None)
