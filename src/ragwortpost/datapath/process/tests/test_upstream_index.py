"""Tests of the index of upstreams by load.

Guards against evaluating all upstreams at each change of the view, which takes
most of the time of a low-capacity entry after a mass restart, against new flows
at an upstream that the view has changed or removed, and against classes of flows
that stay for ever after a change of a route's target.
"""

import random
from dataclasses import replace

from ragwortpost.datapath.connection import Candidate
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process._upstream_index import (
    CLASS_IDLE_SECONDS,
    FlowClass,
    UpstreamIndex,
)
from ragwortpost.datapath.process.tests.network import (
    ENTRY,
    ManualClock,
    Network,
    settings_of,
)
from ragwortpost.datapath.version import Record, TakenOut, UpstreamEntry
from ragwortpost.datapath.version.tests.documents import (
    at,
    upstream,
    upstream_record,
)

DESK = FlowClass('desk', 1, urgent=False)
LATER = FlowClass('desk', 2, urgent=False)


class TestViewChanges:
    """What is evaluated again after a change of the view."""

    def test_only_a_changed_upstream_is_evaluated(self) -> None:
        network = Network(*(upstream(number) for number in range(1, 11)))
        state = network.contexts[ENTRY].state
        evaluated = []

        def evaluate(one: UpstreamEntry, _: FlowClass) -> Candidate | None:
            evaluated.append(one.host)
            if not state.fleet.accepts_new_flows(one):
                return None
            return Candidate(one.host, True, 0, one.slots, False, False)

        index = UpstreamIndex(network.clock, state, random.Random(3), evaluate)
        first = index.select(DESK, ())
        assert first is not None
        changed = next(
            one for one in network.documents if one.host == first.agent
        )
        evaluated.clear()
        network.publish(upstream_record(0, replace(changed, leaving=True)))
        second = index.select(DESK, ())
        assert second is not None
        assert second.agent != first.agent
        assert evaluated == [first.agent, second.agent]
        network.publish(upstream_record(0, upstream(11, slots=50)))
        index.select(DESK, ())
        assert '10.0.0.11' in evaluated
        network.publish(Record('drained/north', at(0), TakenOut('north')))
        assert index.select(DESK, ()) is None


class TestClasses:
    """A class is kept while flows use it."""

    def test_a_class_without_flows_is_removed(self) -> None:
        clock, rng = ManualClock(), random.Random(1)
        context = make_context(clock, settings_of('10.0.1.1', None), rng)
        index = UpstreamIndex(clock, context.state, rng, lambda *_: None)
        index.select(DESK, ())
        index.select(LATER, ())
        for _ in range(2):
            clock.time += CLASS_IDLE_SECONDS * 0.6
            assert len(index) == 2
            index.select(LATER, ())
        assert len(index) == 1
