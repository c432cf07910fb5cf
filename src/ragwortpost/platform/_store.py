"""Client of the platform's store."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, Generic, TypeVar
from urllib.parse import urlencode

import httptools
from msgspec import MsgspecError, Struct, convert
from result import Err, Ok, Result

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.process import (
    HistoryLost,
    RejectedItem,
    StoreError,
    StorePoint,
    StoreRead,
)
from ragwortpost.datapath.version import Record
from ragwortpost.platform._http_client import HttpConnection, HttpResponse
from ragwortpost.platform._item_decoder import (
    Natural,
    UnusableItemError,
    decode_item,
)

_OK: Final = 200
_GONE: Final = 410
# Header of all responses: the number of restores of the store from a backup.
_ERA_HEADER: Final = 'store-era'
_MS_PER_SECOND: Final = 1000
# Timeout of a read, and of a watch in addition to its wait.
_READ_TIMEOUT_SECONDS: Final = 1.5
_WATCH_TIMEOUT_SECONDS: Final = 1.0
# The prefix that matches every key.
_ALL_KEYS: Final = ''


class _Page(
    Struct,
    rename={
        'revision': 'storeRevision',
        'page': 'items',
        'has_more': 'hasMore',
    },
):
    """The response to a call for all items."""

    revision: Natural
    page: Sequence[Any]
    has_more: bool

    @property
    def last_key(self) -> str | None:
        """The key after which the next page begins, if it is valid."""
        match self.page:
            case [*_, {'key': str(key)}]:
                return key
        return None


class _Events(Struct, rename={'revision': 'storeRevision'}):
    """The response to a watch."""

    revision: Natural
    events: Sequence[Any]


_Fields = TypeVar('_Fields', _Page, _Events)


@dataclass(frozen=True, slots=True)
class _Decoded(Generic[_Fields]):
    """The fields of a response and the state that it is about."""

    fields: _Fields
    point: StorePoint


@dataclass(frozen=True, slots=True)
class _DecodedItems:
    """The records of items, and the items that can't be used."""

    records: Sequence[Record]
    rejected: Sequence[RejectedItem]


class PlatformStore:
    """Reads the store over two connections.

    A pending watch occupies one of them; the other carries full reads.
    """

    def __init__(self, address: HostPort) -> None:
        """Initialize with the store's address, without connecting."""
        self._read_connection = HttpConnection(address)
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
        stored_items: list[Any] = []
        first: StorePoint | None = None
        after: str | None = ''
        while after is not None:
            read = await self._read_page(after, stale=stale)
            if read.is_err():
                return Err(read.unwrap_err())
            page, point = read.unwrap().fields, read.unwrap().point
            # Later pages may include newer changes. Only a watch that starts
            # after the first page's revision misses nothing.
            first = first or point
            if point.era != first.era:
                return Err(StoreError('restored between two pages', 0))
            stored_items.extend(page.page)
            after = page.last_key if page.has_more else None
        return Ok(_read_of(first or StorePoint(0), 0, stored_items))

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
            self._watch_connection,
            'kv-watch',
            query,
            wait_seconds + _WATCH_TIMEOUT_SECONDS,
        )
        match response.and_then(partial(_decode_response, _Events)):
            case Err(StoreError(status=status)) if status == _GONE:
                return Err(HistoryLost(revision))
            case Err(problem):
                return Err(problem)
            case Ok(decoded):
                return Ok(
                    _read_of(decoded.point, revision, decoded.fields.events)
                )

    def close(self) -> None:
        """Close both connections."""
        self._read_connection.close()
        self._watch_connection.close()

    async def _read_page(
        self, after: str, *, stale: bool
    ) -> Result[_Decoded[_Page], StoreError]:
        query = {'prefix': _ALL_KEYS, 'after': after, 'staleOk': int(stale)}
        response = await self._get(
            self._read_connection, 'kv-range', query, _READ_TIMEOUT_SECONDS
        )
        decoded = response.and_then(partial(_decode_response, _Page))
        return decoded.and_then(_require_last_key)

    async def _get(
        self,
        connection: HttpConnection,
        name: str,
        query: Mapping[str, object],
        timeout_seconds: float,
    ) -> Result[HttpResponse, StoreError]:
        self._call_count += 1
        # A key may hold text that is no valid UTF-8.
        encoded_query = urlencode(query, errors='surrogatepass')
        path = f'/-/{name}?{encoded_query}'
        try:
            return Ok(await connection.get(path, timeout_seconds))
        except (
            OSError,
            EOFError,
            httptools.HttpParserError,
        ) as error:
            return Err(StoreError(repr(error), 0))


def _era_of(response: HttpResponse) -> str:
    return response.headers.get(_ERA_HEADER, '').strip()


def _decode_response(
    fields_type: type[_Fields], response: HttpResponse
) -> Result[_Decoded[_Fields], StoreError]:
    """Return the fields of a response; items are left undecoded."""
    if response.status != _OK:
        return Err(StoreError(f'status {response.status}', response.status))
    try:
        fields = convert(json.loads(response.body), fields_type)
    except (MsgspecError, ValueError, RecursionError) as error:
        return Err(StoreError(repr(error), 0))
    return Ok(_Decoded(fields, StorePoint(fields.revision, _era_of(response))))


def _require_last_key(
    decoded: _Decoded[_Page],
) -> Result[_Decoded[_Page], StoreError]:
    if decoded.fields.has_more and decoded.fields.last_key is None:
        return Err(StoreError('a page of the items ends without a key', 0))
    return Ok(decoded)


def _read_of(
    point: StorePoint, after: int, stored_items: Iterable[object]
) -> StoreRead:
    decoded = _decode_items(stored_items)
    return StoreRead(
        point, after, tuple(decoded.records), tuple(decoded.rejected)
    )


def _decode_items(stored_items: Iterable[object]) -> _DecodedItems:
    records = []
    rejected = []
    for stored_item in stored_items:
        try:
            record = decode_item(stored_item)
        except UnusableItemError as error:
            rejected.append(
                RejectedItem(error.key, error.revision, error.cause)
            )
        else:
            if record is not None:
                records.append(record)
    return _DecodedItems(records, rejected)
