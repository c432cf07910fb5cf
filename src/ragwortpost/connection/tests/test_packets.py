"""Tests of envelopes, connection ids and the routing of packets.

Guards against packets that reach another service or upstream than their
connection id states, forged or random datagrams that are accepted, and
datagrams that agents relay without end.
"""

from hypothesis import given, seed
from hypothesis import strategies as st

from ragwortpost.connection import (
    MAX_HOPS,
    ConnectionIdCodec,
    Drop,
    DropReason,
    EnvelopeCodec,
    ForwardHeader,
    ReplyHeader,
    Reset,
    RoutingTable,
    ToUpstream,
    relayed_header,
)
from ragwortpost.version import (
    Fleet,
    ShortId,
    Snapshot,
    parse_snapshot,
    short_id,
)

KEY = b'k' * 32
TREE = """[service desk]
address = 10.0.0.1:4433
[service layout]
address = 10.0.0.2:4433
[data-centre north]
[data-centre south]
[upstream desk/north/1]
address = 10.0.1.1:7001
[upstream desk/south/2]
address = 10.0.1.2:7001
[upstream layout/north/1]
address = 10.0.2.1:7001
"""
ADDRESSES = st.tuples(
    st.ip_addresses(v=4).map(str),
    st.integers(0, 65535),
)
SHORT_IDS = st.binary(min_size=6, max_size=6).map(ShortId)
FORWARD_HEADERS = st.builds(
    ForwardHeader,
    hops=st.integers(0, 255),
    caller=ADDRESSES,
    entry=ADDRESSES,
    service=SHORT_IDS,
    upstream=SHORT_IDS,
    version=st.integers(0, 2**64 - 1),
)


def snapshot(text: str = TREE) -> Snapshot:
    """Return the snapshot of a settings tree."""
    return parse_snapshot(1, text.encode()).unwrap()


class TestEnvelopes:
    """Sealed envelopes open with the same key; others are rejected."""

    @seed(1)
    @given(FORWARD_HEADERS, st.binary(min_size=1, max_size=1500))
    def test_round_trip(self, header: ForwardHeader, payload: bytes) -> None:
        codec = EnvelopeCodec(KEY)
        sealed = codec.seal_forward(header, payload)
        assert codec.open_forward(sealed) == (header, payload)
        assert codec.open_reply(sealed) is None
        reply = ReplyHeader(header.caller, header.service, header.upstream)
        assert codec.open_reply(codec.seal_reply(reply, payload)) == (
            reply,
            payload,
        )

    @seed(1)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_rejected(self, random_bytes: bytes) -> None:
        codec = EnvelopeCodec(KEY)
        assert codec.open_forward(random_bytes) is None
        assert codec.open_reply(random_bytes) is None

    @seed(1)
    @given(FORWARD_HEADERS, st.integers(0, 44), st.integers(1, 255))
    def test_forged_header_is_rejected(
        self, header: ForwardHeader, at: int, flip: int
    ) -> None:
        codec = EnvelopeCodec(KEY)
        sealed = bytearray(codec.seal_forward(header, b'payload'))
        sealed[at] ^= flip
        assert codec.open_forward(bytes(sealed)) is None

    def test_other_key_is_rejected(self) -> None:
        header = ForwardHeader(
            0, ('1.2.3.4', 5), ('1.2.3.4', 6), short_id('a'), short_id('b'), 1
        )
        sealed = EnvelopeCodec(b'x' * 32).seal_forward(header, b'payload')
        assert EnvelopeCodec(KEY).open_forward(sealed) is None

    def test_hops_are_bounded(self) -> None:
        header: ForwardHeader | None = ForwardHeader(
            0,
            ('1.2.3.4', 5),
            ('1.2.3.4', 6),
            short_id('a'),
            short_id('b'),
            1,
        )
        hops = 0
        while header is not None:
            header = relayed_header(header, short_id('b'))
            hops += 1
        assert hops == MAX_HOPS + 1


class TestRouting:
    """Established connections are routed by id, new ones by order."""

    ids = ConnectionIdCodec(KEY)

    def route(self, service: str, datagram: bytes, text: str = TREE) -> object:
        tree = snapshot(text)
        table = RoutingTable(Fleet(tree), self.ids)
        return table.route(tree.services[service], datagram)

    def short_packet(self, upstream: str) -> bytes:
        issued = self.ids.issue(short_id(upstream), b'1234567')
        return b'\x40' + issued + b'x' * 30

    def test_id_selects_its_upstream(self) -> None:
        route = self.route('desk', self.short_packet('desk/south/2'))
        assert isinstance(route, ToUpstream)
        assert route.upstream.name == 'desk/south/2'

    def test_upstream_of_another_service_is_dropped(self) -> None:
        route = self.route('desk', self.short_packet('layout/north/1'))
        assert route == Drop(DropReason.WRONG_SERVICE)

    def test_removed_upstream_routes_to_a_successor(self) -> None:
        route = self.route('desk', self.short_packet('desk/gone/9'))
        assert isinstance(route, ToUpstream)
        assert route.upstream.service == 'desk'

    def test_drained_data_centre_resets(self) -> None:
        text = TREE.replace(
            '[data-centre south]', '[data-centre south]\nstate = out'
        )
        route = self.route('desk', self.short_packet('desk/south/2'), text)
        assert isinstance(route, Reset)
        assert route.reason is DropReason.UPSTREAM_OUT

    def test_forged_id_is_dropped(self) -> None:
        forged = bytearray(self.short_packet('desk/south/2'))
        forged[3] ^= 1
        assert self.route('desk', bytes(forged)) == Drop(DropReason.FORGED_ID)

    @seed(1)
    @given(st.binary(max_size=1400))
    def test_any_datagram_is_routed_within_its_service(
        self, datagram: bytes
    ) -> None:
        route = self.route('desk', datagram)
        if isinstance(route, ToUpstream):
            assert route.upstream.service == 'desk'
