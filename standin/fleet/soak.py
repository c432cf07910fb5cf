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
from standin.fleet.proxy import ProxyMode
from standin.fleet.store import FaultMode

ENTRY_COUNT = 3
DESK_UPSTREAMS = 4
LAYOUT_UPSTREAMS = 2
FAULT_INTERVAL_SECONDS = (0.1, 1.2)
# Part of the requests that must be answered, whatever happens.
MIN_ANSWERED_SHARE = 0.25

Fault = Callable[['Soak'], Awaitable[str]]


@dataclass
class PacketFaults:
    """What happens to callers' packets."""

    random: random.Random
    loss: float = 0
    # Longest delay of a packet, in seconds.
    delay: float = 0
    unreachable_entries: set[str] = field(default_factory=set)

    def reaches_entry(self, entry: str) -> bool:
        """Return whether a packet to an entry arrives."""
        if entry in self.unreachable_entries:
            return False
        return self.is_delivered()

    def is_delivered(self) -> bool:
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
        self.packet_faults = PacketFaults(random.Random(seed))
        self.caller_hosts: list[CallerHost] = []
        self.draining_since: dict[str, float] = {}
        self.violations: list[str] = []
        self.fault_log: list[str] = []

    async def run(self) -> Sequence[str]:
        """Play and return the promises that broke."""
        async with AsyncExitStack() as stack:
            sockets = stack.enter_context(ExitStack())
            await self.start(stack)
            self.start_callers(stack, sockets)
            end = asyncio.get_running_loop().time() + self.seconds
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(
                    self.random.uniform(*FAULT_INTERVAL_SECONDS)
                )
                self.fault_log.append(
                    await self.random.choice(self.faults)(self)
                )
            await self.end_faults()
            self.check_invariants()
        return self.violations

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the deployment."""
        deployment = self.deployment
        await deployment.start(stack, ROUTES)
        for number in range(1, ENTRY_COUNT + 1):
            deployment.add_entry(number, 'north')
        for number in range(1, DESK_UPSTREAMS + LAYOUT_UPSTREAMS + 1):
            service = 'desk' if number <= DESK_UPSTREAMS else 'layout'
            deployment.add_upstream(number, service, 'north')
        await deployment.wait_until_ready()
        deployment.first_start = False
        await asyncio.sleep(1)

    def start_callers(self, stack: AsyncExitStack, sockets: ExitStack) -> None:
        """Start users of both services, with long flows and short ones."""
        for number in range(1, 4):
            address = self.deployment.address(3, number)
            host = CallerHost(address, PACKET_PORT, self.route)
            host.on_reset = self.check_reset
            host.is_delivered = self.packet_faults.is_delivered
            host.delay = self.packet_faults.draw_delay
            host.open(sockets)
            self.caller_hosts.append(host)
            for user in range(6):
                port = 444 if user % 3 == 2 else 443
                service = (SERVICE_HOST, port, ROUTES[port])
                caller = Caller(f'c{number}-{user}', host, service, self.tally)
                running = caller.run(reuse_flow=user % 2 == 0)
                stack.callback(asyncio.create_task(running).cancel)

    def route(self, flow: tuple[object, ...]) -> str:
        """Return the entry for a packet, none if it is lost."""
        entry = self.deployment.route(flow)
        return entry if self.packet_faults.reaches_entry(entry) else ''

    def check_reset(self, caller: tuple[str, int]) -> None:
        """A flow that a living upstream holds is never reset."""
        for machine in self.deployment.machines.values():
            upstream = machine.upstream
            if upstream is None or caller in upstream.half_open:
                continue
            if caller in upstream.streams:
                self.violations.append(
                    f'reset of a flow held at {machine.name}'
                )

    async def end_faults(self) -> None:
        """End all faults and let callers come back."""
        self.packet_faults.loss = 0
        self.packet_faults.delay = 0
        self.packet_faults.unreachable_entries.clear()
        self.deployment.store.fault_mode = FaultMode.HEALTHY
        for machine in self.deployment.machines.values():
            machine.proxy.mode = ProxyMode.OPEN
            self.deployment.send_signal(machine, signal.SIGCONT)
        await asyncio.sleep(5)
        before = self.tally.counts['answered']
        await asyncio.sleep(2)
        if self.tally.counts['answered'] - before < 50:
            self.violations.append('callers are not served after the faults')

    def check_invariants(self) -> None:
        """Compare what callers and upstreams saw with the promises."""
        counts = self.tally.counts
        for fault in ('mixed answers', 'wrong service', 'cut short'):
            if counts[fault]:
                self.violations.append(f'{fault}: {counts[fault]}')
        runs: dict[str, int] = {}
        corrupted = sum(host.corrupted for host in self.caller_hosts)
        for machine in self.deployment.machines.values():
            if machine.upstream is None:
                continue
            corrupted += machine.upstream.corrupted
            for request, count in machine.upstream.runs.items():
                runs[request] = runs.get(request, 0) + count
            self.check_draining(machine)
        if corrupted:
            self.violations.append(f'packets changed on the way: {corrupted}')
        doubled = [
            operation
            for operation in self.tally.non_idempotent
            if runs.get(operation, 0) > 1
        ]
        if doubled:
            self.violations.append(f'run twice: {doubled}')
        if counts['answered'] < MIN_ANSWERED_SHARE * counts['asked']:
            self.violations.append(f'served too few: {dict(counts)}')

    def check_draining(self, machine: Machine) -> None:
        """A leaving upstream gets no new flows after a while."""
        draining_since = self.draining_since.get(machine.name)
        if draining_since is None or machine.upstream is None:
            return
        late = [
            round(opened_at - draining_since, 2)
            for opened_at in machine.upstream.opened_at
            if opened_at > draining_since + DRAIN_SECONDS
        ]
        if late:
            self.violations.append(f'new flows at {machine.name}: {late}')

    def pick_any_machine(self) -> Machine:
        """Return an entry or an agent, each kind as often."""
        return self.pick_machine(upstream=self.random.choice((True, False)))

    def pick_machine(self, *, upstream: bool) -> Machine:
        """Return one of the entries or of the agents."""
        machines = [
            machine
            for machine in self.deployment.machines.values()
            if (machine.upstream is not None) is upstream
        ]
        return self.random.choice(machines)


async def stop_process(soak: Soak) -> str:
    """Stop a process as planned; it starts again."""
    machine = soak.pick_any_machine()
    soak.deployment.send_signal(machine, signal.SIGTERM)
    return f'SIGTERM {machine.name}'


async def kill_process(soak: Soak) -> str:
    """Kill a process; it starts again."""
    machine = soak.pick_any_machine()
    soak.deployment.send_signal(machine, signal.SIGKILL)
    return f'SIGKILL {machine.name}'


async def reload_process(soak: Soak) -> str:
    """Tell a process that its settings changed."""
    machine = soak.pick_any_machine()
    soak.deployment.send_signal(machine, signal.SIGHUP)
    return f'SIGHUP {machine.name}'


async def suspend_process(soak: Soak) -> str:
    """Pause a process for a while."""
    machine = soak.pick_any_machine()
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
    soak.packet_faults.loss = soak.random.choice((0, 0, 0.02, 0.1))
    return f'loss {soak.packet_faults.loss}'


async def delay_packets(soak: Soak) -> str:
    """Delay the callers' packets from now on, or not."""
    soak.packet_faults.delay = soak.random.choice((0, 0.02, 0.15))
    return f'delay {soak.packet_faults.delay}'


