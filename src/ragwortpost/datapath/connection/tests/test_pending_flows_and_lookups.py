"""Tests of an entry's pending flows, lookups, cache and queries.

Also tests the registration of flows by agents. Guards against a lookup that
ends because of a missing reply, which would reset a flow that is held, against
one that never ends, and a datagram for each query after a mass restart.
"""

from collections import Counter

from ragwortpost.datapath.connection import (
    FlowCache,
    FlowLookup,
    FlowLookups,
    OutgoingQuery,
    PendingFlows,
    QueryBatcher,
    RegistrationQueue,
    UnansweredQueries,
    agents_to_query,
    registrars_of,
)
from ragwortpost.datapath.connection.tests.packets import (
    flow_key,
    make_packet,
    opening_packet,
)

FLOW = flow_key()


class TestPendingFlows:
    """New flows that await a reply or wait for room."""

    def test_a_waiting_flow_may_try_all_agents_again(self) -> None:
        pending_flows = PendingFlows()
        new = pending_flows.add(opening_packet(FLOW), 0)
        pending_flows.record_attempt(new, 'a', 1)
        assert new.tried == ['a']
        assert not pending_flows.is_waiting(FLOW)
        pending_flows.mark_waiting(new)
        assert pending_flows.is_waiting(FLOW)
        assert new.tried == []
        assert new.started_at == 0

    def test_overdue_flows_come_oldest_first(self) -> None:
        pending_flows = PendingFlows()
        for number in range(3):
            new = pending_flows.add(opening_packet(flow_key(number)), number)
            pending_flows.record_attempt(new, 'a', number)
        overdue = [one.last_attempt_at for one in pending_flows.overdue(1.5)]
        assert overdue == [0, 1]

    def test_a_removed_flow_is_not_pending(self) -> None:
        pending_flows = PendingFlows()
        pending_flows.add(opening_packet(FLOW), 0)
        pending_flows.remove(FLOW)
        assert len(pending_flows) == 0
        assert pending_flows.get(FLOW) is None


MANY = [f'10.0.0.{number}' for number in range(1, 13)]
REGISTRARS = MANY[:2]


def new_lookup() -> FlowLookup:
    return FlowLookups().start(make_packet(FLOW), 0)


class TestFlowLookups:
    """Which agents are queried to find a flow's holder."""

    def test_few_agents_are_all_queried_at_once(self) -> None:
        lookup = new_lookup()
        assert set(agents_to_query(lookup, ['a'], ['a', 'b'], [])) == {'a', 'b'}
        assert lookup.queries_all

    def test_missing_replies_never_end_a_lookup(self) -> None:
        lookup = new_lookup()
        lookup.denied.add('a')
        for _ in range(10):
            assert agents_to_query(lookup, ['a'], ['a', 'b'], []) == ['b']

    def test_it_ends_when_all_agents_have_denied(self) -> None:
        lookup = new_lookup()
        lookup.denied.update('ab')
        assert not agents_to_query(lookup, ['a'], ['a', 'b'], [])

    def test_a_removed_agent_is_not_queried(self) -> None:
        lookup = new_lookup()
        lookup.denied.add('a')
        assert agents_to_query(lookup, ['a'], ['a', 'b'], []) == ['b']
        assert not agents_to_query(lookup, ['a'], ['a'], [])

    def test_of_many_agents_the_registrars_are_queried_first(self) -> None:
        lookup = new_lookup()
        assert agents_to_query(lookup, REGISTRARS, MANY, []) == MANY[:1]
        lookup.denied.add(MANY[0])
        assert agents_to_query(lookup, REGISTRARS, MANY, []) == MANY[1:2]
        lookup.denied.add(MANY[1])
        assert agents_to_query(lookup, REGISTRARS, MANY, []) == MANY[2:]

    def test_agents_of_other_services_are_queried_last(self) -> None:
        lookup = new_lookup()
        assert agents_to_query(lookup, ['a'], ['a'], ['c']) == ['a']
        lookup.denied.add('a')
        assert agents_to_query(lookup, ['a'], ['a'], ['c']) == ['c']
        lookup.denied.add('c')
        assert not agents_to_query(lookup, ['a'], ['a'], ['c'])

    def test_an_expired_lookup_starts_again(self) -> None:
        lookups = FlowLookups()
        lookups.start(make_packet(FLOW), 0).denied.add('a')
        lookups.expire(4)
        assert not lookups.start(make_packet(FLOW), 4).denied


