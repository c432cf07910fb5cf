"""Runs the packet-level data path for 25 seconds with the stand-ins.

An entry stops gracefully, an agent is killed, an entry joins, an upstream
leaves, the store is unavailable for a while and is restored from a backup that
does not know that the upstream leaves. Exits with 1 if an invariant
was violated.
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
    Vm,
)
from standin.fleet.store import FaultMode

ROUTES = MappingProxyType({443: 'desk', 444: 'layout'})
# Seconds in which a leaving upstream may still get new flows.
DRAIN_SECONDS = 3.0
# Seconds that a killed agent may take until it sends packets again. They are
# compared as whole seconds, so failures are accepted for up to 5 s.
AGENT_RESTART_SECONDS = 4.0


class Demo:
    """A run of the scenario."""

    def __init__(self, folder: Path, network: int = NETWORK) -> None:
        self.deployment = Deployment(folder, network)
        self.tally = Tally()
        self.caller_hosts: list[CallerHost] = []
        self.violations: list[str] = []
        self.killed_at: float = 0
        self.draining_since: float = 0
        self.draining: Vm | None = None

    async def run(self) -> list[str]:
        """Run the scenario and return the violated invariants."""
        async with AsyncExitStack() as stack:
            sockets = stack.enter_context(ExitStack())
            await self.deployment.start(stack, ROUTES)
            for number in (1, 2, 3):
                self.deployment.add_entry(number, 'north')
            for number in range(1, 5):
                self.deployment.add_upstream(number, 'desk', 'north')
            for number in (5, 6):
                self.deployment.add_upstream(number, 'layout', 'north')
            await self.deployment.wait_until_ready()
            self.deployment.first_start = False
            await asyncio.sleep(1)
            self.start_callers(stack, sockets)
            await self.run_scenario()
            self.check_invariants()
        return self.violations

    def start_callers(self, stack: AsyncExitStack, sockets: ExitStack) -> None:
        """Start callers of both services; every other one reuses its flow."""
        for number in range(1, 5):
            host = CallerHost(
                self.deployment.address(3, number),
                PACKET_PORT,
                self.deployment.route,
            )
            host.open(sockets)
            self.caller_hosts.append(host)
            for user in range(6):
                port = 444 if user % 3 == 2 else 443
                service = (SERVICE_HOST, port, ROUTES[port])
                caller = Caller(f'c{number}-{user}', host, service, self.tally)
                running = caller.run(reuse_flow=user % 2 == 0)
                stack.callback(asyncio.create_task(running).cancel)

    async def run_scenario(self) -> None:
        """Apply the faults and changes in sequence."""
        vms = self.deployment.vms
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2)
        self.print_progress('entry-1 stops gracefully')
        self.deployment.send_signal(vms['entry-1'], signal.SIGTERM)
        await asyncio.sleep(4)
        self.print_progress('entry-4 joins')
        self.deployment.add_entry(4, 'north')
        await asyncio.sleep(2)
        self.print_progress('the store is unavailable')
        self.deployment.store.fault_mode = FaultMode.UNAVAILABLE
        await asyncio.sleep(1)
        self.print_progress('agent-1 is killed')
        self.killed_at = loop.time()
        self.deployment.send_signal(vms['agent-1'], signal.SIGKILL)
        await asyncio.sleep(3)
        self.print_progress('the store recovers without its history')
        self.deployment.store.drop_history()
        self.deployment.store.fault_mode = FaultMode.HEALTHY
        await asyncio.sleep(2)
        self.deployment.store.back_up()
        self.print_progress('the upstream beside agent-2 leaves')
        self.draining = vms['agent-2']
        self.draining_since = loop.time()
        self.deployment.drain_upstream(self.draining)
        await asyncio.sleep(4)
        self.print_progress('the store is restored from a backup')
        store = self.deployment.store
        store.restore(store.backups[-1])
        await asyncio.sleep(1.5)
        self.print_progress('operators and upstreams write lost data again')
        self.deployment.write_lost_data()
        await asyncio.sleep(1.5)

    def check_invariants(self) -> None:
        """Check the results of callers and upstreams."""
        counts = self.tally.counts
        for mismatch in ('mixed answers', 'wrong service', 'cut short'):
            self.expect(not counts[mismatch], f'{mismatch}: {counts[mismatch]}')
        corrupted = sum(host.corrupted for host in self.caller_hosts)
        runs: dict[str, int] = {}
        for vm in self.deployment.vms.values():
            upstream = vm.upstream
            if upstream is None:
                continue
            corrupted += upstream.corrupted
            for request, count in upstream.runs.items():
                runs[request] = runs.get(request, 0) + count
        self.expect(not corrupted, f'corrupted packets: {corrupted}')
        doubled = [
            request_id
            for request_id in self.tally.non_idempotent
            if runs.get(request_id, 0) > 1
        ]
        self.expect(not doubled, f'run twice: {doubled}')
        lost = [
            request_id
            for request_id in self.tally.served
            if request_id not in runs
        ]
        self.expect(not lost, f'answered without a run: {lost}')
        self.check_failures()
        self.check_draining()

    def check_failures(self) -> None:
        """Check that requests failed only while the killed agent restarted."""
        restart_window = range(int(AGENT_RESTART_SECONDS) + 1)
        unexpected = [
            (round(failed_at - self.killed_at, 2), cause)
            for failed_at, cause in self.tally.failures
            if int(failed_at - self.killed_at) not in restart_window
            or failed_at < self.killed_at
        ]
        self.expect(not unexpected, f'unexpected failures: {unexpected}')

    def check_draining(self) -> None:
        """Check that a leaving upstream has no new flows after the limit."""
        assert self.draining is not None
        assert self.draining.upstream is not None
        late = [
            round(opened_at - self.draining_since, 2)
            for opened_at in self.draining.upstream.opened_at
            if opened_at > self.draining_since + DRAIN_SECONDS
        ]
        self.expect(not late, f'new flows at a leaving upstream: {late}')

    def expect(self, holds: object, violation: str) -> None:
        """Record a violation unless ``holds`` is true."""
        if not holds:
            self.violations.append(violation)

    def print_progress(self, text: str) -> None:
        """Print a progress line with the number of answered requests."""
        answered = self.tally.counts['answered']
        sys.stdout.write(f'# {text} ({answered} answers so far)\n')
        sys.stdout.flush()


def main() -> int:
    """Run the demo and print its metrics."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--logs', type=Path, help='folder for the logs')
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        log_folder = options.logs or Path(folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        demo = Demo(log_folder)
        violations = asyncio.run(demo.run())
    latencies = sorted(demo.tally.latencies)
    metrics = {
        **demo.tally.counts,
        'p50_ms': round(latencies[len(latencies) // 2] * 1000, 1),
        'p99_ms': round(latencies[len(latencies) * 99 // 100] * 1000, 1),
        'store_calls': demo.deployment.store.calls,
        'broken': violations,
    }
    sys.stdout.write(f'{json.dumps(metrics)}\n')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
