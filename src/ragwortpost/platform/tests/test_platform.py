"""Tests of the platform's packet format, store items and settings file.

Guards against fields that are read at a wrong place or in a wrong unit, and
against malformed input that raises an unexpected error.
"""

import asyncio
import json
import random
from base64 import b64encode
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from ragwortpost.datapath.connection import format_flow
from ragwortpost.datapath.process import StorePoint
from ragwortpost.datapath.process._view_gossip import MAX_DATAGRAM_BYTES
from ragwortpost.datapath.version import (
    Changes,
    Configuration,
    ServiceShare,
    TakenOut,
    UpstreamEntry,
    decode_changes,
    encode_changes,
)
from ragwortpost.datapath.version.tests.documents import at
from ragwortpost.platform import (
    PlatformPacketFormat,
    PlatformStore,
    parse_settings,
)
from ragwortpost.platform._http_client import HttpConnection, HttpResponse
from ragwortpost.platform._item_decoder import UnusableItemError, decode_item

SYN = bytes.fromhex(
    'a1b2c3d50000000002000000c6120001644000079c4101bb1122334400000000'
)
RESET = bytes.fromhex(
    '00000000000000001000000064400007c612000101bb9c410000000000000000'
)
UPSTREAM = {
    'service': 'desk',
    'address': '10.1.0.2:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmupLeftMs': 1500,
    'sequence': 4,
    'born': 1000,
}

SETTINGS = {
    'nodeName': 'side-1',
    'ip': '10.1.0.12',
    'zone': 'north',
    'listenAddrs': {
        'datagramAddr': '10.1.0.12:8172',
        'outbound': '10.1.0.12:8162',
        'readyAddr': '10.1.0.12:8167',
    },
    'internalPortRange': [7720, 7735],
    'seeds': ['10.1.0.10:8166'],
    'bootstrap': True,
    'heartbeatMs': 1200,
    'limits': {'linkMbps': 1000.0},
    'bounds': {'graceS': 6},
    'app': '10.1.0.12:8165',
    'service': 'desk',
    'platform': {'address': '10.200.1.7:8169', 'readsPerS': 2000},
}

ROUTE = {
    'name': 'r',
    'host': '198.18.0.1',
    'prefix': '/8443/',
    'timeoutMs': 800,
    'targetLatencyMs': 143,
    'priority': 2,
    'service': 'a',
}
SERVICE = {'name': 'a', 'maxConns': 2000, 'warmupS': 2.0, 'warmupPerS': 0.0}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [SERVICE],
    'limits': {'idleTimeoutMs': 15000},
}
# What the store's protocol can carry: also unpaired surrogates, numbers beyond
# 64 bits and text that JSON does not allow for numbers.
TEXTS = st.text(max_size=12) | st.text(
    st.characters(categories=('Cs', 'Nd', 'Lu')), max_size=4
)
JSON_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**80), 2**80)
    | st.floats()
    | TEXTS
    | st.ip_addresses(v=4).map(lambda host: f'{host}:80')
)
JSON_VALUES = st.recursive(
    JSON_SCALARS,
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(TEXTS, values, max_size=3)
    ),
    max_leaves=6,
)
FOREIGN_BYTES = (
    b'[' * 2000,
    b'{"x":' * 2000,
    b'\xff\xfe',
    b'\xef\xbb\xbf{}',
    b'{"slots": 1e400}',
    b'{"slots": ' + b'9' * 5000 + b'}',
    b'null',
)


def foreign_fields(
    part: str,
) -> tuple[str, dict[str, object], dict[str, object]]:
    """Return a key, its valid fields, and the part of them to change."""
    if part == 'upstream':
        upstream_fields: dict[str, object] = dict(UPSTREAM)
        return 'servers/i-1', upstream_fields, upstream_fields
    route: dict[str, object] = dict(ROUTE)
    service: dict[str, object] = dict(SERVICE)
    fields = {**CONFIGURATION, 'routes': [route], 'services': [service]}
    parts = {'configuration': fields, 'route': route, 'service': service}
    return 'op/config', fields, parts[part]


def assert_reaches_peers(
    stored_item: dict[str, object], *, is_known_key: bool = False
) -> None:
    """Check that an item is unusable or decoded by peers as it is here."""
    try:
        record = decode_item(stored_item)
    except UnusableItemError:
        return
    assert record is not None or not is_known_key
    if record is not None:
        changes = Changes(at(0), at(1), (record,))
        assert decode_changes(encode_changes(changes)).unwrap() == changes


