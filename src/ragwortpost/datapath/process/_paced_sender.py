"""Sends a process's messages to its peers within the control budget.

Everything but changes of the view and digests is sent at once. These wait while
the budget is used up: changes before digests, only the newest digest for each
receiver, and none for longer than a second.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ragwortpost._datagrams import HostPort, SendDatagram
from ragwortpost.datapath.connection import ControlBudget, Traffic
from ragwortpost.datapath.process._message_meter import (
    CHANGES,
    DEMAND,
    DIGEST,
    GRANT,
    KINDS_BY_NUMBER,
    LOOKUP,
    OPENING,
    PAYLOAD,
    REGISTRATION,
    REPLY,
)
from ragwortpost.datapath.process._node_context import NodeContext

# Control messages that are sent at once and charged to the budget.
URGENT_KINDS: Final = (OPENING, LOOKUP, REPLY, REGISTRATION, DEMAND, GRANT)
# A message that has waited for this time is dropped: digests are repeated, and
# a process that misses a change pulls it.
MAX_WAIT_SECONDS: Final = 1.0
# Minimum interval between updates of the budget, which cost more than the rest
# of what pacing does for a message.
UPDATE_SECONDS: Final = 0.005
# Interval of attempts to send what waits.
RETRY_SECONDS: Final = 0.02
# Maximum changes that wait; further ones are dropped.
MAX_WAITING_CHANGES: Final = 2000
_CHANGES_NUMBERS: Final = frozenset(
    number for number, kind in KINDS_BY_NUMBER.items() if kind == CHANGES
)
_DIGEST_NUMBERS: Final = frozenset(
    number for number, kind in KINDS_BY_NUMBER.items() if kind == DIGEST
)
_GOSSIP_NUMBERS: Final = _CHANGES_NUMBERS | _DIGEST_NUMBERS


@dataclass(frozen=True)
class PacedSenderPorts:
    """What a paced sender needs of its process."""

    # Sends a datagram at once.
    send: SendDatagram
    # Returns a digest with the present state, in place of one that waited: the
    # age of the view in a digest is that at the time of its encoding.
    refresh_digest: Callable[[bytes], bytes]
    # Calls a function after some seconds.
    call_later: Callable[[float, Callable[[], None]], object]


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A message that waits for the budget."""

    datagram: bytes
    receiver: HostPort
    # Monotonic time in seconds.
    since: float


class PacedSender:
    """Sends to the peers of one process."""

    def __init__(self, context: NodeContext, ports: PacedSenderPorts) -> None:
        """Initialize with the resources in the settings."""
        self._clock = context.clock
        self._events = context.metrics.events
        self._meter = context.metrics.messages
        self._ports = ports
        settings = context.settings
        self._budget = ControlBudget(
            settings.link_megabits,
            settings.processor_cores,
            context.clock.monotonic(),
        )
        self._changes: deque[_Waiting] = deque()
        self._digests: dict[HostPort, _Waiting] = {}
        self._updated_at = context.clock.monotonic()
        self._retry_is_due = False

    @property
    def waiting(self) -> int:
        """Number of messages that wait for the budget."""
        return len(self._changes) + len(self._digests)

    def send(self, datagram: bytes, receiver: HostPort) -> bool:
        """Send a message now, or let it wait if it is gossip.

        Returns false if the socket refused it; it is not sent again then.
        """
        number = datagram[0]
        if number not in _GOSSIP_NUMBERS:
            return self._ports.send(datagram, receiver)
        now = self._clock.monotonic()
        self._update_budget(now)
        is_digest = number in _DIGEST_NUMBERS
        is_next = not self._changes and not (is_digest and self._digests)
        if is_next and self._budget.take(len(datagram)):
            return self._ports.send(datagram, receiver)
        self._events['gossip_delayed'] += 1
        self._add(_Waiting(datagram, receiver, now), is_digest=is_digest)
        self._schedule_retry()
        return True

    def _add(self, message: _Waiting, *, is_digest: bool) -> None:
        if is_digest:
            self._digests[message.receiver] = message
        elif len(self._changes) < MAX_WAITING_CHANGES:
            self._changes.append(message)
        else:
            self._events['gossip_dropped'] += 1

    def _schedule_retry(self) -> None:
        if not self._retry_is_due:
            self._retry_is_due = True
            self._ports.call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        """Send what the budget allows, and drop what has waited too long."""
        self._retry_is_due = False
        now = self._clock.monotonic()
        self._update_budget(now)
        self._drop_expired(now - MAX_WAIT_SECONDS)
        refused = self._meter.refused
        while self.waiting and self._meter.refused == refused:
            if not self._send_next():
                break
        if self.waiting:
            self._schedule_retry()

    def _send_next(self) -> bool:
        """Send the next message that waits, if the budget allows it."""
        if self._changes:
            message = self._changes[0]
        else:
            message = next(iter(self._digests.values()))
        if not self._budget.take(len(message.datagram)):
            return False
        if self._changes:
            self._changes.popleft()
            datagram = message.datagram
        else:
            self._digests.pop(message.receiver)
            datagram = self._ports.refresh_digest(message.datagram)
        self._ports.send(datagram, message.receiver)
        return True

    def _drop_expired(self, oldest: float) -> None:
        while self._changes and self._changes[0].since < oldest:
            self._changes.popleft()
            self._events['gossip_dropped'] += 1
        expired = [
            receiver
            for receiver, digest in self._digests.items()
            if digest.since < oldest
        ]
        for receiver in expired:
            self._digests.pop(receiver)
            self._events['gossip_dropped'] += 1

    def _update_budget(self, now: float) -> None:
        if now - self._updated_at >= UPDATE_SECONDS:
            self._updated_at = now
            self._budget.update(self._traffic(), now)

    def _traffic(self) -> Traffic:
        """Return what was sent since the start."""
        tallies = self._meter.sent.by_kind
        urgent = [tallies[kind] for kind in URGENT_KINDS]
        return Traffic(
            tallies[PAYLOAD].size,
            sum(tally.messages for tally in urgent),
            sum(tally.size for tally in urgent),
            self._meter.refused,
        )
