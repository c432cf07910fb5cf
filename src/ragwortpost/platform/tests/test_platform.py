"""Tests of the adapter: packets, items and settings of the platform."""

import json
from base64 import b64encode
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from ragwortpost.datapath.connection import format_flow
from ragwortpost.datapath.version import (
    Configuration,
    ServiceShare,
    TakenOut,
    UpstreamEntry,
)
from ragwortpost.platform import PlatformPacketFormat, parse_settings
from ragwortpost.platform._item_decoder import UnusableItemError, decode_item

SYN = bytes.fromhex(
    'a1b2c3d50000000002000000c6120001644000079c4101bb1122334400000000'
)
RESET = bytes.fromhex(
    '00000000000000001000000064400007c612000101bb9c410000000000000000'
)
BEAT = {
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


def stored(key: str, fields: object) -> dict[str, object]:
    value = b64encode(json.dumps(fields).encode()).decode()
    return {'key': key, 'value': value, 'revision': 7, 'created': 7, 'lease': 0}


class TestPackets:
    """The head before a packet's data."""

    def test_an_opening_packet(self) -> None:
        packet = PlatformPacketFormat().from_caller(SYN)
        assert packet is not None
        assert packet.opens
        assert packet.sequence == 0x11223344
        assert format_flow(packet.flow) == '100.64.0.7:40001-198.18.0.1:443'

    @pytest.mark.parametrize(
        ('copies', 'flow_age'),
        [(0, 0), (1, 0.2), (2, 0.6), (3, 0.6)],
    )
    def test_a_copy_tells_how_long_its_caller_has_waited(
        self,
        copies: int,
        flow_age: float,
    ) -> None:
        copy = SYN[:28] + copies.to_bytes(4)
        packet = PlatformPacketFormat().from_caller(copy)
        assert packet is not None
        assert packet.flow_age == flow_age

    def test_a_reset(self) -> None:
        packets = PlatformPacketFormat()
        packet = packets.from_caller(SYN)
        assert packet is not None
        assert packets.reset(packet.flow, 0) == RESET
        read = packets.from_upstream(RESET)
        assert read is not None
        assert read.resets
        assert read.flow == packet.flow

    def test_a_returned_packet_is_the_callers_again(self) -> None:
        returned = SYN[:8] + bytes((SYN[8] | 128,)) + SYN[9:]
        packet = PlatformPacketFormat().from_upstream(returned)
        assert packet is not None
        assert packet.returned
        assert packet.opens
        assert packet.raw == SYN

    @given(st.binary(max_size=64))
    def test_any_bytes_are_read_or_refused(self, raw: bytes) -> None:
        packets = PlatformPacketFormat()
        for packet in (packets.from_caller(raw), packets.from_upstream(raw)):
            assert (packet is None) is (len(raw) < 32)


class TestItems:
    """What the store holds."""

    def test_an_upstream(self) -> None:
        record = decode_item(stored('servers/i-1', BEAT))
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
        )

    def test_a_data_centre_taken_out(self) -> None:
        record = decode_item(stored('op/evacuate/north', {}))
        assert record is not None
        assert record.document == TakenOut('north')

    def test_a_deleted_key(self) -> None:
        deleted = {'key': 'servers/i-1', 'revision': 9, 'tombstone': True}
        record = decode_item(deleted)
        assert record is not None
        assert record.document is None

    def test_a_configuration_with_a_split_route(self) -> None:
        split = [
            {'service': 'a', 'weight': 90},
            {'service': 'b', 'weight': 10},
        ]
        route = {
            'name': 'r',
            'host': '198.18.0.1',
            'prefix': '/8443/',
            'timeoutMs': 800,
            'targetLatencyMs': 143,
            'split': split,
        }
        service = {
            'name': 'a',
            'maxConns': 2000,
            'warmupS': 2.0,
            'warmupPerS': 0.0,
        }
        fields = {
            'version': 7,
            'routes': [route],
            'services': [service],
            'limits': {'idleTimeoutMs': 15000},
        }
        record = decode_item(stored('op/config', fields))
        assert record is not None
        configuration = record.document
        assert isinstance(configuration, Configuration)
        assert configuration.idle_seconds == 15
        assert configuration.services[0].warm_up_rate is None
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
            ('zone', None),
            ('slots', 'two'),
            ('state', 'asleep'),
            ('warmupLeftMs', 'soon'),
            ('born', 'today'),
        ],
    )
    def test_another_writers_entry_names_no_upstream(
        self,
        field: str,
        wrong: object,
    ) -> None:
        with pytest.raises(UnusableItemError):
            decode_item(stored('servers/i-1', {**BEAT, field: wrong}))

    @pytest.mark.parametrize('field', ['service', 'address', 'state', 'slots'])
    def test_a_missing_field(self, field: str) -> None:
        fields = {name: BEAT[name] for name in BEAT if name != field}
        with pytest.raises(UnusableItemError):
            decode_item(stored('servers/i-1', fields))

    @given(st.dictionaries(st.text(), st.integers() | st.text() | st.none()))
    def test_no_item_does_more_harm_than_that(
        self,
        fields: dict[str, object],
    ) -> None:
        for key in ('servers/i-1', 'op/config', 'other'):
            item = {'key': key, 'revision': 1, **fields}
            with suppress(UnusableItemError):
                decode_item(item)


class TestSettings:
    """The settings file."""

    def test_those_of_an_agent(self) -> None:
        match parse_settings(json.dumps(SETTINGS).encode()):
            case Ok(settings):
                assert settings.peer_port == 7720
                assert settings.seeds == ('10.1.0.10',)
                assert settings.upstream_side is not None
                assert settings.upstream_side.service == 'desk'
            case Err(problem):
                raise problem

    @pytest.mark.parametrize('field', ['ip', 'listenAddrs', 'platform'])
    def test_a_missing_field_is_named(self, field: str) -> None:
        fields = {one: SETTINGS[one] for one in SETTINGS if one != field}
        problem = parse_settings(json.dumps(fields).encode()).unwrap_err()
        assert field in str(problem)

    @given(st.binary(max_size=80))
    def test_unreadable_settings_are_an_error(self, text: bytes) -> None:
        assert parse_settings(text).is_err()
