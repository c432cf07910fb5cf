"""Tests of an entry's new flows and of its searches."""

from ragwortpost.datapath.connection import FlowCache, Openings, Searches
from ragwortpost.datapath.connection.tests.packets import (
    caller_packet,
    flow_key,
    opening,
)

FLOW = flow_key()


class TestOpenings:
    """New flows under way and waiting."""

    def test_one_that_waits_may_try_all_agents_again(self) -> None:
        openings = Openings()
        new = openings.begin(opening(FLOW), 0)
        openings.note_attempt(new, 'a', 1)
        assert new.tried == ['a']
        assert not openings.is_waiting(FLOW)
        openings.wait(new)
        assert openings.is_waiting(FLOW)
        assert new.tried == []
        assert new.began == 0

    def test_overdue_ones_come_oldest_first(self) -> None:
        openings = Openings()
        for number in range(3):
            new = openings.begin(opening(flow_key(number)), number)
            openings.note_attempt(new, 'a', number)
        overdue = [one.sent for one in openings.overdue(1.5)]
        assert overdue == [0, 1]

    def test_an_ended_one_is_forgotten(self) -> None:
        openings = Openings()
        openings.begin(opening(FLOW), 0)
        openings.end(FLOW)
        assert len(openings) == 0
        assert openings.get(FLOW) is None


class TestSearches:
    """Who may still hold a flow."""

    def test_silence_never_ends_a_search(self) -> None:
        searches = Searches()
        assert set(searches.ask(caller_packet(FLOW), 'ab', 0)) == {'a', 'b'}
        assert searches.deny(FLOW, 'a') is None
        assert set(searches.ask(caller_packet(FLOW), 'ab', 1)) == {'b'}

    def test_it_ends_when_all_have_denied(self) -> None:
        searches = Searches()
        searches.ask(caller_packet(FLOW, acknowledged=9), 'ab', 0)
        searches.deny(FLOW, 'a')
        unheld = searches.deny(FLOW, 'b')
        assert unheld is not None
        assert unheld.expected == 9

    def test_an_agent_that_left_is_not_waited_for(self) -> None:
        searches = Searches()
        searches.ask(caller_packet(FLOW), 'ab', 0)
        searches.deny(FLOW, 'a')
        assert not searches.ask(caller_packet(FLOW), 'a', 1)

    def test_old_searches_begin_again(self) -> None:
        searches = Searches()
        searches.ask(caller_packet(FLOW), 'ab', 0)
        searches.deny(FLOW, 'a')
        searches.expire(4)
        assert set(searches.ask(caller_packet(FLOW), 'ab', 4)) == {'a', 'b'}


class TestFlowCache:
    """What an entry remembers."""

    def test_a_used_flow_outlives_generations(self) -> None:
        cache = FlowCache(0)
        cache.put(FLOW, 'a')
        for now in (21, 42, 63):
            cache.expire(now)
            assert cache.get(FLOW) == 'a'

    def test_an_unused_flow_is_forgotten(self) -> None:
        cache = FlowCache(0)
        cache.put(FLOW, 'a')
        cache.expire(21)
        cache.expire(42)
        assert cache.get(FLOW) is None

    def test_a_flow_can_be_dropped(self) -> None:
        cache = FlowCache(0)
        cache.put(FLOW, 'a')
        cache.expire(21)
        cache.forget(FLOW)
        assert cache.get(FLOW) is None
