"""A store that can be restored, and replicas of its state, for tests."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._fleet_state import FleetState
from ragwortpost.datapath.process._reconciliation import (
    PeerView,
    Reconciliation,
)
from ragwortpost.datapath.process.tests.network import ManualClock, digest_of
from ragwortpost.datapath.version import (
    ORIGIN,
    Changes,
    Document,
    Record,
    StateVersion,
    TakenOut,
)
from ragwortpost.datapath.version.tests.documents import upstream

Items = dict[str, tuple[int, Document]]


@dataclass
class RestorableStore:
    """Items with revisions, copies of them, and restores from a copy."""

    era: int = 0
    revision: int = 0
    items: Items = field(default_factory=dict)
    events: list[tuple[str, int, Document | None]] = field(default_factory=list)
    copies: list[tuple[int, Items]] = field(default_factory=list)

    def put(self, subject: str, document: Document) -> None:
        self.revision += 1
        if isinstance(document, TakenOut):
            _, existing = self.items.get(subject, (0, None))
            created = getattr(existing, 'created', self.revision)
            document = replace(document, created=created)
        self.items[subject] = (self.revision, document)
        self.events.append((subject, self.revision, document))

    def touch(self, subject: str, document: Document) -> None:
        """Write an item of which only the sequence changes."""
        self.items[subject] = (self.items[subject][0], document)

    def delete(self, subject: str) -> None:
        if self.items.pop(subject, None) is not None:
            self.revision += 1
            self.events.append((subject, self.revision, None))

    def copy(self) -> None:
        self.copies = [*self.copies[-1:], (self.revision, dict(self.items))]

    def restore(self, number: int) -> None:
        self.era += 1
        self.revision, items = self.copies[number]
        self.items = dict(items)
        self.events.clear()


class Replica:
    """The state of one process; it reads the store and pulls from peers."""

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.name = name
        self.clock = clock
        self.state = FleetState(clock, EventLog(clock, Counter()))
        self.reconciliation = Reconciliation()

    def read(self, store: RestorableStore) -> None:
        """Read all of the store."""
        records = (
            Record(subject, StateVersion(0, revision), document)
            for subject, (revision, document) in store.items.items()
        )
        version = StateVersion(store.era, store.revision)
        self.state.merge_read(Changes(ORIGIN, version, tuple(records)))
        self.state.confirm(version, 0)

    def watch(self, store: RestorableStore) -> None:
        """Read what changed, or all after a restore."""
        state = self.state
        if state.era != store.era or not state.revision or state.has_withheld:
            self.read(store)
            return
        records = (
            Record(subject, StateVersion(0, revision), document)
            for subject, revision, document in store.events
            if revision > state.revision
        )
        version = StateVersion(store.era, store.revision)
        self.state.merge_read(Changes(state.version, version, tuple(records)))
        self.state.confirm(version, 0)

    def gossip(self, peer: 'Replica') -> None:
        """Receive a digest of a peer and pull what it calls for."""
        state, now = self.state, self.clock.monotonic()
        digest = digest_of(
            upstream(1),
            version=peer.state.version,
            fingerprint=peer.state.fingerprint,
        )
        match self.reconciliation.compare(
            peer.name, digest, state.version, state.fingerprint, now
        ):
            case PeerView.AHEAD:
                state.merge(peer.state.changes_since(state.version), peer.name)
            case PeerView.DIFFERENT:
                pulled = peer.state.changes_since(ORIGIN)
                state.merge(pulled, peer.name)
                self.reconciliation.record_pull(
                    peer.name, state.version, pulled.version, now
                )
        state.confirm(peer.state.version, peer.state.age)


def changed(document: Document, **changes: object) -> Document:
    """Return a document with other fields."""
    alter: Callable[..., Document] = replace
    return alter(document, **changes)
