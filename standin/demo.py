"""Runs a deployment under load and faults and prints what its callers saw."""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from ragwortpost.version import short_id
from standin.deployment import Deployment, Plan, cedarline, sanad
from standin.workload import Tally, Workload

PRINTERS = 24
SCANNERS = 12
PULLERS = 6
IN_FORCE_SECONDS = 7
_PROMISES = (
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
    """One run of the story."""

    def __init__(self, plan: Plan, folder: Path, seed: int) -> None:
        """Prepare the deployment and its callers."""
        self.deployment = Deployment(plan, folder)
        self.load = Workload(seed)
        self.history: list[dict[str, object]] = []
        self.in_force: list[float] = []

    async def run(self) -> dict[str, float]:
        """Play the story and return the figures."""
        async with AsyncExitStack() as stack:
            self.say('starting processes')
            await self.deployment.start(stack, warm=2)
            self.start_callers()
            await self.play()
            self.say('stopping callers')
            await self.load.finish()
            await self.keep_history()
            return self.figures()

    def say(self, text: str) -> None:
        """Show progress."""
        sys.stdout.write(f'# {text}\n')
        sys.stdout.flush()

    def start_callers(self) -> None:
        """Start the callers."""
        first, second = self.deployment.plan.services
        self.load.start(
            *(
                self.load.read_events(first, f'counter-{number}')
                for number in range(PRINTERS)
            )
        )
        self.load.start(
            *(
                self.load.post_operations(first, f'scan-{number}')
                for number in range(SCANNERS)
            )
        )
        self.load.start(
            *(
                self.load.download_documents(second, f'pull-{number}')
                for number in range(PULLERS)
            )
        )

    async def play(self) -> None:
        """Play the faults and changes of the story, about 20 s."""
        deployment = self.deployment
        drained, restarted = deployment.upstreams[:2]
        site = deployment.plan.sites[1]
        await asyncio.sleep(3)
        self.say(f'{drained.name} drains')
        deployment.tree.upstreams[drained.name] = 'leaving'
        await self.change()
        await asyncio.sleep(2)
        self.say(f'{restarted.name} restarts and is cold')
        await self.keep(restarted.name)
        deployment.signal(f'upstream:{restarted.name}', signal.SIGKILL)
        await deployment.start_upstream(restarted)
        await asyncio.sleep(1)
        replaced = deployment.upstreams[4]
        self.say(f'the agent of {replaced.name} stops and is replaced')
        deployment.leaving.add(replaced.name)
        await deployment.publish_vms()
        deployment.signal(replaced.name, signal.SIGTERM)
        await deployment.processes[replaced.name].wait()
        await deployment.start_agent(replaced)
        deployment.leaving.clear()
        await deployment.publish_vms()
        await asyncio.sleep(1)
        self.say('entry-2 is killed')
        deployment.signal('entry-2', signal.SIGKILL)
        await asyncio.sleep(0.5)
        live = [deployment.entry_host(number) for number in (1, 3)]
        deployment.tell_fabric(' '.join(live))
        await asyncio.sleep(1.5)
        self.say(f'{site} is taken out')
        self.load.tally.drained_upstreams |= {
            short_id(upstream.name)
            for upstream in deployment.upstreams
            if upstream.site == site
        }
        deployment.tree.sites[site] = 'out'
        await self.change()
        await asyncio.sleep(5)
        self.say(f'{site} returns')
        deployment.tree.sites.pop(site)
        await self.change()
        await asyncio.sleep(3)
        self.say(f'{drained.name} returns')
        deployment.tree.upstreams.clear()
        await self.change()
        await asyncio.sleep(2)

    async def change(self) -> None:
        """Publish the tree and time until it is in force everywhere."""
        version = await self.deployment.publish()
        seconds = await self.deployment.seconds_to_in_force(version)
        self.in_force.append(seconds)

    async def keep(self, name: str) -> None:
        """Keep what one upstream saw before it is killed."""
        for upstream in self.deployment.upstreams:
            if upstream.name == name:
                self.history.append(await self.deployment.seen(upstream))

    async def keep_history(self) -> None:
        """Keep what all upstreams saw."""
        for upstream in self.deployment.upstreams:
            self.history.append(await self.deployment.seen(upstream))

    def figures(self) -> dict[str, float]:
        """Return the figures of the run."""
        tally = self.load.tally
        runs = self.runs()
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
            'doubled': sum(count > 1 for count in runs.values()),
            'lost': sum(operation not in runs for operation in answered),
            'untrue_refusals': sum(operation in runs for operation in not_run),
            'mixed_answers': tally.mixed_answers,
            'broken_flows': tally.broken_flows,
            'given_up': tally.given_up,
            'event_gaps': tally.event_gaps,
            'over_limit': self.total('over_limit'),
            'cold_falls': self.total('falls'),
            'max_in_force_s': round(max(self.in_force), 2),
            'late_in_force': sum(
                seconds > IN_FORCE_SECONDS for seconds in self.in_force
            ),
            'max_back_s': round(max(tally.back_seconds, default=0), 2),
            **latencies(tally),
        }

    def runs(self) -> dict[str, int]:
        """Return how often each non-idempotent operation was run."""
        runs: dict[str, int] = {}
        for seen in self.history:
            seen_runs = seen.get('runs', {})
            assert isinstance(seen_runs, dict)  # noqa: S101
            for operation, count in seen_runs.items():
                runs[operation] = runs.get(operation, 0) + count
        return runs

    def total(self, name: str) -> int:
        """Add up one figure over all upstreams."""
        return sum(int(str(seen.get(name, 0))) for seen in self.history)


def latencies(tally: Tally) -> dict[str, float]:
    """Return the latencies of answered requests."""
    return {
        'p50_ms': tally.latencies.get_value_at_percentile(50) / 1000,
        'p99_ms': tally.latencies.get_value_at_percentile(99) / 1000,
    }


def main() -> int:
    """Run the demonstration; the exit status is 1 if a promise broke."""
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
        figures = asyncio.run(demo.run())
    for name, figure in figures.items():
        mark = ' (promise)' if name in _PROMISES else ''
        sys.stdout.write(f'{name:>16}  {figure:>10}{mark}\n')
    broken = [name for name in _PROMISES if figures[name]]
    if broken:
        sys.stdout.write(f'# broken promises: {", ".join(broken)}\n')
    sys.stdout.write(
        json.dumps({'deployment': plan.name, 'seed': options.seed, **figures})
        + '\n'
    )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
