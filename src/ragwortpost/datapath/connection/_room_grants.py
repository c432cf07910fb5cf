"""The demands of entries for an agent's room, and the grants of it.

Entries whose new flows wait send the agent their demand. Free room is granted
to the most urgent demand, and counts as used until a flow uses it or it
expires.
"""

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Final, TypeAlias

from ragwortpost.datapath.connection._packet import FlowKey

# Lifetime of granted room: several round trips between data centres. Room that
# is granted to an entry that has stopped is lost for this time.
GRANT_SECONDS: Final = 0.15
# Maximum flows in one grant, and maximum unused ones of one entry.
MAX_GRANTED_FLOWS: Final = 4
# A demand that is not renewed is dropped after this time; entries renew theirs
# after 0.3 s at the latest.
DEMAND_SECONDS: Final = 0.5
# A flow that was delivered to the upstream counts as load for this time, unless
# the upstream answers before.
OPENING_SECONDS: Final = 0.1
# Outdated places in the order of demands are removed once there are this many
# for each entry.
_MAX_ORDER_FACTOR: Final = 8

# At least as urgent as the priority of any flow.
_MOST_URGENT: Final = -math.inf

# Returns the free room for flows of a priority.
RoomFunction: TypeAlias = Callable[[int], int]


@dataclass(frozen=True, slots=True)
class Demand:
    """The flows of one entry that wait for an upstream."""

    # Number of flows.
    waiting: int
    # The most urgent priority among them; lower numbers are more urgent.
    priority: int
    # Monotonic seconds of the earliest of their deadlines.
    deadline: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Room for new flows that an entry is granted."""

    entry: str
    flows: int


@dataclass(slots=True)
class _Units:
    """Granted room that is not used yet."""

    entry: str
    priority: int
    left: int
    expires_at: float


@dataclass(slots=True)
class _Account:
    """The demand of one entry, and its unused room."""

    demand: Demand
    received_at: float
    # Identifies the account's current place in the order of demands.
    serial: int = -1
    units: deque[_Units] = field(default_factory=deque)

    @property
    def granted(self) -> int:
        """Flows that are granted and not used."""
        return sum(units.left for units in self.units)


class RoomGrants:
    """The demands and the granted room of one agent."""

    def __init__(self) -> None:
        """Start without demands."""
        self._accounts: dict[str, _Account] = {}
        # Priority, deadline, serial and entry; outdated items are skipped.
        self._order: list[tuple[int, float, int, str]] = []
        # All units by their time of expiry.
        self._units: deque[_Units] = deque()
        self._granted = 0
        self._next_serial = 0
        # Times at which flows were delivered that the upstream has not
        # answered.
        self._opening: dict[FlowKey, float] = {}

    @property
    def has_demands(self) -> bool:
        """Whether any entry waits for room or has unused room.

        An entry that has all the room it may have waits again when that
        expires.
        """
        return bool(self._order) or bool(self._units)

    def granted(self, now: float) -> int:
        """Return the number of flows that are granted and not used."""
        self._expire(now)
        return self._granted

    def reserved(self, now: float) -> int:
        """Return the room in use by grants and by unanswered new flows."""
        self._expire(now)
        return self._granted + len(self._opening)

    def record_demand(self, entry: str, demand: Demand, now: float) -> None:
        """Replace the demand of an entry.

        A demand for no flows also returns the entry's unused room.
        """
        self._expire(now)
        account = self._accounts.get(entry)
        if account is None:
            account = _Account(demand, now)
            self._accounts[entry] = account
        account.demand = demand
        account.received_at = now
        account.serial = -1
        if demand.waiting:
            self._enqueue(entry, account)
            return
        self._granted -= account.granted
        for units in account.units:
            units.left = 0
        self._discard_if_unused(entry, account)

    def covers(self, entry: str, priority: int, now: float) -> bool:
        """Return whether an entry has room for a flow of a priority.

        Room that was granted for urgent flows may lie in their reserve, so it
        is not for others.
        """
        self._expire(now)
        return self._find_units(entry, priority) is not None

    def granted_to(self, entry: str, now: float) -> int:
        """Return the number of flows granted to an entry and not used."""
        self._expire(now)
        account = self._accounts.get(entry)
        return account.granted if account else 0

    def admit(
        self, flow: FlowKey, entry: str, priority: int, now: float
    ) -> bool:
        """Record that a flow was admitted; return whether it used a grant.

        A flow that the grant does not cover uses one as well, so that room of
        one entry is not counted twice.
        """
        self._expire(now)
        self._opening.pop(flow, None)
        self._opening[flow] = now
        units = self._find_units(entry, priority)
        units = units or self._find_units(entry, _MOST_URGENT)
        if units is None:
            return False
        units.left -= 1
        self._granted -= 1
        account = self._accounts[entry]
        if account.serial < 0 < account.demand.waiting:
            self._enqueue(entry, account)
        return True

    def settle(self, flow: FlowKey) -> None:
        """Record that the upstream has answered a new flow."""
        self._opening.pop(flow, None)

    def allocate(self, room_for: RoomFunction, now: float) -> Sequence[Grant]:
        """Grant free room to the demands in order.

        ``room_for`` returns the room that is neither in use nor reserved.
        """
        self._expire(now)
        grants = []
        entry = self._first_entry(now)
        while entry is not None:
            account = self._accounts[entry]
            demand = account.demand
            flows = min(
                room_for(demand.priority),
                demand.waiting,
                MAX_GRANTED_FLOWS - account.granted,
            )
            if flows <= 0:
                break
            heappop(self._order)
            grants.append(self._grant(entry, account, flows, now))
            entry = self._first_entry(now)
        return grants

    def _first_entry(self, now: float) -> str | None:
        """Return the entry whose demand comes first, or none."""
        while self._order:
            _, _, serial, entry = self._order[0]
            account = self._accounts.get(entry)
            if account is not None and account.serial == serial:
                if now - account.received_at <= DEMAND_SECONDS:
                    return entry
                account.serial = -1
                self._discard_if_unused(entry, account)
            heappop(self._order)
        return None

    def _grant(
        self, entry: str, account: _Account, flows: int, now: float
    ) -> Grant:
        demand = account.demand
        units = _Units(entry, demand.priority, flows, now + GRANT_SECONDS)
        self._units.append(units)
        account.units.append(units)
        self._granted += flows
        # The deadline was that of the first flows only: the others come after
        # the demands of all entries that have not had a grant yet.
        account.demand = Demand(
            demand.waiting - flows, demand.priority, math.inf
        )
        account.serial = -1
        if account.demand.waiting and account.granted < MAX_GRANTED_FLOWS:
            self._enqueue(entry, account)
        return Grant(entry, flows)

    def _enqueue(self, entry: str, account: _Account) -> None:
        """Give a demand its place, unless the entry has all it may have."""
        if account.granted >= MAX_GRANTED_FLOWS:
            return
        account.serial = self._next_serial
        self._next_serial += 1
        demand = account.demand
        heappush(
            self._order,
            (demand.priority, demand.deadline, account.serial, entry),
        )
        if len(self._order) > _MAX_ORDER_FACTOR * len(self._accounts):
            self._order = [
                (account.demand.priority, account.demand.deadline, serial, name)
                for name, account in self._accounts.items()
                if (serial := account.serial) >= 0
            ]
            heapify(self._order)

    def _find_units(self, entry: str, priority: float) -> _Units | None:
        account = self._accounts.get(entry)
        if account is None:
            return None
        for units in account.units:
            if units.left and priority <= units.priority:
                return units
        return None

    def _expire(self, now: float) -> None:
        while self._units and self._units[0].expires_at <= now:
            expired = self._units.popleft()
            account = self._accounts[expired.entry]
            account.units.popleft()
            self._granted -= expired.left
            if account.serial < 0 < account.demand.waiting:
                self._enqueue(expired.entry, account)
            self._discard_if_unused(expired.entry, account)
        while self._opening:
            flow, delivered_at = next(iter(self._opening.items()))
            if now - delivered_at < OPENING_SECONDS:
                break
            self._opening.pop(flow)

    def _discard_if_unused(self, entry: str, account: _Account) -> None:
        if account.serial < 0 and not account.units:
            self._accounts.pop(entry, None)
