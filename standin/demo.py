"""Runs the QUIC data path under load and faults and prints the results.

Exits with 1 if an invariant was violated.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from ragwortpost.version import short_id
from standin.deployment import (
    Deployment,
    DeploymentPlan,
    UpstreamPlan,
    cedarline,
    sanad,
)
from standin.workload import Tally, Workload

EVENT_READERS = 24
POSTERS = 12
DOWNLOADERS = 6
# Seconds in which all processes must apply a published version.
MAX_APPLY_SECONDS = 7
# Metrics that must be zero.
_INVARIANTS = (
    'wrong_service',
    'doubled',
    'lost',
    'mixed_answers',
    'broken_flows',
    'untrue_refusals',
    'over_limit',
    'event_gaps',
    'late_in_force',
)


class Demo:
    """A run of the scenario on one deployment."""

    def __init__(self, plan: DeploymentPlan, folder: Path, seed: int) -> None:
        """Initialize with the plan, a folder for files and logs, and a seed."""
        self.deployment = Deployment(plan, folder)
        self.workload = Workload(seed)
        self.saved_counters: list[dict[str, object]] = []
        self.apply_seconds: list[float] = []

    async def run(self) -> dict[str, float | str]:
        """Run the scenario and return its metrics."""
        async with AsyncExitStack() as stack:
            self.print_progress('starting processes')
            await self.deployment.start(stack, settle_seconds=2)
            self.start_callers()
            await self.run_scenario()
            self.print_progress('stopping callers')
            await self.workload.finish()
            await self.save_all_counters()
            return self.metrics()

    def print_progress(self, text: str) -> None:
        """Print a progress line."""
        sys.stdout.write(f'# {text}\n')
        sys.stdout.flush()

    def start_callers(self) -> None:
        """Start the callers of both services."""
        first, second = self.deployment.plan.services
        self.workload.start(
            *(
                self.workload.read_events(first, f'counter-{number}')
                for number in range(EVENT_READERS)
            )
        )
        self.workload.start(
            *(
                self.workload.post_operations(first, f'scan-{number}')
                for number in range(POSTERS)
            )
        )
        self.workload.start(
            *(
                self.workload.download_documents(second, f'pull-{number}')
                for number in range(DOWNLOADERS)
            )
        )

    async def run_scenario(self) -> None:
        """Apply the faults and settings changes, for about 20 s."""
        deployment = self.deployment
        leaving_upstream, restarted_upstream = deployment.upstreams[:2]
        data_centre = deployment.plan.data_centres[1]
        await asyncio.sleep(3)
        self.print_progress(f'{leaving_upstream.name} leaves')
        deployment.settings.upstream_states[leaving_upstream.name] = 'leaving'
        await self.publish_change()
        await asyncio.sleep(2)
        self.print_progress(f'{restarted_upstream.name} restarts and warms up')
        await self.save_counters(restarted_upstream.name)
        deployment.send_signal(
            f'upstream:{restarted_upstream.name}', signal.SIGKILL
        )
        await deployment.start_upstream(restarted_upstream)
        await asyncio.sleep(1)
        await self.replace_agent(deployment.upstreams[4])
        await asyncio.sleep(1)
        self.print_progress('entry-2 is killed')
        deployment.send_signal('entry-2', signal.SIGKILL)
        await asyncio.sleep(0.5)
        live_entries = [deployment.entry_host(number) for number in (1, 3)]
        deployment.send_to_fabric(' '.join(live_entries))
        await asyncio.sleep(1.5)
        self.print_progress(f'{data_centre} is drained')
        self.workload.tally.drained_upstreams |= {
            short_id(upstream.name)
            for upstream in deployment.upstreams
            if upstream.data_centre == data_centre
        }
        deployment.settings.data_centre_states[data_centre] = 'out'
        await self.publish_change()
        await asyncio.sleep(5)
        self.print_progress(f'{data_centre} returns')
        deployment.settings.data_centre_states.pop(data_centre)
        await self.publish_change()
        await asyncio.sleep(3)
        self.print_progress(f'{leaving_upstream.name} returns')
        deployment.settings.upstream_states.clear()
        await self.publish_change()
        await asyncio.sleep(2)
        for upstream in deployment.upstreams[3:5]:
            await self.replace_agent(upstream)
        await asyncio.sleep(3)

    async def replace_agent(self, upstream: UpstreamPlan) -> None:
        """Stop the agent of an upstream and start its successor."""
        deployment = self.deployment
        self.print_progress(f'the agent of {upstream.name} is replaced')
        deployment.leaving.add(upstream.name)
        await deployment.publish_vms()
        deployment.send_signal(upstream.name, signal.SIGTERM)
        await deployment.processes[upstream.name].wait()
        await deployment.start_agent(upstream)
        deployment.leaving.clear()
        await deployment.publish_vms()

    async def publish_change(self) -> None:
        """Publish the settings and record the time until they are applied."""
        version = await self.deployment.publish()
        seconds = await self.deployment.seconds_until_applied(version)
        self.apply_seconds.append(seconds)

    async def save_counters(self, name: str) -> None:
        """Save the counters of an upstream, which a restart resets."""
        for upstream in self.deployment.upstreams:
            if upstream.name == name:
                self.saved_counters.append(
                    await self.deployment.fetch_counters(upstream)
                )

    async def save_all_counters(self) -> None:
        """Save the counters of all upstreams."""
        for upstream in self.deployment.upstreams:
            self.saved_counters.append(
                await self.deployment.fetch_counters(upstream)
            )

    def metrics(self) -> dict[str, float | str]:
        """Return the metrics of the run, keyed as in the report."""
        tally = self.workload.tally
        runs_by_operation = self.runs_by_operation()
        states = tally.operations
        answered = [
            operation
            for operation, state in states.items()
            if state == 'answered'
        ]
        not_run = [
            operation
            for operation, state in states.items()
            if state == 'not-run'
        ]
        return {
            'requests': tally.requests,
            'answered': tally.answered,
            'refused_not_run': tally.refused_not_run,
            'unknown': tally.unknown,
            'wrong_service': self.total('wrong_service'),
            'doubled': sum(count > 1 for count in runs_by_operation.values()),
            'lost': sum(
                operation not in runs_by_operation for operation in answered
            ),
            'untrue_refusals': sum(
                operation in runs_by_operation for operation in not_run
            ),
            'mixed_answers': tally.mixed_answers,
            'broken_flows': tally.broken_flows,
            'broken_reasons': ', '.join(tally.broken_reasons),
            'given_up': tally.given_up,
            'event_gaps': tally.event_gaps,
            'over_limit': self.total('over_limit'),
            'cold_falls': self.total('falls'),
            'max_in_force_s': round(max(self.apply_seconds), 2),
            'late_in_force': sum(
                seconds > MAX_APPLY_SECONDS for seconds in self.apply_seconds
            ),
            'max_back_s': round(max(tally.back_seconds, default=0), 2),
            **latencies(tally),
        }

    def runs_by_operation(self) -> dict[str, int]:
        """Return the number of runs of each non-idempotent operation."""
        runs_by_operation: dict[str, int] = {}
        for counters in self.saved_counters:
            counted_runs = counters.get('runs', {})
            assert isinstance(counted_runs, dict)  # noqa: S101
            for operation, count in counted_runs.items():
                runs_by_operation[operation] = (
                    runs_by_operation.get(operation, 0) + count
                )
        return runs_by_operation

    def total(self, name: str) -> int:
        """Return the sum of a counter over all upstreams."""
        return sum(
            int(str(counters.get(name, 0))) for counters in self.saved_counters
        )


def latencies(tally: Tally) -> dict[str, float]:
    """Return latency percentiles of the answered requests."""
    return {
        'p50_ms': tally.latencies.get_value_at_percentile(50) / 1000,
        'p99_ms': tally.latencies.get_value_at_percentile(99) / 1000,
    }


def main() -> int:
    """Run the demo; the exit status is 1 if an invariant was violated."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        '--deployment', choices=('cedarline', 'sanad'), default='cedarline'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--keep', help='folder for the logs of all processes')
    options = parser.parse_args()
    plan = cedarline() if options.deployment == 'cedarline' else sanad()
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(plan, Path(options.keep or folder), options.seed)
        metrics = asyncio.run(demo.run())
    for name, metric in metrics.items():
        suffix = ' (invariant)' if name in _INVARIANTS else ''
        sys.stdout.write(f'{name:>16}  {metric:>10}{suffix}\n')
    violated = [name for name in _INVARIANTS if metrics[name]]
    if violated:
        sys.stdout.write(f'# violated invariants: {", ".join(violated)}\n')
    sys.stdout.write(
        json.dumps({'deployment': plan.name, 'seed': options.seed, **metrics})
        + '\n'
    )
    return 1 if violated else 0


if __name__ == '__main__':
    sys.exit(main())
