"""The three measures of the brief, ours beside the naive version.

Run it as ``make measures``; it writes docs/measures.json.
"""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

import pytest

from standin.deployment import cedarline, sanad
from tests.harness.fleet import Fleet
from tests.harness.naive import use_naive_policies

SEEDS = (1, 2, 3, 4, 5)
WORK_SECONDS = 0.1
CALLERS = 60
BALANCE_SECONDS = 12
Figures = dict[str, float]


def run(
    work: Callable[[Fleet], Awaitable[Figures]], fleet: Fleet, policy: str
) -> Figures:
    """Run one measure on a fleet under a policy."""
    patch = pytest.MonkeyPatch()
    if policy == 'naive':
        use_naive_policies(patch)

    async def whole() -> Figures:
        await fleet.start()
        figures = await work(fleet)
        await fleet.stop()
        return figures

    try:
        return fleet.run(whole())  # type: ignore[return-value]
    finally:
        patch.undo()
        fleet.close()


async def broken_flows(fleet: Fleet) -> Figures:
    """Make planned changes under open flows and count the broken ones."""
    desk = fleet.address('badge-desk')
    streams, posters = 40, 20
    for _ in range(streams):
        fleet.callers.start(fleet.callers.stream(desk))
    for number in range(posters):
        fleet.callers.start(fleet.callers.post(desk, f'p{number}', 0.5))
    await asyncio.sleep(3)
    changes = 0
    names = [name for name in fleet.upstreams if name.startswith('badge-desk')]
    for name in names[:3]:
        fleet.sections[f'upstream {name}']['state'] = 'leaving'
        fleet.publish()
        changes += 1
        await asyncio.sleep(4)
    fleet.add_upstream('badge-desk/old-office/8')
    await fleet.start_process('badge-desk/old-office/8')
    fleet.publish()
    fleet.publish_vms()
    changes += 1
    await asyncio.sleep(6)
    for name in names[:2]:
        fleet.sections[f'upstream {name}']['state'] = 'in'
        fleet.publish()
        changes += 1
        await asyncio.sleep(3)
    for name in names[3:5]:
        process = fleet.processes[name]
        assert process.agent is not None
        await process.agent.drain()
        await process.kill()
        changes += 1
        await asyncio.sleep(2)
        await fleet.start_process(name)
    await fleet.callers.finish()
    broken = fleet.callers.tally.broken_flows
    per = 10000 / ((streams + posters) * changes)
    return {'broken': broken, 'per_10000_flow_changes': broken * per}


def imbalance(load: float) -> Callable[[Fleet], Awaitable[Figures]]:
    """Return a measure of requests per slot at a share of capacity."""

    async def measure(fleet: Fleet) -> Figures:
        desk = fleet.address('badge-desk')
        names = [
            name for name in fleet.upstreams if name.startswith('badge-desk')
        ]
        double, slow = names[2], names[4]
        fleet.sections[f'upstream {double}'] |= {'slots': '4', 'weight': '200'}
        fleet.upstreams[double].slots = 4
        for name in names:
            fleet.upstreams[name].work_seconds = WORK_SECONDS
        fleet.upstreams[slow].work_seconds = WORK_SECONDS * 1.5
        fleet.publish()
        await asyncio.sleep(6)
        capacity = sum(
            fleet.upstreams[name].slots / fleet.upstreams[name].work_seconds
            for name in names
        )
        period = max(0.01, CALLERS / (load * capacity) - WORK_SECONDS)
        for number in range(CALLERS):
            fleet.callers.start(fleet.callers.pull(desk, f'g{number}', period))
        await asyncio.sleep(2)
        before = {name: fleet.upstreams[name].seen.started for name in names}
        await asyncio.sleep(BALANCE_SECONDS)
        rates = [
            (fleet.upstreams[name].seen.started - before[name])
            / fleet.upstreams[name].slots
            for name in names
        ]
        over = sum(fleet.upstreams[name].seen.over_limit for name in names)
        return {
            'max_over_mean': max(rates) * len(rates) / sum(rates),
            'over_limit': over,
            'offered_share': sum(
                fleet.upstreams[name].seen.started - before[name]
                for name in names
            )
            / capacity
            / BALANCE_SECONDS,
        }

    return measure


