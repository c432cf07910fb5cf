"""Tests of usable items of other writers in a running fleet.

Guards against numbers and names in one item that end or stop the processes that
follow the store, or that hide the upstreams of other items.
"""

import json
from base64 import b64encode

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    opening_packet,
)
from ragwortpost.datapath.process import StorePoint, StoreRead
from ragwortpost.datapath.process._unusable_items import UnusableItems
from ragwortpost.datapath.process.tests.network import ENTRY, Network
from ragwortpost.datapath.version.tests.documents import upstream
from ragwortpost.platform._item_decoder import UnusableItemError, decode_item

HOST = '10.0.0.1'
SECOND_ENTRY = '10.0.1.2'
FOREIGN_FIELDS = {
    'service': 'desk',
    'address': f'{HOST}:80',
    'zone': 'north',
    'version': 'x',
    'slots': 2,
    'state': 'ready',
    'warmupLeftMs': 0,
    'sequence': 1,
    'born': 2000,
}
LARGEST_INT = 2**63 - 1
# The last millisecond of the year 9999, and the first one after it.
LAST_YEARS = (253402300799999, 253402300800000)
NUMBERS = (
    st.sampled_from((*LAST_YEARS, LARGEST_INT, 65535, 65536, 10**15))
    | st.integers(0, LARGEST_INT)
    | st.floats(0, allow_infinity=False)
)


def write_item(network: Network, **fields: object) -> None:
    """Write another writer's item, and let all processes apply it."""
    encoded = b64encode(json.dumps({**FOREIGN_FIELDS, **fields}).encode())
    stored_item = {
        'key': 'servers/foreign',
        'value': encoded.decode(),
        'revision': 1,
    }
    try:
        record = decode_item(stored_item)
    except UnusableItemError:
        return
    assert record is not None
    reader = network.contexts[ENTRY]
    read = StoreRead(StorePoint(1), 0, (record,))
    items = UnusableItems(reader.clock, reader.log)
    for usable in items.usable_records(read):
        network.publish(usable)


def open_flows(network: Network, count: int = 6) -> set[str]:
    """Open flows and return their upstreams' hosts."""
    flows = [flow_key(number) for number in range(count)]
    for flow in flows:
        network.send_packet(opening_packet(flow))
        network.send_request(flow, network.holder(flow))
        network.advance(0.1)
    return {network.holder(flow) for flow in flows}


class TestNumbers:
    """Any number of an item is unusable or does no harm."""

    @settings(max_examples=80)
    @given(
        st.sampled_from(('slots', 'warmupLeftMs', 'sequence', 'born')), NUMBERS
    )
    def test_a_number_of_any_size_ends_no_process(
        self, field: str, number: float
    ) -> None:
        network = Network()
        write_item(network, **{field: number})
        assert open_flows(network)

    @pytest.mark.parametrize('slots', [65535, 65536, LARGEST_INT])
    def test_a_load_of_any_size_can_be_sent(
        self, monkeypatch: pytest.MonkeyPatch, slots: int
    ) -> None:
        # The load of an upstream that seems to fail its requests grows with
        # its slots.
        network = Network(upstream(1))
        write_item(network, slots=slots)
        held_flows = network.agents[HOST].held_flows
        monkeypatch.setattr(held_flows, 'is_suspected', lambda _: True)
        open_flows(network)
        network.add_entry(SECOND_ENTRY)
        network.send_request(flow_key(), HOST, SECOND_ENTRY)
        assert not network.resets

    def test_a_start_in_the_future_denies_no_open_flow(self) -> None:
        # An agent takes its record for complete if its upstream started later.
        network = Network(upstream(1))
        network.send_packet(opening_packet(flow_key()))
        write_item(network, born=4102444800000)
        network.start_agent(network.documents[0], restarted=True)
        for _ in range(2):
            network.send_request(flow_key(), HOST)
        assert not network.resets


class TestNames:
    """An item that names no service of the configuration hides no other."""

    def test_the_upstream_at_its_address_stays_in_use(self) -> None:
        network = Network(upstream(1))
        write_item(network, service='unknown')
        assert open_flows(network) == {HOST}
