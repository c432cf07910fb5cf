"""Queries that an agent can't answer yet, shortly after its start.

Until its view lists its upstream, an agent does not know whether the upstream
started with it and holds no unknown flows. If it answered that any flow may be
held, entries would forward a packet of each lookup to it after a mass restart.
"""

from collections.abc import Hashable, Iterator
from typing import Final, Generic, TypeVar

_Query = TypeVar('_Query')

# Maximum time after an agent's start for which it defers answers.
MAX_DEFERRAL_SECONDS: Final = 1.0
# Deferred queries kept; the oldest is dropped beyond that, and its entry
# repeats it.
MAX_DEFERRED_QUERIES: Final = 1000


class AnswerDeferral(Generic[_Query]):
    """The deferred queries of one agent, oldest first."""

    def __init__(self, now: float) -> None:
        """Start with an agent that is undecided."""
        self._deadline = now + MAX_DEFERRAL_SECONDS
        self._is_decided = False
        self._queries: dict[Hashable, tuple[str, _Query]] = {}

    def decide(self) -> None:
        """Record that the agent knows whether its upstream is older."""
        self._is_decided = True

    def is_undecided(self, now: float) -> bool:
        """Return whether answers are deferred."""
        return not self._is_decided and now < self._deadline

    def defer(self, key: Hashable, entry: str, query: _Query) -> None:
        """Keep the query of an entry; it replaces one with the same key."""
        self._queries.pop((entry, key), None)
        self._queries[entry, key] = (entry, query)
        if len(self._queries) > MAX_DEFERRED_QUERIES:
            self._queries.pop(next(iter(self._queries)))

    def pop_due(self, now: float) -> Iterator[tuple[str, _Query]]:
        """Remove and yield all entries and queries once they are due."""
        if self._queries and not self.is_undecided(now):
            due = tuple(self._queries.values())
            self._queries.clear()
            yield from due
