"""Tests of the index of a view.

Guards against copies of a flow's first packet that go to different services,
and against new flows at an upstream that was replaced, is leaving or is in a
drained data centre.
"""

from dataclasses import replace

from ragwortpost.datapath.connection.tests.packets import flow_key
from ragwortpost.datapath.version import (
    EMPTY_INDEX,
    FleetIndex,
    Record,
    ServiceShare,
    TakenOut,
    build_index,
)
from ragwortpost.datapath.version.tests.documents import (
    at,
    CONFIGURATION,
    ROUTE,
    configuration_record,
    upstream,
    upstream_record,
)


def index_of(*records: Record) -> FleetIndex:
    return build_index(records, EMPTY_INDEX)


class TestRoutes:
    """Which service a new flow is assigned to."""

    def test_the_service_address_selects_the_route(self) -> None:
        index = index_of(configuration_record(1))
        assert index.service_of(flow_key(port=443)) == 'desk'
        assert index.service_of(flow_key(port=444)) is None

    def test_flows_are_split_by_weight_and_repeatably(self) -> None:
        shares = (ServiceShare('desk', 90), ServiceShare('layout', 10))
        route = replace(ROUTE, shares=shares)
        split = replace(CONFIGURATION, routes=(route,))
        index = index_of(configuration_record(1, split))
        chosen = [index.service_of(flow_key(one)) for one in range(2000)]
        again = [index.service_of(flow_key(one)) for one in range(2000)]
        assert chosen == again
        assert 140 < chosen.count('layout') < 260


class TestUpstreams:
    """Which upstreams may be assigned new flows."""

    def test_the_last_started_upstream_has_the_address(self) -> None:
        old = upstream(1, host='10.0.0.9', service='layout')
        new = upstream(2, host='10.0.0.9', born=2000)
        index = index_of(upstream_record(2, new), upstream_record(1, old))
        assert index.upstreams_by_host['10.0.0.9'].service == 'desk'
        assert 'layout' not in index.upstreams

    def test_leaving_and_drained_upstreams_accept_none(self) -> None:
        out = Record('out/south', at(3), TakenOut('south'))
        index = index_of(out)
        assert index.accepts_new_flows(upstream(1))
        assert not index.accepts_new_flows(upstream(1, leaving=True))
        assert not index.accepts_new_flows(upstream(1, data_centre='south'))