async def data_centre_moves(fleet: Fleet) -> Figures:
    """Take a data centre out and back under load."""
    atelier = fleet.address('atelier')
    for _ in range(20):
        fleet.callers.start(fleet.callers.stream(atelier))
    for number in range(14):
        fleet.callers.start(fleet.callers.post(atelier, f'p{number}', 0.3))
    await asyncio.sleep(4)
    fleet.sections['data-centre tunis-a']['state'] = 'out'
    fleet.publish()
    await asyncio.sleep(6)
    fleet.sections['data-centre tunis-a']['state'] = 'in'
    fleet.publish()
    returned = fleet.loop.time()
    for _ in range(20):
        await asyncio.sleep(0.2)
        fleet.callers.start(fleet.callers.stream(atelier))
    await asyncio.sleep(6)
    await fleet.callers.finish()
    tally = fleet.callers.tally
    local = [
        upstream
        for name, upstream in fleet.upstreams.items()
        if name.startswith('atelier/tunis-a')
    ]
    lost = tally.requests - tally.answered
    return {
        'success_rate': tally.answered / tally.requests,
        'requests_not_answered': lost,
        'p99_ms': sorted(tally.latencies)[int(len(tally.latencies) * 0.99)]
        * 1000,
        'broken_elsewhere': tally.broken_flows,
        'given_up': tally.given_up,
        'seconds_back_after_out': max(tally.back_seconds, default=0),
        'seconds_to_work_after_return': max(
            0, min(upstream.seen.last_start for upstream in local) - returned
        )
        if all(upstream.seen.last_start > returned for upstream in local)
        else -1,
        'falls': sum(upstream.seen.falls for upstream in local),
    }


MEASURES: dict[
    str, tuple[Callable[[int], Fleet], Callable[[Fleet], Awaitable[Figures]]]
] = {
    'broken_flows': (lambda seed: Fleet(cedarline(), seed), broken_flows),
    'imbalance_50': (lambda seed: Fleet(cedarline(), seed), imbalance(0.5)),
    'imbalance_80': (lambda seed: Fleet(cedarline(), seed), imbalance(0.8)),
    'imbalance_110': (lambda seed: Fleet(cedarline(), seed), imbalance(1.1)),
    'data_centre_moves': (lambda seed: Fleet(sanad(), seed), data_centre_moves),
}


def measure(name: str, policy: str, seed: int) -> tuple[str, str, Figures]:
    """Run one measure once."""
    build, work = MEASURES[name]
    return name, policy, run(work, build(seed), policy)


def main() -> None:
    """Run all measures and write min, median and max."""
    wanted = sys.argv[1:] or list(MEASURES)
    found: dict[tuple[str, str], list[Figures]] = {}
    with ProcessPoolExecutor(6) as pool:
        runs = [
            pool.submit(measure, name, policy, seed)
            for name in wanted
            for policy in ('ours', 'naive')
            for seed in SEEDS
        ]
        for future in runs:
            name, policy, figures = future.result()
            found.setdefault((name, policy), []).append(figures)
    summary = {
        f'{name} {policy}': {
            key: [
                round(call([row[key] for row in rows]), 3)
                for call in (min, median, max)
            ]
            for key in rows[0]
        }
        for (name, policy), rows in found.items()
    }
    path = Path('docs/measures.json')
    held = json.loads(path.read_text()) if path.exists() else {}
    path.write_text(json.dumps({**held, **summary}, indent=1))
    sys.stdout.write(json.dumps(summary, indent=1) + '\n')


if __name__ == '__main__':
    main()
