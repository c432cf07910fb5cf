"""Admission of requests to one upstream.

At full capacity an upstream runs ``slots`` requests at once, during the ramp
only a share of that. Since a slot can't be split, this capacity is rounded up
to whole slots, and each slot cools down after a request so long that the slots
in use do not exceed the capacity on average.
"""

import asyncio
import math
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from result import Err, Ok, Result

from ragwortpost._clock import Clock
from ragwortpost.request._outcome import RefusalReason
from ragwortpost.request._ramp import Ramp
from ragwortpost.version import Policy

_ROUNDING_TOLERANCE: Final = 1e-9


class Slots:
    """The request slots of one upstream and the bounded queue for them."""

    def __init__(self, clock: Clock, policy: Policy, ramp: Ramp) -> None:
        """Initialize with all slots free."""
        self._clock = clock
        self._policy = policy
        self._ramp = ramp
        # Slots that run a request or cool down after one.
        self._occupied = 0
        # Slots that run a request.
        self._running = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiters)

    @property
    def free(self) -> int:
        """Number of slots that are available without waiting."""
        return max(0, self._concurrency() - self._occupied - self.queued)

    @property
    def policy(self) -> Policy:
        """The limits in force."""
        return self._policy

    def apply(self, policy: Policy) -> None:
        """Replace the limits; running requests are not affected."""
        self._policy = policy
        self._admit_waiters()

    async def acquire(self, deadline: float) -> Result[None, RefusalReason]:
        """Acquire a slot, or return why none was available.

        Waits until the queue timeout or until ``deadline``, a monotonic time
        in seconds. Each success must be paired with one :meth:`release`.
        """
        if self.free > 0:
            self._occupy()
            return Ok(None)
        if self.queued >= self._policy.queue:
            return Err(RefusalReason.QUEUE_FULL)
        return await self._wait_in_queue(deadline)

    def release(self, started: float) -> None:
        """Release a slot acquired at ``started``, monotonic time in seconds."""
        self._running -= 1
        cooldown = self._cooldown(self._clock.monotonic() - started)
        if cooldown > _ROUNDING_TOLERANCE:
            asyncio.get_running_loop().call_later(cooldown, self._return_slot)
        else:
            self._return_slot()

    @contextmanager
    def released_on_exit(self) -> Iterator[None]:
        """Release the slot acquired just before when the block ends."""
        started = self._clock.monotonic()
        try:
            yield
        finally:
            self.release(started)

    async def _wait_in_queue(
        self, deadline: float
    ) -> Result[None, RefusalReason]:
        limit = self._clock.monotonic()
        limit += self._policy.queue_timeout.total_seconds()
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(min(limit, deadline)):
                await waiter
        except TimeoutError:
            return self._cancel_waiter(waiter)
        except asyncio.CancelledError:
            if self._cancel_waiter(waiter).is_ok():
                self.release(self._clock.monotonic())
            raise
        return Ok(None)

    def _cancel_waiter(
        self,
        waiter: asyncio.Future[None],
    ) -> Result[None, RefusalReason]:
        if waiter.done() and not waiter.cancelled():
            return Ok(None)
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        return Err(RefusalReason.QUEUE_TIMEOUT)

    def _concurrency(self) -> int:
        return max(1, math.ceil(self._capacity() - _ROUNDING_TOLERANCE))

    def _capacity(self) -> float:
        return self._ramp.share(self._policy) * self._policy.slots

    def _cooldown(self, busy_seconds: float) -> float:
        return busy_seconds * (self._concurrency() / self._capacity() - 1)

    def _occupy(self) -> None:
        self._occupied += 1
        self._running += 1

    def _return_slot(self) -> None:
        self._occupied -= 1
        self._admit_waiters()

    def _admit_waiters(self) -> None:
        while self._waiters and self._occupied < self._concurrency():
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._occupy()
                waiter.set_result(None)
