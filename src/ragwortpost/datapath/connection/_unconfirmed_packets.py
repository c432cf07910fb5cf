"""Packets that an agent delivered without knowing whether their flow is held.

The upstream's response or the returned packet shows it, and the entries that
forwarded packets of the flow wait for the outcome.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ragwortpost.datapath.connection._packet import FlowKey

# A delivery without a response is removed after this time.
UNCONFIRMED_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class _Delivery:
    # Addresses of the entries that wait for the outcome.
    entries: tuple[str, ...]
    # Monotonic time of the last delivery, in seconds.
    delivered_at: float
    # Whether one of the packets was an admitted opening packet.
    opens: bool


class UnconfirmedPackets:
    """The unconfirmed deliveries of one agent, by flow, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._deliveries: dict[FlowKey, _Delivery] = {}

    def __contains__(self, flow: FlowKey) -> bool:
        """Return whether a packet of a flow awaits its outcome."""
        return flow in self._deliveries

    @property
    def flows(self) -> tuple[FlowKey, ...]:
        """The flows whose packets await their outcome."""
        return tuple(self._deliveries)

    def awaits_acceptance(self, flow: FlowKey) -> bool:
        """Return whether an opening packet of a flow awaits its outcome."""
        delivery = self._deliveries.get(flow)
        return delivery is not None and delivery.opens

    def add(
        self, flow: FlowKey, entry: str, now: float, *, opens: bool
    ) -> None:
        """Record a delivery and the entry that waits for its outcome."""
        opens |= self.awaits_acceptance(flow)
        entries = self.pop(flow)
        if entry not in entries:
            entries = (*entries, entry)
        self._deliveries[flow] = _Delivery(entries, now, opens)

    def pop(self, flow: FlowKey) -> tuple[str, ...]:
        """Remove a flow; return the entries that wait for the outcome."""
        delivery = self._deliveries.pop(flow, None)
        return delivery.entries if delivery else ()

    def pop_all(self) -> Mapping[FlowKey, tuple[str, ...]]:
        """Remove all flows; return the entries that wait for each outcome."""
        waiting = {
            flow: delivery.entries
            for flow, delivery in self._deliveries.items()
        }
        self._deliveries.clear()
        return waiting

    def expire(self, now: float) -> None:
        """Remove deliveries that got no response in time."""
        for flow, delivery in list(self._deliveries.items()):
            if now - delivery.delivered_at < UNCONFIRMED_SECONDS:
                return
            self._deliveries.pop(flow)
