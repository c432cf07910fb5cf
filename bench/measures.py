"""Compares the policies of the QUIC data path with naive ones.

The scenarios are planned changes with open connections, load imbalance, and a
data centre that is drained and returns to service. Run with ``make measures``.
Writes docs/measures.json.
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
Metrics = dict[str, float]


def run_scenario(
    scenario: Callable[[Fleet], Awaitable[Metrics]], fleet: Fleet, policy: str
) -> Metrics:
    """Run a scenario on a fleet with the product's or the naive policies."""
    monkeypatch = pytest.MonkeyPatch()
    if policy == 'naive':
        use_naive_policies(monkeypatch)

    async def run_whole() -> Metrics:
        await fleet.start()
        metrics = await scenario(fleet)
        await fleet.stop()
        return metrics

    try:
        return fleet.run(run_whole())  # type: ignore[return-value]
    finally:
        monkeypatch.undo()
        fleet.close()


async def measure_broken_flows(fleet: Fleet) -> Metrics:
    """Count the connections that break during planned changes.

    The rate is per 10,000 pairs of a connection and a change.
    """
    service = fleet.address('badge-desk')
    streams, posters = 40, 20
    for _ in range(streams):
        fleet.callers.start(fleet.callers.read_events(service))
    for number in range(posters):
        fleet.callers.start(
            fleet.callers.post_operations(service, f'p{number}', 0.5)
        )
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
    scale = 10000 / ((streams + posters) * changes)
    return {'broken': broken, 'per_10000_flow_changes': broken * scale}


def measure_imbalance(load: float) -> Callable[[Fleet], Awaitable[Metrics]]:
    """Return a scenario that compares requests per slot of the upstreams.

    Callers offer ``load`` times the upstreams' capacity.
    """

    async def measure(fleet: Fleet) -> Metrics:
        service = fleet.address('badge-desk')
        names = [
            name for name in fleet.upstreams if name.startswith('badge-desk')
        ]
        doubled, slow = names[2], names[4]
        fleet.sections[f'upstream {doubled}'] |= {'slots': '4', 'weight': '200'}
        fleet.upstreams[doubled].slots = 4
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
            fleet.callers.start(
                fleet.callers.download_documents(service, f'g{number}', period)
            )
        await asyncio.sleep(2)
        started_before = {
            name: fleet.upstreams[name].counters.started for name in names
        }
        await asyncio.sleep(BALANCE_SECONDS)
        rates = [
            (fleet.upstreams[name].counters.started - started_before[name])
            / fleet.upstreams[name].slots
            for name in names
        ]
        over_limit = sum(
            fleet.upstreams[name].counters.over_limit for name in names
        )
        return {
            'max_over_mean': max(rates) * len(rates) / sum(rates),
            'over_limit': over_limit,
            'offered_share': sum(
                fleet.upstreams[name].counters.started - started_before[name]
                for name in names
            )
            / capacity
            / BALANCE_SECONDS,
        }

    return measure


async def measure_data_centre_drain(fleet: Fleet) -> Metrics:
    """Drain a data centre under load and return it to service."""
    service = fleet.address('atelier')
    for _ in range(20):
        fleet.callers.start(fleet.callers.read_events(service))
    for number in range(14):
        fleet.callers.start(
            fleet.callers.post_operations(service, f'p{number}', 0.3)
        )
    await asyncio.sleep(4)
    fleet.sections['data-centre tunis-a']['state'] = 'out'
    fleet.publish()
    await asyncio.sleep(6)
    fleet.sections['data-centre tunis-a']['state'] = 'in'
    fleet.publish()
    returned_at = fleet.loop.time()
    for _ in range(20):
        await asyncio.sleep(0.2)
        fleet.callers.start(fleet.callers.read_events(service))
    await asyncio.sleep(6)
    await fleet.callers.finish()
    tally = fleet.callers.tally
    local = [
        upstream
        for name, upstream in fleet.upstreams.items()
        if name.startswith('atelier/tunis-a')
    ]
    unanswered = tally.requests - tally.answered
    return {
        'success_rate': tally.answered / tally.requests,
        'requests_not_answered': unanswered,
        'p99_ms': sorted(tally.latencies)[int(len(tally.latencies) * 0.99)]
        * 1000,
        'broken_elsewhere': tally.broken_flows,
        'given_up': tally.given_up,
        'seconds_back_after_out': max(tally.back_seconds, default=0),
        'seconds_to_work_after_return': max(
            0,
            min(upstream.counters.last_start for upstream in local)
            - returned_at,
        )
        if all(upstream.counters.last_start > returned_at for upstream in local)
        else -1,
        'falls': sum(upstream.counters.falls for upstream in local),
    }


SCENARIOS: dict[
    str, tuple[Callable[[int], Fleet], Callable[[Fleet], Awaitable[Metrics]]]
] = {
    'broken_flows': (
        lambda seed: Fleet(cedarline(), seed),
        measure_broken_flows,
    ),
    'imbalance_50': (
        lambda seed: Fleet(cedarline(), seed),
        measure_imbalance(0.5),
    ),
    'imbalance_80': (
        lambda seed: Fleet(cedarline(), seed),
        measure_imbalance(0.8),
    ),
    'imbalance_110': (
        lambda seed: Fleet(cedarline(), seed),
        measure_imbalance(1.1),
    ),
    'data_centre_moves': (
        lambda seed: Fleet(sanad(), seed),
        measure_data_centre_drain,
    ),
}


def run_once(name: str, policy: str, seed: int) -> tuple[str, str, Metrics]:
    """Run a scenario once and return its name, policy and metrics."""
    build, scenario = SCENARIOS[name]
    return name, policy, run_scenario(scenario, build(seed), policy)


def main() -> None:
    """Run the named scenarios, or all, and write min, median and max."""
    names = sys.argv[1:] or list(SCENARIOS)
    metrics_by_policy: dict[tuple[str, str], list[Metrics]] = {}
    with ProcessPoolExecutor(6) as pool:
        runs = [
            pool.submit(run_once, name, policy, seed)
            for name in names
            for policy in ('ours', 'naive')
            for seed in SEEDS
        ]
        for future in runs:
            name, policy, metrics = future.result()
            metrics_by_policy.setdefault((name, policy), []).append(metrics)
    summary = {
        f'{name} {policy}': {
            key: [
                round(statistic([row[key] for row in rows]), 3)
                for statistic in (min, median, max)
            ]
            for key in rows[0]
        }
        for (name, policy), rows in metrics_by_policy.items()
    }
    path = Path('docs/measures.json')
    previous = json.loads(path.read_text()) if path.exists() else {}
    path.write_text(json.dumps({**previous, **summary}, indent=1))
    sys.stdout.write(json.dumps(summary, indent=1) + '\n')


if __name__ == '__main__':
    main()