class TestRegistrars:
    """The registrars of a flow, and when it is registered."""

    def test_the_order_of_agents_does_not_matter(self) -> None:
        shuffled = list(reversed(MANY))
        assert registrars_of(FLOW, MANY) == registrars_of(FLOW, shuffled)

    def test_flows_are_spread_over_all_agents(self) -> None:
        chosen = Counter(
            host
            for number in range(1200)
            for host in registrars_of(flow_key(number), MANY)
        )
        assert set(chosen) == set(MANY)
        assert max(chosen.values()) < 2 * min(chosen.values())

    def test_removing_an_agent_moves_only_its_flows(self) -> None:
        for number in range(100):
            flow = flow_key(number)
            before = registrars_of(flow, MANY)
            after = registrars_of(flow, MANY[1:])
            kept = [one for one in before if one != MANY[0]]
            assert after[: len(kept)] == kept

    def test_a_flow_is_registered_after_a_delay(self) -> None:
        queue = RegistrationQueue()
        queue.add(FLOW, 1.0)
        assert not list(queue.pop_due(1.2))
        assert list(queue.pop_due(1.4)) == [FLOW]
        assert not list(queue.pop_due(9.0))


class TestFlowCache:
    """Which flows stay cached."""

    def test_a_used_flow_outlives_generations(self) -> None:
        cache = FlowCache(0)
        cache.put(FLOW, 'a')
        for now in (21, 42, 63):
            cache.expire(now)
            assert cache.get(FLOW) == 'a'

    def test_an_unused_flow_is_evicted(self) -> None:
        cache = FlowCache(0)
        cache.put(FLOW, 'a')
        cache.expire(21)
        cache.expire(42)
        assert cache.get(FLOW) is None

    def test_a_flow_can_be_evicted(self) -> None:
        cache = FlowCache(0)
        cache.put(FLOW, 'a')
        cache.expire(21)
        cache.remove(FLOW)
        assert cache.get(FLOW) is None


class TestQueryBatcher:
    """Queries that arise together are sent together."""

    def test_the_first_query_is_sent_at_once(self) -> None:
        batcher = QueryBatcher()
        batcher.add('a', 'desk', FLOW)
        assert list(batcher.pop_due(1.0)) == [
            OutgoingQuery('a', 'desk', (FLOW,))
        ]
        assert not list(batcher.pop_due(2.0))

    def test_later_queries_are_sent_together(self) -> None:
        batcher = QueryBatcher()
        batcher.add('a', 'desk', FLOW)
        assert list(batcher.pop_due(1.0))
        later = tuple(flow_key(number) for number in range(1, 4))
        for flow in (*later, *later):
            batcher.add('a', 'desk', flow)
        assert not list(batcher.pop_due(1.01))
        assert list(batcher.pop_due(1.03)) == [
            OutgoingQuery('a', 'desk', later)
        ]

    def test_batches_are_separate_by_service_and_agent(self) -> None:
        batcher = QueryBatcher()
        for agent, service in (('a', 'desk'), ('b', 'desk'), ('a', 'layout')):
            batcher.add(agent, service, FLOW)
        batches = {(one.agent, one.service) for one in batcher.pop_due(1.0)}
        assert len(batches) == 3


class TestUnansweredQueries:
    """Queries are lost if their agent sends a message but no reply."""

    def test_a_later_message_of_the_agent_shows_the_loss(self) -> None:
        queries = UnansweredQueries()
        queries.add('a', FLOW, 1.0)
        assert not list(queries.pop_lost('a', 1.05))
        assert list(queries.pop_lost('a', 1.11)) == [FLOW]
        assert not queries.agents

    def test_a_repeated_query_has_time_for_its_reply(self) -> None:
        queries = UnansweredQueries()
        queries.add('a', FLOW, 1.0)
        queries.add('a', flow_key(2), 1.0)
        queries.add('a', FLOW, 1.05)
        assert list(queries.pop_lost('a', 1.12)) == [flow_key(2)]

    def test_answered_queries_leave_nothing(self) -> None:
        queries = UnansweredQueries()
        queries.add('a', FLOW, 1.0)
        queries.remove('b', FLOW)
        queries.remove('a', FLOW)
        assert not queries.agents
        assert not list(queries.pop_lost('a', 9.0))