def stored(key: str, fields: object) -> dict[str, object]:
    value = b64encode(json.dumps(fields).encode()).decode()
    return {'key': key, 'value': value, 'revision': 7, 'created': 7, 'lease': 0}


class TestPacketFormat:
    """Packet headers are decoded and encoded."""

    def test_syn_opens_a_flow(self) -> None:
        packet = PlatformPacketFormat().from_caller(SYN)
        assert packet is not None
        assert packet.opens
        assert packet.sequence == 0x11223344
        assert format_flow(packet.flow) == '100.64.0.7:40001-198.18.0.1:443'

    @pytest.mark.parametrize(
        ('retransmissions', 'flow_age'),
        [(0, 0), (1, 0.2), (2, 0.6), (3, 0.6)],
    )
    def test_retransmitted_syn_carries_the_age_of_the_flow(
        self,
        retransmissions: int,
        flow_age: float,
    ) -> None:
        packet_bytes = SYN[:28] + retransmissions.to_bytes(4)
        packet = PlatformPacketFormat().from_caller(packet_bytes)
        assert packet is not None
        assert packet.flow_age == flow_age

    def test_reset_round_trip(self) -> None:
        packet_format = PlatformPacketFormat()
        packet = packet_format.from_caller(SYN)
        assert packet is not None
        assert packet_format.reset(packet.flow, 0) == RESET
        read = packet_format.from_upstream(RESET)
        assert read is not None
        assert read.resets
        assert read.flow == packet.flow

    def test_returned_packet_is_decoded_as_the_callers(self) -> None:
        returned = SYN[:8] + bytes((SYN[8] | 128,)) + SYN[9:]
        packet = PlatformPacketFormat().from_upstream(returned)
        assert packet is not None
        assert packet.returned
        assert packet.opens
        assert packet.raw == SYN

    @given(st.binary(max_size=64))
    def test_packets_shorter_than_the_header_are_rejected(
        self, raw: bytes
    ) -> None:
        packet_format = PlatformPacketFormat()
        for packet in (
            packet_format.from_caller(raw),
            packet_format.from_upstream(raw),
        ):
            assert (packet is None) is (len(raw) < 32)


