"""Plays twenty seconds of a deployment on the platform's stand-ins.

One entry stops as planned, one agent is killed, an entry joins, an upstream
leaves and the store is away for a while. Exits with 1 if a promise broke.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from types import MappingProxyType

from standin.fleet.callers import Caller, CallerHost, Tally
from standin.fleet.deployment import (
    NETWORK,
    PACKET_PORT,
    SERVICE_HOST,
    Deployment,
    Machine,
)
from standin.fleet.store import Mood

ROUTES = MappingProxyType({443: 'desk', 444: 'layout'})
DRAIN_SECONDS = 3.0
# Seconds that an agent may take from its kill to its first packet.
AGENT_AWAY_SECONDS = 4.0


class Demo:
    """One play."""

    def __init__(self, folder: Path, network: int = NETWORK) -> None:
        self.deployment = Deployment(folder, network)
        self.tally = Tally()
        self.hosts: list[CallerHost] = []
        self.broken: list[str] = []
        self.killed_at: float = 0
        self.left_at: float = 0
        self.left: Machine | None = None

    async def run(self) -> list[str]:
        """Play and return the promises that broke."""
        async with AsyncExitStack() as stack:
            sockets = stack.enter_context(ExitStack())
            await self.deployment.start(stack, ROUTES)
            for number in (1, 2, 3):
                self.deployment.add_entry(number, 'north')
            for number in range(1, 5):
                self.deployment.add_upstream(number, 'desk', 'north')
            for number in (5, 6):
                self.deployment.add_upstream(number, 'layout', 'north')
            await self.deployment.until_ready()
            self.deployment.first_start = False
            await asyncio.sleep(1)
            self.start_callers(stack, sockets)
            await self.play()
            self.judge()
        return self.broken

    def start_callers(self, stack: AsyncExitStack, sockets: ExitStack) -> None:
        """Start users of both services, with long flows and short ones."""
        for number in range(1, 5):
            host = CallerHost(
                self.deployment.address(3, number),
                PACKET_PORT,
                self.deployment.route,
            )
            host.open(sockets)
            self.hosts.append(host)
            for user in range(6):
                port = 444 if user % 3 == 2 else 443
                service = (SERVICE_HOST, port, ROUTES[port])
                caller = Caller(f'c{number}-{user}', host, service, self.tally)
                running = caller.run(long=user % 2 == 0)
                stack.callback(asyncio.create_task(running).cancel)

    async def play(self) -> None:
        """Let things happen, one after the other."""
        machines = self.deployment.machines
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2)
        self.say('entry-1 is stopped')
        self.deployment.send_signal(machines['entry-1'], signal.SIGTERM)
        await asyncio.sleep(4)
        self.say('entry-4 joins')
        self.deployment.add_entry(4, 'north')
        await asyncio.sleep(2)
        self.say('the store is away')
        self.deployment.store.mood = Mood.BUSY
        await asyncio.sleep(1)
        self.say('agent-1 is killed')
        self.killed_at = loop.time()
        self.deployment.send_signal(machines['agent-1'], signal.SIGKILL)
        await asyncio.sleep(3)
        self.say('the store is back without its history')
        self.deployment.store.forget_history()
        self.deployment.store.mood = Mood.WELL
        await asyncio.sleep(2)
        self.say('the upstream beside agent-2 leaves')
        self.left = machines['agent-2']
        self.left_at = loop.time()
        self.deployment.drain_upstream(self.left)
        await asyncio.sleep(6)

    def judge(self) -> None:
        """Compare what callers and upstreams saw with the promises."""
        counts = self.tally.counts
        for fault in ('mixed answers', 'wrong service', 'cut short'):
            self.expect(not counts[fault], f'{fault}: {counts[fault]}')
        unsealed = sum(host.unsealed for host in self.hosts)
        runs: dict[str, int] = {}
        for machine in self.deployment.machines.values():
            upstream = machine.upstream
            if upstream is None:
                continue
            unsealed += upstream.unsealed
            for request, count in upstream.runs.items():
                runs[request] = runs.get(request, 0) + count
        self.expect(not unsealed, f'packets changed on the way: {unsealed}')
        doubled = [one for one in self.tally.unsafe if runs.get(one, 0) > 1]
        self.expect(not doubled, f'run twice: {doubled}')
        lost = [one for one in self.tally.served if one not in runs]
        self.expect(not lost, f'answered without a run: {lost}')
        self.judge_failures()
        self.judge_left()

    def judge_failures(self) -> None:
        """Only the killed agent's absence may have cost anybody anything."""
        away = range(int(AGENT_AWAY_SECONDS) + 1)
        unexcused = [
            (round(at - self.killed_at, 2), cause)
            for at, cause in self.tally.failures
            if int(at - self.killed_at) not in away or at < self.killed_at
        ]
        self.expect(not unexcused, f'failed without cause: {unexcused}')

    def judge_left(self) -> None:
        """A leaving upstream gets no new flows after a while."""
        assert self.left is not None
        assert self.left.upstream is not None
        late = [
            round(at - self.left_at, 2)
            for at in self.left.upstream.opened
            if at > self.left_at + DRAIN_SECONDS
        ]
        self.expect(not late, f'new flows at a leaving upstream: {late}')

    def expect(self, kept: object, otherwise: str) -> None:
        """Note a promise that broke."""
        if not kept:
            self.broken.append(otherwise)

    def say(self, text: str) -> None:
        """Show progress."""
        answered = self.tally.counts['answered']
        sys.stdout.write(f'# {text} ({answered} answers so far)\n')
        sys.stdout.flush()


def main() -> int:
    """Play once and print what callers saw."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--logs', type=Path, help='keep the logs here')
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        kept = options.logs or Path(folder)
        kept.mkdir(parents=True, exist_ok=True)
        demo = Demo(kept)
        broken = asyncio.run(demo.run())
    latencies = sorted(demo.tally.latencies)
    figures = {
        **demo.tally.counts,
        'p50_ms': round(latencies[len(latencies) // 2] * 1000, 1),
        'p99_ms': round(latencies[len(latencies) * 99 // 100] * 1000, 1),
        'store_calls': demo.deployment.store.calls,
        'broken': broken,
    }
    sys.stdout.write(f'{json.dumps(figures)}\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
