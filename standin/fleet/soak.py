"""Randomized soak: real processes, faults from outside, promises checked.

Faults come in series and overlap: processes are stopped, paused, killed and
restarted by signals, callers' packets are lost and delayed, the store refuses,
stalls, loses its history, single processes reach it late, one way or not at
all, upstreams leave and crash.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from standin.fleet.callers import Caller, CallerHost, Tally
from standin.fleet.demo import DRAIN_SECONDS, ROUTES
from standin.fleet.deployment import (
    NETWORK,
    PACKET_PORT,
    SERVICE_HOST,
    Deployment,
    Machine,
)
from standin.fleet.proxy import Passage
from standin.fleet.store import Mood

ENTRIES = 3
DESKS = 4
LAYOUTS = 2
PAUSE_SECONDS = (0.1, 1.2)
# Part of the requests that must be answered, whatever happens.
SERVED_SHARE = 0.25

Fault = Callable[['Soak'], Awaitable[str]]


@dataclass
class Link:
    """What happens to callers' packets."""

    random: random.Random
    loss: float = 0
    # Longest delay of a packet, in seconds.
    delay: float = 0
    silenced: set[str] = field(default_factory=set)

    def passes(self, entry: str) -> bool:
        """Return whether a packet to an entry arrives."""
        if entry in self.silenced:
            return False
        return self.arrives()

    def arrives(self) -> bool:
        """Return whether one packet is not lost."""
        return self.random.random() >= self.loss

    def draw_delay(self) -> float:
        """Return the seconds that one packet takes."""
        return self.random.uniform(0, self.delay)


