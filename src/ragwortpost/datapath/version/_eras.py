"""The eras of the store that a view has seen.

A restore sets the store's revisions back, so that a revision alone does not say
when a document was written. The marks of the eras tell this for documents of a
restored store, and which missing documents were really deleted.
"""

from collections.abc import Iterable
from typing import Final

from ragwortpost.datapath.version._state_version import EraMark, StateVersion

# Latest eras that are remembered. Backups are some seconds old, so documents
# of earlier eras have been superseded.
MAX_ERAS: Final = 8


class EraMarks:
    """Marks of the latest eras."""

    def __init__(self) -> None:
        """Start with era zero, which has no restore before it."""
        self._marks = {0: EraMark(0, 0, 0)}

    @property
    def all(self) -> tuple[EraMark, ...]:
        """All marks."""
        return tuple(self._marks.values())

    def base_of(self, era: int) -> int:
        """Return the revision after which documents belong to an era."""
        mark = self._marks.get(era)
        return mark.base if mark else 0

    def reached_of(self, era: int) -> int:
        """Return the revision up to which all changes of an era are known."""
        mark = self._marks.get(era)
        return mark.reached if mark else 0

    def record_reached(self, version: StateVersion) -> None:
        """Record that the view has all changes up to a version."""
        mark = self._marks.get(version.era)
        if mark is not None:
            self.learn((mark._replace(reached=version.revision),))

    def learn(self, marks: Iterable[EraMark]) -> None:
        """Merge marks: the lowest base and the highest revision reached."""
        for mark in marks:
            known = self._marks.get(mark.era, mark)
            self._marks[mark.era] = EraMark(
                mark.era,
                min(known.base, mark.base),
                max(known.reached, mark.reached),
            )
        for era in sorted(self._marks)[:-MAX_ERAS]:
            self._marks.pop(era)

    def date(self, revision: int, era: int) -> StateVersion:
        """Return the version of a document that the store has in an era.

        Up to the era's base, the document comes from the backup and was written
        in an earlier era. If it is uncertain in which, this is the latest one
        whose revisions include it.
        """
        eras = [
            mark.era
            for mark in self._marks.values()
            if mark.era <= era and mark.base < revision
        ]
        return StateVersion(max(eras, default=0), revision)

    def proves_deletion(self, version: StateVersion) -> bool:
        """Return whether a document that the view lacks was deleted."""
        mark = self._marks.get(version.era)
        return mark is not None and version.revision <= mark.reached

    def deletion_version(self, version: StateVersion) -> StateVersion:
        """Return the version to date the proven deletion of a document to."""
        return StateVersion(version.era, self._marks[version.era].reached)