class TestItemDecoder:
    """Items of the store are decoded into records."""

    def test_upstream(self) -> None:
        record = decode_item(stored('servers/i-1', UPSTREAM))
        assert record is not None
        assert record.document == UpstreamEntry(
            ident='i-1',
            service='desk',
            host='10.1.0.2',
            data_centre='north',
            slots=2,
            leaving=False,
            warm_up_left=1.5,
            born=1000,
            sequence=4,
        )

    def test_drained_data_centre(self) -> None:
        record = decode_item(stored('op/evacuate/north', {}))
        assert record is not None
        assert record.document == TakenOut('north', 7)

    def test_deleted_key(self) -> None:
        deleted = {'key': 'servers/i-1', 'revision': 9, 'tombstone': True}
        record = decode_item(deleted)
        assert record is not None
        assert record.document is None

    def test_configuration_with_a_split_route(self) -> None:
        split = [
            {'service': 'a', 'weight': 90},
            {'service': 'b', 'weight': 10},
        ]
        fields = {**CONFIGURATION, 'routes': [{**ROUTE, 'split': split}]}
        record = decode_item(stored('op/config', fields))
        assert record is not None
        configuration = record.document
        assert isinstance(configuration, Configuration)
        assert configuration.idle_seconds == 15
        assert configuration.services[0].warm_up_rate is None
        assert configuration.routes[0].priority == 2
        assert configuration.routes[0].shares == (
            ServiceShare('a', 90),
            ServiceShare('b', 10),
        )

    @pytest.mark.parametrize(
        ('field', 'wrong'),
        [
            ('service', 7),
            ('address', 'nowhere'),
            ('address', '10.1.0.2:http'),
            ('address', '10.1:8000'),
            ('zone', None),
            ('slots', 'two'),
            ('slots', -1),
            ('state', 'asleep'),
            ('warmupLeftMs', 'soon'),
            ('born', 'today'),
            ('born', 2**70),
            ('sequence', 'first'),
            ('sequence', -1),
        ],
    )
    def test_upstream_with_an_invalid_field(
        self,
        field: str,
        wrong: object,
    ) -> None:
        with pytest.raises(UnusableItemError):
            decode_item(stored('servers/i-1', {**UPSTREAM, field: wrong}))

    @given(
        st.sampled_from(('upstream', 'configuration', 'route', 'service')),
        st.data(),
    )
    def test_what_is_decoded_reaches_peers(
        self, part: str, drawn: st.DataObject
    ) -> None:
        # A record that peers can't decode would keep all others from them.
        key, fields, changed = foreign_fields(part)
        name = drawn.draw(st.sampled_from(sorted(changed)))
        changed[name] = drawn.draw(JSON_VALUES)
        assert_reaches_peers(stored(key, fields), is_known_key=True)

    @given(
        st.sampled_from(('key', 'value', 'revision', 'created', 'tombstone')),
        JSON_VALUES,
    )
    def test_foreign_envelopes_reach_peers_or_are_unusable(
        self, field: str, foreign: object
    ) -> None:
        for key in ('servers/i-1', 'op/evacuate/north', 'op/config'):
            assert_reaches_peers({**stored(key, UPSTREAM), field: foreign})

    @given(
        st.sampled_from(('servers/i-1', 'op/config')),
        st.binary(max_size=40) | st.sampled_from(FOREIGN_BYTES),
    )
    def test_foreign_bytes_are_unusable(self, key: str, encoded: bytes) -> None:
        item = {**stored(key, {}), 'value': b64encode(encoded).decode()}
        with pytest.raises(UnusableItemError) as raised:
            decode_item(item)
        assert (raised.value.key, raised.value.revision) == (key, 7)

    @pytest.mark.parametrize(
        ('field', 'wrong'),
        [
            ('slots', '2'),
            ('slots', 2.0),
            ('slots', True),
            ('warmupLeftMs', '0'),
            ('warmupLeftMs', float('inf')),
            ('sequence', 4.0),
            ('version', None),
            ('address', '١٠.1.0.2:80'),
            ('address', '10.1.0.2:99999'),
            ('service', '\ud800 desk'),
            ('zone', 'north \udfff'),
            ('service', 'd' * 201),
            ('zone', 'é' * 101),
        ],
    )
    def test_types_are_checked_and_not_converted(
        self, field: str, wrong: object
    ) -> None:
        with pytest.raises(UnusableItemError) as raised:
            decode_item(stored('servers/i-1', {**UPSTREAM, field: wrong}))
        assert raised.value.key == 'servers/i-1'

    @pytest.mark.parametrize('length', [1, 200, 10000, 700000])
    def test_an_item_is_unusable_or_pushed_to_peers_in_one_datagram(
        self, length: int
    ) -> None:
        # A view that is too large to be pulled in time over a slow link would
        # keep all changes from the processes that don't read the store.
        name = random.Random(length).randbytes(length).hex()[:length]
        fields = {**UPSTREAM, 'service': name, 'zone': name}
        try:
            record = decode_item(stored('servers/' + 'i' * 192, fields))
        except UnusableItemError:
            return
        assert record is not None
        changes = encode_changes(Changes(at(0), at(1), (record,)))
        assert len(changes) <= MAX_DATAGRAM_BYTES

    @pytest.mark.parametrize('field', ['service', 'address', 'state', 'slots'])
    def test_upstream_with_a_missing_field(self, field: str) -> None:
        fields = {name: UPSTREAM[name] for name in UPSTREAM if name != field}
        with pytest.raises(UnusableItemError):
            decode_item(stored('servers/i-1', fields))

    @given(st.dictionaries(st.text(), st.integers() | st.text() | st.none()))
    def test_invalid_items_raise_only_unusable_item_error(
        self,
        fields: dict[str, object],
    ) -> None:
        for key in ('servers/i-1', 'op/config', 'other'):
            item = {'key': key, 'revision': 1, **fields}
            with suppress(UnusableItemError):
                decode_item(item)