class Soak:
    """One run of one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        network: int = NETWORK,
        faults: Sequence[Fault] = (),
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults or FAULTS
        self.seconds = seconds
        self.deployment = Deployment(folder, network)
        self.tally = Tally()
        self.link = Link(random.Random(seed))
        self.hosts: list[CallerHost] = []
        self.left: dict[str, float] = {}
        self.broken: list[str] = []
        self.story: list[str] = []

    async def run(self) -> Sequence[str]:
        """Play and return the promises that broke."""
        async with AsyncExitStack() as stack:
            sockets = stack.enter_context(ExitStack())
            await self.start(stack)
            self.start_callers(stack, sockets)
            end = asyncio.get_running_loop().time() + self.seconds
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
                self.story.append(await self.random.choice(self.faults)(self))
            await self.calm()
            self.judge()
        return self.broken

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the deployment."""
        deployment = self.deployment
        await deployment.start(stack, ROUTES)
        for number in range(1, ENTRIES + 1):
            deployment.add_entry(number, 'north')
        for number in range(1, DESKS + LAYOUTS + 1):
            service = 'desk' if number <= DESKS else 'layout'
            deployment.add_upstream(number, service, 'north')
        await deployment.until_ready()
        deployment.first_start = False
        await asyncio.sleep(1)

    def start_callers(self, stack: AsyncExitStack, sockets: ExitStack) -> None:
        """Start users of both services, with long flows and short ones."""
        for number in range(1, 4):
            address = self.deployment.address(3, number)
            host = CallerHost(address, PACKET_PORT, self.route)
            host.on_reset = self.check_reset
            host.arrives = self.link.arrives
            host.delay = self.link.draw_delay
            host.open(sockets)
            self.hosts.append(host)
            for user in range(6):
                port = 444 if user % 3 == 2 else 443
                service = (SERVICE_HOST, port, ROUTES[port])
                caller = Caller(f'c{number}-{user}', host, service, self.tally)
                running = caller.run(long=user % 2 == 0)
                stack.callback(asyncio.create_task(running).cancel)

    def route(self, flow: tuple[object, ...]) -> str:
        """Return the entry for a packet, none if it is lost."""
        entry = self.deployment.route(flow)
        return entry if self.link.passes(entry) else ''

    def check_reset(self, caller: tuple[str, int]) -> None:
        """A flow that a living upstream holds is never reset."""
        for machine in self.deployment.machines.values():
            upstream = machine.upstream
            if upstream is None or caller in upstream.half_open:
                continue
            if caller in upstream.streams:
                self.broken.append(f'reset of a flow held at {machine.name}')

    async def calm(self) -> None:
        """End all faults and let callers come back."""
        self.link.loss = 0
        self.link.delay = 0
        self.link.silenced.clear()
        self.deployment.store.mood = Mood.WELL
        for machine in self.deployment.machines.values():
            machine.proxy.passage = Passage.OPEN
            self.deployment.send_signal(machine, signal.SIGCONT)
        await asyncio.sleep(5)
        before = self.tally.counts['answered']
        await asyncio.sleep(2)
        if self.tally.counts['answered'] - before < 50:
            self.broken.append('callers are not served after the faults')

    def judge(self) -> None:
        """Compare what callers and upstreams saw with the promises."""
        counts = self.tally.counts
        for fault in ('mixed answers', 'wrong service', 'cut short'):
            if counts[fault]:
                self.broken.append(f'{fault}: {counts[fault]}')
        runs: dict[str, int] = {}
        unsealed = sum(host.unsealed for host in self.hosts)
        for machine in self.deployment.machines.values():
            if machine.upstream is None:
                continue
            unsealed += machine.upstream.unsealed
            for request, count in machine.upstream.runs.items():
                runs[request] = runs.get(request, 0) + count
            self.judge_left(machine)
        if unsealed:
            self.broken.append(f'packets changed on the way: {unsealed}')
        doubled = [one for one in self.tally.unsafe if runs.get(one, 0) > 1]
        if doubled:
            self.broken.append(f'run twice: {doubled}')
        if counts['answered'] < SERVED_SHARE * counts['asked']:
            self.broken.append(f'served too few: {dict(counts)}')

    def judge_left(self, machine: Machine) -> None:
        """A leaving upstream gets no new flows after a while."""
        left = self.left.get(machine.name)
        if left is None or machine.upstream is None:
            return
        late = [
            round(at - left, 2)
            for at in machine.upstream.opened
            if at > left + DRAIN_SECONDS
        ]
        if late:
            self.broken.append(f'new flows at {machine.name}: {late}')

    def pick_any(self) -> Machine:
        """Return an entry or an agent, each kind as often."""
        return self.pick(upstream=self.random.choice((True, False)))

    def pick(self, *, upstream: bool) -> Machine:
        """Return one of the entries or of the agents."""
        machines = [
            one
            for one in self.deployment.machines.values()
            if (one.upstream is not None) is upstream
        ]
        return self.random.choice(machines)


async def stop_one(soak: Soak) -> str:
    """Stop a process as planned; it starts again."""
    machine = soak.pick_any()
    soak.deployment.send_signal(machine, signal.SIGTERM)
    return f'SIGTERM {machine.name}'


async def kill_one(soak: Soak) -> str:
    """Kill a process; it starts again."""
    machine = soak.pick_any()
    soak.deployment.send_signal(machine, signal.SIGKILL)
    return f'SIGKILL {machine.name}'


async def reload_one(soak: Soak) -> str:
    """Tell a process that its settings changed."""
    machine = soak.pick_any()
    soak.deployment.send_signal(machine, signal.SIGHUP)
    return f'SIGHUP {machine.name}'


async def pause_one(soak: Soak) -> str:
    """Pause a process for a while."""
    machine = soak.pick_any()
    soak.deployment.send_signal(machine, signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        soak.random.uniform(0.3, 2.5),
        soak.deployment.send_signal,
        machine,
        signal.SIGCONT,
    )
    return f'SIGSTOP {machine.name}'


async def lose_packets(soak: Soak) -> str:
    """Lose some of the callers' packets from now on, or none."""
    soak.link.loss = soak.random.choice((0, 0, 0.02, 0.1))
    return f'loss {soak.link.loss}'


async def delay_packets(soak: Soak) -> str:
    """Delay the callers' packets from now on, or not."""
    soak.link.delay = soak.random.choice((0, 0.02, 0.15))
    return f'delay {soak.link.delay}'


