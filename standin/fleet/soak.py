"""Randomized soak: the packet-level data path under overlapping faults.

Real processes are stopped, suspended, killed and reloaded by signals. Callers'
packets are lost and delayed. The store refuses calls, stalls, loses its history
and is restored from backups. Connections of some processes to the store are delayed, reset, or cut
in one direction or both. Entries are cut off from callers, upstreams leave and
crash, and configurations are published. Processes that end are restarted.
Responses and resets are checked as they arrive, the other invariants at the
end. With ``--other-build`` the processes start with the sources in that folder,
and are replaced one after the other by this build, and back.
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
    Vm,
)
from standin.fleet.proxy import ProxyMode
from standin.fleet.store import FaultMode

ENTRY_COUNT = 3
DESK_UPSTREAMS = 4
LAYOUT_UPSTREAMS = 2
FAULT_INTERVAL_SECONDS = (0.1, 1.2)
# Minimum share of answered requests, whatever the faults.
MIN_ANSWERED_SHARE = 0.25

Fault = Callable[['Soak'], Awaitable[str]]


@dataclass
class PacketFaults:
    """Faults of the packets between callers and entries."""

    random: random.Random
    loss: float = 0
    # Maximum delay of a packet in seconds.
    max_delay_seconds: float = 0
    unreachable_entries: set[str] = field(default_factory=set)

    def reaches_entry(self, entry: str) -> bool:
        """Return whether a packet to an entry is delivered."""
        if entry in self.unreachable_entries:
            return False
        return self.is_delivered()

    def is_delivered(self) -> bool:
        """Return at random whether a packet is delivered."""
        return self.random.random() >= self.loss

    def draw_delay(self) -> float:
        """Return a random packet delay in seconds."""
        return self.random.uniform(0, self.max_delay_seconds)


class Soak:
    """A run with random faults, determined by its seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        network: int = NETWORK,
        faults: Sequence[Fault] = (),
        other_build: Path | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults or FAULTS
        self.other_build = other_build
        if other_build is not None:
            # Builds are replaced as often as all other faults together occur.
            replacements = [replace_build for _ in self.faults]
            self.faults = (*self.faults, *replacements)
        self.seconds = seconds
        self.deployment = Deployment(folder, network)
        self.deployment.other_build = other_build
        self.tally = Tally()
        self.packet_faults = PacketFaults(random.Random(seed))
        self.caller_hosts: list[CallerHost] = []
        self.draining_since: dict[str, float] = {}
        self.violations: list[str] = []
        self.fault_log: list[str] = []

    async def run(self) -> Sequence[str]:
        """Inject faults and return the violated invariants."""
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
        """Start the deployment and wait until it is ready."""
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
        """Start callers of both services; every other one reuses its flow."""
        for number in range(1, 4):
            address = self.deployment.address(3, number)
            host = CallerHost(address, PACKET_PORT, self.route)
            host.on_reset = self.check_reset
            host.is_delivered = self.packet_faults.is_delivered
            host.draw_delay = self.packet_faults.draw_delay
            host.open(sockets)
            self.caller_hosts.append(host)
            for user in range(6):
                port = 444 if user % 3 == 2 else 443
                service = (SERVICE_HOST, port, ROUTES[port])
                caller = Caller(f'c{number}-{user}', host, service, self.tally)
                running = caller.run(reuse_flow=user % 2 == 0)
                stack.callback(asyncio.create_task(running).cancel)

    def route(self, flow: tuple[object, ...]) -> str:
        """Return the entry that gets a packet, empty if the packet is lost."""
        entry = self.deployment.route(flow)
        return entry if self.packet_faults.reaches_entry(entry) else ''

    def check_reset(self, caller: tuple[str, int]) -> None:
        """Check that a flow is not reset while an upstream has it open."""
        for vm in self.deployment.vms.values():
            upstream = vm.upstream
            if upstream is None or caller in upstream.half_open:
                continue
            if caller in upstream.streams:
                self.violations.append(f'reset of a flow held at {vm.name}')

    async def end_faults(self) -> None:
        """End all faults and check that callers are served again."""
        self.packet_faults.loss = 0
        self.packet_faults.max_delay_seconds = 0
        self.packet_faults.unreachable_entries.clear()
        self.deployment.store.fault_mode = FaultMode.HEALTHY
        for vm in self.deployment.vms.values():
            vm.proxy.mode = ProxyMode.OPEN
            self.deployment.send_signal(vm, signal.SIGCONT)
        await asyncio.sleep(5)
        before = self.tally.counts['answered']
        await asyncio.sleep(2)
        if self.tally.counts['answered'] - before < 50:
            self.violations.append('callers are not served after the faults')

    def check_invariants(self) -> None:
        """Check the results of callers and upstreams."""
        counts = self.tally.counts
        for mismatch in ('mixed answers', 'wrong service', 'cut short'):
            if counts[mismatch]:
                self.violations.append(f'{mismatch}: {counts[mismatch]}')
        runs: dict[str, int] = {}
        corrupted = sum(host.corrupted for host in self.caller_hosts)
        for vm in self.deployment.vms.values():
            if vm.upstream is None:
                continue
            corrupted += vm.upstream.corrupted
            for request, count in vm.upstream.runs.items():
                runs[request] = runs.get(request, 0) + count
            self.check_draining(vm)
        if corrupted:
            self.violations.append(f'corrupted packets: {corrupted}')
        doubled = [
            request_id
            for request_id in self.tally.non_idempotent
            if runs.get(request_id, 0) > 1
        ]
        if doubled:
            self.violations.append(f'run twice: {doubled}')
        if counts['answered'] < MIN_ANSWERED_SHARE * counts['asked']:
            self.violations.append(f'too few requests answered: {dict(counts)}')

    def check_draining(self, vm: Vm) -> None:
        """Check that a leaving upstream has no new flows after the limit."""
        draining_since = self.draining_since.get(vm.name)
        if draining_since is None or vm.upstream is None:
            return
        late = [
            round(opened_at - draining_since, 2)
            for opened_at in vm.upstream.opened_at
            if opened_at > draining_since + DRAIN_SECONDS
        ]
        if late:
            self.violations.append(f'new flows at {vm.name}: {late}')

    def pick_any_vm(self) -> Vm:
        """Return a random VM, an entry or an agent with equal odds."""
        return self.pick_vm(upstream=self.random.choice((True, False)))

    def pick_vm(self, *, upstream: bool) -> Vm:
        """Return a random entry, or a random agent's VM."""
        vms = [
            vm
            for vm in self.deployment.vms.values()
            if (vm.upstream is not None) is upstream
        ]
        return self.random.choice(vms)


