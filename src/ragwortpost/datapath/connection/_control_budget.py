"""Bounds the control traffic of a process by its link and its processor.

Urgent control messages (openings, lookups, their replies, registrations,
demands and grants) are sent at once and charged. Gossip (changes of the view
and digests) is sent only while the budget has something left.
"""

import math
from dataclasses import dataclass
from typing import Final

# Share of the link and of the processor that control messages may use, and
# least share of the link, however much of it payload fills.
CONTROL_SHARE: Final = 0.1
MIN_CONTROL_SHARE: Final = 0.02
# Share that gossip may use even if urgent messages take the whole budget: about
# half of the ordinary digests on a link of 10 Mbit/s. Without any digests,
# peers would take the process for dead and read the store in its place.
RESERVED_GOSSIP_SHARE: Final = 0.01
# Assumed processor time of a message on a whole core.
MESSAGE_SECONDS: Final = 0.00006
# Unused budget is kept for this time. A burst then occupies the link for 20 ms,
# and a whole core sends a change to 800 processes at once.
LINK_BURST_SECONDS: Final = 0.2
PROCESSOR_BURST_SECONDS: Final = 0.5
# The budget is halved for this time after a socket refused a datagram.
REFUSAL_SECONDS: Final = 0.1
REFUSAL_FACTOR: Final = 0.5
# Interval over which the payload's share of the link is measured.
PAYLOAD_INTERVAL_SECONDS: Final = 0.1
_BYTES_PER_MEGABIT: Final = 125000


@dataclass(frozen=True, slots=True)
class Traffic:
    """What a process has sent since its start."""

    # Bytes of callers' packets.
    payload_bytes: int = 0
    # Control messages other than gossip.
    urgent_messages: int = 0
    urgent_bytes: int = 0
    # Datagrams of any kind that a socket refused.
    refused: int = 0


class _Allowance:
    """Token bucket of one resource, in seconds of its use."""

    def __init__(self, share: float, burst_seconds: float) -> None:
        """Initialize with the share of the resource and a full bucket."""
        self._burst_seconds = burst_seconds
        self._left = share * burst_seconds

    @property
    def is_left(self) -> bool:
        """Whether a message may be sent, even one larger than what is left."""
        return self._left > 0

    def settle(self, gained: float, used: float, share: float) -> None:
        """Add what was gained and subtract what urgent messages used.

        The debt that these leave is bounded by a burst, so that gossip
        continues soon after they end.
        """
        burst = share * self._burst_seconds
        left = self._left + gained - used
        self._left = min(burst, max(left, min(self._left, -burst)))

    def charge(self, used: float) -> None:
        """Subtract what a message uses that was allowed."""
        self._left -= used


class _Pool:
    """Allowances of both resources, of which a message needs both."""

    def __init__(self, share: float) -> None:
        """Initialize with the share of both resources."""
        self.link: Final = _Allowance(share, LINK_BURST_SECONDS)
        self.processor: Final = _Allowance(share, PROCESSOR_BURST_SECONDS)

    def take(self, link_seconds: float, processor_seconds: float) -> bool:
        """Charge a message unless one of the allowances is used up."""
        if not (self.link.is_left and self.processor.is_left):
            return False
        self.link.charge(link_seconds)
        self.processor.charge(processor_seconds)
        return True


class _PayloadLoad:
    """Measures the share of the link that payload leaves to other messages."""

    def __init__(self, link_rate: float, now: float) -> None:
        """Initialize with the bytes per second of the link."""
        self._link_rate = link_rate
        self._measured_at = now
        self._sent_bytes = 0
        self._link_share = CONTROL_SHARE

    def control_share(self, sent_bytes: int, now: float) -> float:
        """Return the share, given the payload sent since the start."""
        elapsed = now - self._measured_at
        if elapsed >= PAYLOAD_INTERVAL_SECONDS:
            rate = (sent_bytes - self._sent_bytes) / elapsed
            left = 1 - rate / self._link_rate
            self._link_share = max(MIN_CONTROL_SHARE, min(CONTROL_SHARE, left))
            self._measured_at = now
            self._sent_bytes = sent_bytes
        return self._link_share


class ControlBudget:
    """Decides whether a process may send gossip now."""

    def __init__(
        self, link_megabits: float, processor_cores: float, now: float
    ) -> None:
        """Initialize with the resources of the process and a full budget.

        A link without a positive bandwidth is not bounded.
        """
        self._link_rate = (
            link_megabits * _BYTES_PER_MEGABIT
            if link_megabits > 0
            else math.inf
        )
        self._message_seconds = MESSAGE_SECONDS / processor_cores
        self._main = _Pool(CONTROL_SHARE)
        self._reserved = _Pool(RESERVED_GOSSIP_SHARE)
        self._payload = _PayloadLoad(self._link_rate, now)
        self._updated_at = now
        self._sent = Traffic()
        self._refused_at = -math.inf

    def update(self, sent: Traffic, now: float) -> None:
        """Refill the budget, and charge the urgent messages sent meanwhile."""
        elapsed = max(0, now - self._updated_at)
        self._updated_at = now
        if sent.refused > self._sent.refused:
            self._refused_at = now
        recently_refused = now - self._refused_at < REFUSAL_SECONDS
        factor = REFUSAL_FACTOR if recently_refused else 1
        sent_bytes = sent.urgent_bytes - self._sent.urgent_bytes
        message_count = sent.urgent_messages - self._sent.urgent_messages
        self._sent = sent
        share = factor * self._payload.control_share(sent.payload_bytes, now)
        self._main.link.settle(
            share * elapsed, sent_bytes / self._link_rate, share
        )
        share = factor * CONTROL_SHARE
        self._main.processor.settle(
            share * elapsed, message_count * self._message_seconds, share
        )
        share = factor * RESERVED_GOSSIP_SHARE
        for reserved in (self._reserved.link, self._reserved.processor):
            reserved.settle(share * elapsed, 0, share)

    def take(self, size: int) -> bool:
        """Return whether a gossip message may be sent, and charge it if so."""
        link_seconds = size / self._link_rate
        return self._main.take(
            link_seconds, self._message_seconds
        ) or self._reserved.take(link_seconds, self._message_seconds)
