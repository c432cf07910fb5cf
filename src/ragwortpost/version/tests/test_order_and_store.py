"""Compares the rendezvous order and the version store with naive models.

Guards against connections that move although their upstream stays, a share of
connections that does not follow the weights, and a store that reverts to a
lower version or accepts an invalid one.
"""

from hypothesis import given, seed
from hypothesis import strategies as st

from ragwortpost.version import (
    RendezvousOrder,
    Upstream,
    first_upstream,
    parse_snapshot,
    ranked_upstreams,
    rendezvous_score,
    settings_store,
)

SETTINGS_HEADER = '[service s]\naddress = 10.0.0.1:1\n[data-centre d]\n'


def make_upstreams(weights: list[int]) -> list[Upstream]:
    """Return upstreams with the given weights."""
    text = SETTINGS_HEADER + ''.join(
        f'[upstream s/d/{number}]\naddress = 10.0.1.{number + 1}:1\nweight = {weight}\n'
        for number, weight in enumerate(weights)
    )
    snapshot = parse_snapshot(1, text.encode()).unwrap()
    return list(snapshot.services['s'].upstreams)


class TestRendezvousOrder:
    """Scores give the order; a removal moves only the removed one's keys."""

    @seed(1)
    @given(
        st.binary(min_size=8, max_size=20),
        st.lists(st.integers(1, 900), min_size=1, max_size=12),
    )
    def test_agrees_with_full_sort(
        self, key: bytes, weights: list[int]
    ) -> None:
        upstreams = make_upstreams(weights)
        ranked = sorted(
            upstreams, key=lambda upstream: rendezvous_score(key, upstream)
        )
        assert first_upstream(key, upstreams) == ranked[0]
        avoid = {ranked[0].ident}
        assert (
            RendezvousOrder(upstreams).first(key, avoid)
            == ranked[min(1, len(ranked) - 1)]
        )
        assert list(ranked_upstreams(key, upstreams, len(upstreams))) == ranked

    @seed(1)
    @given(st.binary(min_size=8, max_size=20), st.integers(0, 9))
    def test_removal_moves_only_keys_of_the_removed_upstream(
        self, key: bytes, removed: int
    ) -> None:
        upstreams = make_upstreams([100] * 10)
        before = first_upstream(key, upstreams)
        remaining = [
            upstream
            for upstream in upstreams
            if upstream is not upstreams[removed]
        ]
        if before is not upstreams[removed]:
            assert first_upstream(key, remaining) == before

    def test_keys_are_shared_by_weight(self) -> None:
        upstreams = make_upstreams([300, 100])
        hits = sum(
            first_upstream(b'%08d' % number, upstreams) is upstreams[0]
            for number in range(4000)
        )
        assert 0.72 < hits / 4000 < 0.78


class TestVersionStore:
    """The store holds the highest valid version submitted."""

    @seed(1)
    @given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=30))
    def test_agrees_with_the_maximum(
        self, submissions: list[tuple[int, bool]]
    ) -> None:
        store = settings_store()
        valid_versions = [0]
        for version, valid in submissions:
            body = b'[defaults]\nslots = 1' if valid else b'[nonsense'
            store.submit(version, body, 'test')
            if valid:
                valid_versions.append(version)
            assert store.current.version == max(valid_versions)