async def stop_process(soak: Soak) -> str:
    """Stop a process gracefully; it is restarted."""
    vm = soak.pick_any_vm()
    soak.deployment.send_signal(vm, signal.SIGTERM)
    return f'SIGTERM {vm.name}'


async def kill_process(soak: Soak) -> str:
    """Kill a process; it is restarted."""
    vm = soak.pick_any_vm()
    soak.deployment.send_signal(vm, signal.SIGKILL)
    return f'SIGKILL {vm.name}'


async def reload_process(soak: Soak) -> str:
    """Make a process reload its settings."""
    vm = soak.pick_any_vm()
    soak.deployment.send_signal(vm, signal.SIGHUP)
    return f'SIGHUP {vm.name}'


async def suspend_process(soak: Soak) -> str:
    """Suspend a process for a random time."""
    vm = soak.pick_any_vm()
    soak.deployment.send_signal(vm, signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        soak.random.uniform(0.3, 2.5),
        soak.deployment.send_signal,
        vm,
        signal.SIGCONT,
    )
    return f'SIGSTOP {vm.name}'


async def lose_packets(soak: Soak) -> str:
    """Set the loss rate of callers' packets."""
    soak.packet_faults.loss = soak.random.choice((0, 0, 0.02, 0.1))
    return f'loss {soak.packet_faults.loss}'


async def delay_packets(soak: Soak) -> str:
    """Set the maximum delay of callers' packets."""
    soak.packet_faults.max_delay_seconds = soak.random.choice((0, 0.02, 0.15))
    return f'delay {soak.packet_faults.max_delay_seconds}'


async def disturb_store_access(soak: Soak) -> str:
    """Set the proxy mode of some processes for a random time."""
    vms = list(soak.deployment.vms.values())
    chosen = soak.random.sample(vms, soak.random.randint(1, 4))
    mode = soak.random.choice(tuple(ProxyMode))
    for vm in chosen:
        vm.proxy.mode = mode
        asyncio.get_running_loop().call_later(
            soak.random.uniform(0.3, 4),
            setattr,
            vm.proxy,
            'mode',
            ProxyMode.OPEN,
        )
    return f'store {mode.value} for {[target.name for target in chosen]}'


