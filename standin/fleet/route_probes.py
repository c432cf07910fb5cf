"""Opens flows on a route through every entry, one after the other."""

import asyncio
import math
from collections.abc import Sequence
from contextlib import AsyncExitStack, ExitStack, suppress
from dataclasses import dataclass

from standin.fleet.callers import CallerHost, FlowFailedError
from standin.fleet.deployment import PACKET_PORT, SERVICE_HOST, Deployment

INTERVAL_SECONDS = 0.1


@dataclass(frozen=True)
class Attempt:
    """The result of opening one flow."""

    # Name of the entry.
    entry: str
    # Loop time of its first packet, in seconds.
    started_at: float
    # Whether an upstream accepted it.
    accepted: bool
    # Whether it was reset.
    refused: bool = False


class RouteProbes:
    """Attempts to open flows on one route, by entry."""

    def __init__(self, deployment: Deployment, number: int, port: int) -> None:
        """Initialize with the number of the callers' address and the route."""
        self.attempts: list[Attempt] = []
        self._deployment = deployment
        self._number = number
        self._service = (SERVICE_HOST, port)

    def start(self, stack: AsyncExitStack) -> None:
        """Attempt to open flows until ``stack`` closes."""
        sockets = stack.enter_context(ExitStack())
        for vm in self._deployment.vms.values():
            if vm.upstream is not None:
                continue
            self._number += 1
            host = CallerHost(
                self._deployment.address(3, self._number),
                PACKET_PORT,
                lambda *_, entry=vm.host: entry,
            )
            host.open(sockets)
            running = asyncio.create_task(self._run(vm.name, host))
            stack.callback(running.cancel)

    def failed_since(self, moment: float) -> Sequence[Attempt]:
        """Return the attempts from a loop time on that entries did not route.

        They were reset, or not answered by an entry that has not yet opened a
        flow. One that has opened a flow knows the route: a missing answer is a
        lost packet or a late process.
        """
        opened = {
            attempt.entry: attempt.started_at
            for attempt in reversed(self.attempts)
            if attempt.accepted
        }
        return [
            attempt
            for attempt in self.since(moment, accepted=False)
            if attempt.refused
            or attempt.started_at < opened.get(attempt.entry, math.inf)
        ]

    def since(self, moment: float, *, accepted: bool) -> Sequence[Attempt]:
        """Return the attempts from a loop time on with a result."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.started_at >= moment and attempt.accepted is accepted
        ]

    async def _run(self, entry: str, host: CallerHost) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            flow = host.new_flow(self._service)
            accepted = False
            with suppress(FlowFailedError):
                await flow.open()
                accepted = True
            refused = flow.is_reset
            flow.close()
            attempt = Attempt(entry, started_at, accepted, refused)
            self.attempts.append(attempt)
            await asyncio.sleep(INTERVAL_SECONDS)