async def disturb_store_access(soak: Soak) -> str:
    """Disturb the ways of some processes to the store for a while."""
    machines = list(soak.deployment.machines.values())
    chosen = soak.random.sample(machines, soak.random.randint(1, 4))
    mode = soak.random.choice(tuple(ProxyMode))
    for machine in chosen:
        machine.proxy.mode = mode
        asyncio.get_running_loop().call_later(
            soak.random.uniform(0.3, 4),
            setattr,
            machine.proxy,
            'mode',
            ProxyMode.OPEN,
        )
    return f'store {mode.value} for {[target.name for target in chosen]}'


async def cut_off_entry(soak: Soak) -> str:
    """Cut callers off from one entry, or end that."""
    if soak.packet_faults.unreachable_entries:
        soak.packet_faults.unreachable_entries.clear()
        return 'no entry is cut off'
    machine = soak.pick_machine(upstream=False)
    soak.packet_faults.unreachable_entries.add(machine.host)
    return f'{machine.name} is cut off'


async def change_store_fault(soak: Soak) -> str:
    """Change how the store treats calls."""
    fault_modes = (
        FaultMode.HEALTHY,
        FaultMode.HEALTHY,
        FaultMode.UNAVAILABLE,
        FaultMode.UNRESPONSIVE,
    )
    soak.deployment.store.fault_mode = soak.random.choice(fault_modes)
    return f'store {soak.deployment.store.fault_mode.value}'


async def drop_store_history(soak: Soak) -> str:
    """Drop the store's history."""
    soak.deployment.store.drop_history()
    return 'store forgets'


async def publish_configuration(soak: Soak) -> str:
    """Publish a configuration with the same routes."""
    soak.deployment.publish(ROUTES)
    return 'configuration'


async def drain_upstream(soak: Soak) -> str:
    """Let one upstream of the larger service say that it leaves, or return."""
    machine = soak.deployment.machines['agent-1']
    upstream = machine.upstream
    assert upstream is not None
    if soak.deployment.store.fault_mode is not FaultMode.HEALTHY:
        return 'no change while the store is away'
    if machine.name in soak.draining_since:
        return 'it has left'
    soak.draining_since[machine.name] = asyncio.get_running_loop().time()
    soak.deployment.drain_upstream(machine)
    return f'{machine.name} leaves'


async def crash_upstream(soak: Soak) -> str:
    """Let an upstream forget all its flows."""
    machine = soak.deployment.machines[
        f'agent-{soak.random.randint(2, DESK_UPSTREAMS)}'
    ]
    assert machine.upstream is not None
    machine.upstream.drop_flows()
    return f'the upstream of {machine.name} crashes'


# The faults of the first kept seeds: another list would change their stories.
BASE_FAULTS: tuple[Fault, ...] = (
    stop_process,
    kill_process,
    reload_process,
    suspend_process,
    lose_packets,
    cut_off_entry,
    change_store_fault,
    drop_store_history,
    publish_configuration,
    drain_upstream,
    crash_upstream,
)
FAULTS = (*BASE_FAULTS, delay_packets, disturb_store_access)


def run_seed(
    seed: int,
    seconds: float,
    logs: Path | None = None,
    network: int = NETWORK,
    faults: Sequence[Fault] = (),
) -> Soak:
    """Play one seed and return the run."""
    with tempfile.TemporaryDirectory() as folder:
        log_folder = logs / str(seed) if logs else Path(folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, seconds, log_folder, network, faults)
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
        soak = run_seed(seed, options.seconds, options.logs, options.network)
        failed += bool(soak.violations)
        outcome = '; '.join(soak.violations) or 'kept'
        counts = soak.tally.counts
        served = f'{counts["answered"]} of {counts["asked"]}'
        sys.stdout.write(f'seed {seed}: {outcome} ({served} answered)\n')
        if soak.violations:
            sys.stdout.write(f'  {"; ".join(soak.fault_log)}\n')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