class TestStore:
    """The store's era is read from the headers of responses."""

    def test_read_fails_if_the_store_is_restored_between_pages(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        store = PlatformStore(('10.200.1.7', 1))
        eras = iter(('0', '1'))
        page = {'items': [stored('other', {})], 'storeRevision': 7}

        async def answer(*_: object) -> HttpResponse:
            body = json.dumps({**page, 'hasMore': True}).encode()
            return HttpResponse(200, body, {'store-era': next(eras)})

        monkeypatch.setattr(HttpConnection, 'get', answer)
        assert asyncio.run(store.read_all(stale=False)).is_err()

    @pytest.mark.parametrize(
        'body',
        [
            b'[' * 2000,
            b'[]',
            b'{"storeRevision": 7, "hasMore": false}',
            b'{"storeRevision": -1, "items": [], "hasMore": false}',
            b'{"items": [], "hasMore": false}',
            b'{"storeRevision": 7, "items": [], "hasMore": true}',
            b'{"storeRevision": 7, "items": [{}], "hasMore": true}',
        ],
    )
    def test_malformed_responses_are_an_error(
        self, monkeypatch: pytest.MonkeyPatch, body: bytes
    ) -> None:
        store = PlatformStore(('10.200.1.7', 1))

        async def answer(*_: object) -> HttpResponse:
            return HttpResponse(200, body, {})

        monkeypatch.setattr(HttpConnection, 'get', answer)
        assert asyncio.run(store.read_all(stale=False)).is_err()

    @pytest.mark.parametrize('foreign', [7, None, [], {}, {'key': '\ud800'}])
    def test_an_item_without_a_usable_key_hides_no_other(
        self, monkeypatch: pytest.MonkeyPatch, foreign: object
    ) -> None:
        store = PlatformStore(('10.200.1.7', 1))
        items = [foreign, stored('servers/i-1', UPSTREAM)]
        page = {'items': items, 'storeRevision': 7, 'hasMore': False}

        async def answer(*_: object) -> HttpResponse:
            return HttpResponse(200, json.dumps(page).encode(), {})

        monkeypatch.setattr(HttpConnection, 'get', answer)
        read = asyncio.run(store.read_all(stale=False)).unwrap()
        assert [record.subject for record in read.records] == ['servers/i-1']
        assert [rejected.subject for rejected in read.rejected] == ['']

    def test_a_watch_reports_the_era(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        store = PlatformStore(('10.200.1.7', 1))
        body = b'{"events": [], "storeRevision": 7}'

        async def answer(*_: object) -> HttpResponse:
            return HttpResponse(200, body, {'store-era': ' 3'})

        monkeypatch.setattr(HttpConnection, 'get', answer)
        watched = asyncio.run(store.watch(7, 1)).unwrap()
        assert watched.point == StorePoint(7, '3')


class TestSettingsFile:
    """The settings file is parsed."""

    def test_settings_of_an_agent(self) -> None:
        match parse_settings(json.dumps(SETTINGS).encode()):
            case Ok(settings):
                assert settings.peer_port == 7720
                assert settings.seeds == ('10.1.0.10',)
                assert settings.upstream_side is not None
                assert settings.upstream_side.service == 'desk'
            case Err(problem):
                raise problem

    @pytest.mark.parametrize('field', ['ip', 'listenAddrs', 'platform'])
    def test_error_names_the_missing_field(self, field: str) -> None:
        fields = {one: SETTINGS[one] for one in SETTINGS if one != field}
        problem = parse_settings(json.dumps(fields).encode()).unwrap_err()
        assert field in str(problem)

    @pytest.mark.parametrize(
        ('limits', 'cores'),
        [
            ({}, 1),
            ({'cpuShare': 0.5}, 1),
            ({'cpuShare': 0.5, 'cores': None}, 1),
            ({'cpuShare': 0.5, 'cores': 4}, 2),
        ],
    )
    def test_processor_cores(
        self, limits: dict[str, object], cores: float
    ) -> None:
        fields = {**SETTINGS, 'limits': {'linkMbps': 10, **limits}}
        settings = parse_settings(json.dumps(fields).encode()).unwrap()
        assert settings.processor_cores == cores

    @pytest.mark.parametrize('field', ['cores', 'cpuShare'])
    @pytest.mark.parametrize(
        'wrong', ['2', 0, -1, True, [], float('nan'), float('inf'), 10**400]
    )
    def test_error_names_the_unusable_limit(
        self, field: str, wrong: object
    ) -> None:
        limits = {'linkMbps': 10, 'cores': 2, 'cpuShare': 0.5, field: wrong}
        fields = {**SETTINGS, 'limits': limits}
        problem = parse_settings(json.dumps(fields).encode()).unwrap_err()
        assert f'limits.{field}' in str(problem)
        assert repr(wrong) in str(problem)

    @pytest.mark.parametrize('port', ['1e400', '[' * 2000])
    def test_numbers_and_depth_beyond_bounds_are_an_error(
        self, port: str
    ) -> None:
        text = json.dumps({**SETTINGS, 'internalPortRange': ['port']})
        broken = text.replace('"port"', port).encode()
        assert parse_settings(broken).is_err()

    @given(st.binary(max_size=80))
    def test_invalid_settings_are_an_error(self, text: bytes) -> None:
        assert parse_settings(text).is_err()