async def cut_from_store(soak: Soak) -> str:
    """Disturb the ways of some processes to the store for a while."""
    machines = list(soak.deployment.machines.values())
    chosen = soak.random.sample(machines, soak.random.randint(1, 4))
    passage = soak.random.choice(tuple(Passage))
    for machine in chosen:
        machine.proxy.passage = passage
        asyncio.get_running_loop().call_later(
            soak.random.uniform(0.3, 4),
            setattr,
            machine.proxy,
            'passage',
            Passage.OPEN,
        )
    return f'store {passage.value} for {[one.name for one in chosen]}'


async def silence_entry(soak: Soak) -> str:
    """Cut callers off from one entry, or end that."""
    if soak.link.silenced:
        soak.link.silenced.clear()
        return 'no entry is cut off'
    machine = soak.pick(upstream=False)
    soak.link.silenced.add(machine.host)
    return f'{machine.name} is cut off'


async def change_mood(soak: Soak) -> str:
    """Change how the store treats calls."""
    moods = (Mood.WELL, Mood.WELL, Mood.BUSY, Mood.SILENT)
    soak.deployment.store.mood = soak.random.choice(moods)
    return f'store {soak.deployment.store.mood.value}'


async def forget_history(soak: Soak) -> str:
    """Drop the store's history."""
    soak.deployment.store.forget_history()
    return 'store forgets'


async def publish(soak: Soak) -> str:
    """Publish a configuration with the same routes."""
    soak.deployment.publish(ROUTES)
    return 'configuration'


async def leave(soak: Soak) -> str:
    """Let one upstream of the larger service say that it leaves, or return."""
    machine = soak.deployment.machines['agent-1']
    upstream = machine.upstream
    assert upstream is not None
    if soak.deployment.store.mood is not Mood.WELL:
        return 'no change while the store is away'
    if machine.name in soak.left:
        return 'it has left'
    soak.left[machine.name] = asyncio.get_running_loop().time()
    soak.deployment.drain_upstream(machine)
    return f'{machine.name} leaves'


async def crash_upstream(soak: Soak) -> str:
    """Let an upstream forget all its flows."""
    machine = soak.deployment.machines[f'agent-{soak.random.randint(2, DESKS)}']
    assert machine.upstream is not None
    machine.upstream.reset_all()
    return f'the upstream of {machine.name} crashes'


# The faults of the first kept seeds: another list would change their stories.
FIRST_FAULTS: tuple[Fault, ...] = (
    stop_one,
    kill_one,
    reload_one,
    pause_one,
    lose_packets,
    silence_entry,
    change_mood,
    forget_history,
    publish,
    leave,
    crash_upstream,
)
FAULTS = (*FIRST_FAULTS, delay_packets, cut_from_store)


def play(
    seed: int,
    seconds: float,
    logs: Path | None = None,
    network: int = NETWORK,
    faults: Sequence[Fault] = (),
) -> Soak:
    """Play one seed and return the run."""
    with tempfile.TemporaryDirectory() as folder:
        kept = logs / str(seed) if logs else Path(folder)
        kept.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, seconds, kept, network, faults)
        asyncio.run(soak.run())
    return soak


def main() -> int:
    """Play seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-1', help='first-last')
    parser.add_argument('--seconds', type=float, default=15)
    parser.add_argument(
        '--network',
        type=int,
        default=NETWORK,
        help='second byte of the loopback addresses, for runs side by side',
    )
    parser.add_argument('--logs', type=Path, help='keep the logs here')
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = play(seed, options.seconds, options.logs, options.network)
        failed += bool(soak.broken)
        verdict = '; '.join(soak.broken) or 'kept'
        counts = soak.tally.counts
        served = f'{counts["answered"]} of {counts["asked"]}'
        sys.stdout.write(f'seed {seed}: {verdict} ({served} answered)\n')
        if soak.broken:
            sys.stdout.write(f'  {"; ".join(soak.story)}\n')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
