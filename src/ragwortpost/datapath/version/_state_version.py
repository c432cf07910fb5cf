"""Versions of the store's state, ordered across restores of the store."""

from typing import Annotated, Final, NamedTuple, TypeAlias

from msgspec import Meta

Natural: TypeAlias = Annotated[int, Meta(ge=0)]


class StateVersion(NamedTuple):
    """A state of the store; versions compare by era, then by revision."""

    # Incremented by each restore of the store from a backup.
    era: Natural
    # The store's revision, which a restore sets back.
    revision: Natural


class EraMark(NamedTuple):
    """What is known about the revisions of one era."""

    era: Natural
    # Upper bound of the revision that the store was restored to: a document
    # with a higher revision was written in this era or a later one.
    base: Natural
    # Revision up to which the view had all changes of the era: a document of
    # an older revision that it lacks was deleted.
    reached: Natural


# The version of a view that has received nothing.
ORIGIN: Final = StateVersion(0, 0)