async def cut_off_entry(soak: Soak) -> str:
    """Cut off an entry from callers, or reconnect it."""
    if soak.packet_faults.unreachable_entries:
        soak.packet_faults.unreachable_entries.clear()
        return 'no entry is cut off'
    vm = soak.pick_vm(upstream=False)
    soak.packet_faults.unreachable_entries.add(vm.host)
    return f'{vm.name} is cut off'


async def change_store_fault(soak: Soak) -> str:
    """Set the fault mode of the store."""
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
    return 'store history dropped'


async def publish_configuration(soak: Soak) -> str:
    """Publish a configuration with the same routes."""
    soak.deployment.publish(ROUTES)
    return 'configuration published'


async def drain_upstream(soak: Soak) -> str:
    """Publish that the first desk upstream leaves, if it has not yet left.

    Desk is the larger service.
    """
    vm = soak.deployment.vms['agent-1']
    upstream = vm.upstream
    assert upstream is not None
    if soak.deployment.store.fault_mode is not FaultMode.HEALTHY:
        return 'no change while the store is faulty'
    if vm.name in soak.draining_since:
        return 'already leaving'
    soak.draining_since[vm.name] = asyncio.get_running_loop().time()
    soak.deployment.drain_upstream(vm)
    return f'{vm.name} leaves'


async def crash_upstream(soak: Soak) -> str:
    """Make a desk upstream other than the first lose all its flows."""
    vm = soak.deployment.vms[f'agent-{soak.random.randint(2, DESK_UPSTREAMS)}']
    assert vm.upstream is not None
    vm.upstream.drop_flows()
    return f'the upstream of {vm.name} crashes'


async def back_up_store(soak: Soak) -> str:
    """Keep a copy of the store."""
    soak.deployment.store.back_up()
    return 'store backed up'


async def restore_store(soak: Soak) -> str:
    """Restore the store from a backup; lost data is written again later."""
    deployment = soak.deployment
    if not deployment.store.backups:
        return 'no backup to restore'
    deployment.store.restore(soak.random.choice(deployment.store.backups))
    asyncio.get_running_loop().call_later(
        soak.random.uniform(0.1, 2), deployment.write_lost_data
    )
    return f'store restored, era {deployment.store.era}'


async def replace_build(soak: Soak) -> str:
    """Stop a process gracefully; its restart runs the other build."""
    vm = soak.pick_any_vm()
    is_upgrade = vm.other_build is not None
    vm.other_build = None if is_upgrade else soak.other_build
    soak.deployment.send_signal(vm, signal.SIGTERM)
    return f'{"upgrade" if is_upgrade else "rollback"} of {vm.name}'


# Faults of the first test seeds. Changing this list would change the sequence
# of faults of each seed.
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
FAULTS = (
    *BASE_FAULTS,
    delay_packets,
    disturb_store_access,
    back_up_store,
    restore_store,
)


def run_seed(
    seed: int,
    seconds: float,
    logs: Path | None = None,
    network: int = NETWORK,
    faults: Sequence[Fault] = (),
    other_build: Path | None = None,
) -> Soak:
    """Run a seed and return the finished run."""
    with tempfile.TemporaryDirectory() as folder:
        log_folder = logs / str(seed) if logs else Path(folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, seconds, log_folder, network, faults, other_build)
        asyncio.run(soak.run())
    return soak


def main() -> int:
    """Run a range of seeds in sequence."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-1', help='first-last')
    parser.add_argument('--seconds', type=float, default=15)
    parser.add_argument(
        '--network',
        type=int,
        default=NETWORK,
        help='second byte of the loopback addresses, for runs side by side',
    )
    parser.add_argument('--logs', type=Path, help='folder for the logs')
    parser.add_argument(
        '--other-build',
        type=Path,
        help='folder with the sources of another build to begin with',
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = run_seed(
            seed,
            options.seconds,
            options.logs,
            options.network,
            other_build=options.other_build,
        )
        failed += bool(soak.violations)
        outcome = '; '.join(soak.violations) or 'passed'
        counts = soak.tally.counts
        served = f'{counts["answered"]} of {counts["asked"]}'
        sys.stdout.write(f'seed {seed}: {outcome} ({served} answered)\n')
        if soak.violations:
            sys.stdout.write(f'  {"; ".join(soak.fault_log)}\n')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
