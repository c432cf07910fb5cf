"""Inventories: lists of the flows that one agent's upstream holds.

An inventory carries a hash of each flow. Larger ones are sent in numbered
parts.
"""

from typing import Final

import xxhash

from ragwortpost.datapath.connection._packet import FlowKey

# An agent with more flows sends no inventory; it is queried by naming flows.
MAX_INVENTORY_FLOWS: Final = 2000


def flow_hash(flow: FlowKey) -> int:
    """Return the 32-bit hash that stands for a flow in inventories."""
    return xxhash.xxh32_intdigest(flow)


class InventoryParts:
    """The received parts of one inventory."""

    def __init__(self) -> None:
        """Start without parts."""
        self._received: set[int] = set()
        self._parts = 0
        self._complete = True

    @property
    def is_complete(self) -> bool:
        """Whether every part says that the upstream holds no other flows."""
        return self._complete

    def add(self, part: int, parts: int, *, complete: bool) -> bool:
        """Add a part; return whether all parts have arrived.

        Parts that don't fit to the ones before replace these.
        """
        if parts != self._parts:
            self._received.clear()
            self._parts = parts
            self._complete = True
        if part < parts:
            self._received.add(part)
        self._complete = self._complete and complete
        return len(self._received) == parts
