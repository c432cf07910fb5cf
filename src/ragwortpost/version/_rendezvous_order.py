"""Order in which upstreams are tried for a new connection.

Weighted rendezvous hashing: each upstream gets a score computed from a key, and
the lowest score is first. The key is the first connection id, or the short id
of a removed upstream whose connections need a successor. Processes with the
same settings and VM list compute the same order without communication. A change
of one upstream moves only the connections to or from that upstream.
"""

import heapq
import math
from collections.abc import Container, Iterable, Sequence
from typing import Final

import xxhash

from ragwortpost.version._snapshot import ShortId, Upstream

_HASH_SPAN: Final = 1 << 64


def rendezvous_score(key: bytes, upstream: Upstream) -> float:
    """Return an upstream's score for a key; the lowest score is first."""
    seed = int.from_bytes(upstream.ident)
    # The hash as a number in (0, 1].
    uniform = (xxhash.xxh64_intdigest(key, seed) + 1) / _HASH_SPAN
    return -math.log(uniform) / upstream.policy.weight


class RendezvousOrder:
    """Rendezvous order of a fixed set of upstreams, reused for many keys."""

    def __init__(self, upstreams: Iterable[Upstream]) -> None:
        """Initialize with the upstreams; read their seeds and weights once."""
        self._candidates: Final = tuple(
            (int.from_bytes(upstream.ident), upstream.policy.weight, upstream)
            for upstream in upstreams
        )

    def first(
        self,
        key: bytes,
        avoid: Container[ShortId] = (),
    ) -> Upstream | None:
        """Return the first upstream of a key's order, or None.

        An upstream in ``avoid`` is returned only if there is no other.
        """
        best = None
        lowest_score = math.inf
        for seed, weight, upstream in self._candidates:
            uniform = (xxhash.xxh64_intdigest(key, seed) + 1) / _HASH_SPAN
            score = -math.log(uniform) / weight
            if score < lowest_score and not (avoid and upstream.ident in avoid):
                best, lowest_score = upstream, score
        if best is None and avoid:
            return self.first(key)
        return best


def first_upstream(
    key: bytes,
    upstreams: Iterable[Upstream],
) -> Upstream | None:
    """Return the first upstream of a key's order, or None."""
    return RendezvousOrder(upstreams).first(key)


def ranked_upstreams(
    key: bytes,
    upstreams: Sequence[Upstream],
    limit: int,
) -> Sequence[Upstream]:
    """Return the first ``limit`` upstreams of a key's order."""
    return heapq.nsmallest(
        limit,
        upstreams,
        key=lambda upstream: rendezvous_score(key, upstream),
    )
