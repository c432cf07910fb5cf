"""The scenario language: general steps over a fleet.

A scenario names what operators do, what fails and what must hold. Each runs
twice: with the product's policies, and with the naive ones of
:mod:`tests.harness.naive`, where it must fail unless tagged ``ours_only``.
"""

import asyncio
import os
import sys
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, then, when

from standin.deployment import cedarline, sanad
from tests.harness.fleet import Fleet
from tests.harness.naive import use_naive_policies

SEED = int(os.environ.get('SCENARIO_SEED', '1'))
PLANS = {'Cedarline': cedarline, 'Sanad': sanad}
SECONDS = r'(?P<seconds>[\d.]+)'


def step(pattern: str) -> parsers.re:
    """Return a step pattern over the whole line."""
    return parsers.re(f'^{pattern}$')


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Run each scenario under both policies."""
    if metafunc.module.__name__.endswith('test_scenarios'):
        only = metafunc.definition.get_closest_marker('ours_only')
        only = only or 'SCENARIO_FILE' in os.environ
        metafunc.parametrize('policy', ['ours'] if only else ['ours', 'naive'])


@pytest.fixture
def policy() -> str:
    """Return which policies a test runs under."""
    return 'ours'


@pytest.fixture(autouse=True)
def naive_fails(request: pytest.FixtureRequest, policy: str) -> None:
    """Expect the naive policies to fail a check, and nothing else."""
    if policy == 'naive':
        request.applymarker(
            pytest.mark.xfail(strict=True, raises=AssertionError)
        )


class World:
    """What one scenario runs on."""

    def __init__(self) -> None:
        """Start without a fleet."""
        self.fleet: Fleet | None = None
        self.published = 0
        self.published_at = 0.0

    @property
    def up(self) -> Fleet:
        """The running fleet."""
        assert self.fleet is not None
        return self.fleet

    def publish(self) -> None:
        """Publish the tree and remember when."""
        self.published = self.up.publish()
        self.published_at = self.up.loop.time()


@pytest.fixture
def world(policy: str, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """Return an empty world and print its counts at the end."""
    if policy == 'naive':
        use_naive_policies(monkeypatch)
    made = World()
    yield made
    if made.fleet is not None:
        report(made.fleet, policy)
        made.fleet.run(made.fleet.stop())
        made.fleet.close()


def report(fleet: Fleet, policy: str) -> None:
    """Print the seed and the counts."""
    counts = {
        name: found
        for name, found in vars(fleet.callers.tally).items()
        if name not in {'operations', 'latencies'}
    }
    counts['back_seconds'] = round(
        max(fleet.callers.tally.back_seconds, default=0), 2
    )
    runs = [
        count
        for upstream in fleet.upstreams.values()
        for count in upstream.counters.runs.values()
    ]
    counts['runs'] = sum(runs)
    counts['falls'] = sum(
        upstream.counters.falls for upstream in fleet.upstreams.values()
    )
    sys.stdout.write(f'policy={policy} seed={SEED} {counts}\n')


@given(step(r'a (?P<name>\w+) fleet(?: with (?P<entries>\d+) entries)?'))
def a_fleet(world: World, name: str, entries: str | None) -> None:
    world.fleet = Fleet(PLANS[name](), SEED, int(entries or 3))
    world.up.run(world.up.start())


@given(step(r'(?P<count>\d+) event streams on (?P<service>[\w-]+)'))
@when(step(r'(?P<count>\d+) event streams on (?P<service>[\w-]+)'))
def event_streams(world: World, count: str, service: str) -> None:
    for _ in range(int(count)):
        world.up.callers.start(
            world.up.callers.read_events(world.up.address(service))
        )


@given(
    step(
        r'(?P<count>\d+) (?P<kind>posters|pullers) on (?P<service>[\w-]+) every '
        + SECONDS
        + 's'
    )
)
@when(
    step(
        r'(?P<count>\d+) (?P<kind>posters|pullers) on (?P<service>[\w-]+) every '
        + SECONDS
        + 's'
    )
)
def workers(
    world: World, count: str, kind: str, service: str, seconds: str
) -> None:
    callers = world.up.callers
    work = (
        callers.post_operations
        if kind == 'posters'
        else callers.download_documents
    )
    for number in range(int(count)):
        name = f'{kind}-{service}-{number}'
        callers.start(work(world.up.address(service), name, float(seconds)))


@given(step(r'packets are (?P<fault>lost|duplicated) at (?P<percent>\d+)%'))
@when(step(r'packets are (?P<fault>lost|duplicated) at (?P<percent>\d+)%'))
def packet_faults(world: World, fault: str, percent: str) -> None:
    name = 'loss' if fault == 'lost' else 'duplicate'
    setattr(world.up.network, name, int(percent) / 100)


@given(step(r'packets are late by up to (?P<milliseconds>\d+)ms'))
@when(step(r'packets are late by up to (?P<milliseconds>\d+)ms'))
def packet_jitter(world: World, milliseconds: str) -> None:
    world.up.network.jitter = int(milliseconds) / 1000


@given(step(r'upstreams take ' + SECONDS + 's a request'))
@when(step(r'upstreams take ' + SECONDS + 's a request'))
def slow_upstreams(world: World, seconds: str) -> None:
    for upstream in world.up.upstreams.values():
        upstream.work_seconds = float(seconds)


@when(step(SECONDS + r's pass(?:es)?'))
def time_passes(world: World, seconds: str) -> None:
    world.up.run(asyncio.sleep(float(seconds)))


@when(
    step(r'operators set (?P<key>[\w-]+) of (?P<section>.+) to (?P<text>\S+)')
)
def set_key(world: World, key: str, section: str, text: str) -> None:
    world.up.sections[section][key] = text
    world.publish()


@when(step(r'operators add upstream (?P<name>\S+)'))
def add_upstream(world: World, name: str) -> None:
    world.up.add_upstream(name)
    world.up.run(world.up.start_process(name))
    world.publish()
    world.up.publish_vms()


@when(step(r'operators remove upstream (?P<name>\S+)'))
def remove_upstream(world: World, name: str) -> None:
    world.up.sections.pop(f'upstream {name}')
    world.up.vms.pop(name)
    world.publish()
    world.up.publish_vms()


@when(step(r'upstream (?P<old>\S+) is replaced by (?P<new>\S+) at its address'))
def replace_upstream(world: World, old: str, new: str) -> None:
    fleet = world.up
    fleet.run(fleet.processes[old].kill())
    address = fleet.sections.pop(f'upstream {old}')
    _, site, host = fleet.vms.pop(old)
    fleet.add_upstream(new)
    fleet.sections[f'upstream {new}'] = address
    fleet.vms[new] = ('agent', site, host)
    world.publish()
    fleet.publish_vms()
    fleet.run(fleet.start_process(new))


@when("the callers' addresses change")
def rebind_callers(world: World) -> None:
    async def rebind() -> None:
        world.up.callers.rebind()

    world.up.run(rebind())


@when(step(r'operators publish nonsense'))
def publish_nonsense(world: World) -> None:
    world.up.platform.publish('settings', b'[service x]\nslotz = many')


@when(step(r'operators make (?P<count>\d+) changes in ' + SECONDS + 's'))
def many_changes(world: World, count: str, seconds: str) -> None:
    names = [name for name in world.up.sections if name.startswith('upstream ')]
    for number in range(int(count)):
        world.up.sections[names[number % len(names)]]['state'] = 'leaving'
        world.up.sections[names[(number - 1) % len(names)]]['state'] = 'in'
        world.publish()
        world.up.run(asyncio.sleep(float(seconds) / int(count)))


@when(step(r'the platform goes back to version (?P<version>\d+)'))
def platform_back(world: World, version: str) -> None:
    held = world.up.platform.history['settings'][int(version)]
    world.up.platform.publish('settings', held.body, held.version)


@when(step(r'the platform is down for (?P<names>.+)'))
def platform_down(world: World, names: str) -> None:
    world.up.platform.down_for = set(names.split(', '))
    world.up.platform.notify_watchers()


@when(step(r'the platform is up again'))
def platform_up(world: World) -> None:
    world.up.platform.down_for.clear()
    world.up.platform.stuck_at.clear()
    world.up.platform.notify_watchers()


@when(step(r'the platform is stuck at the present version for (?P<names>.+)'))
def platform_stuck(world: World, names: str) -> None:
    version = world.up.platform.history['settings'][-1].version
    for name in names.split(', '):
        world.up.platform.stuck_at[name] = version


@when(step(r'the VM list says (?P<name>\S+) is leaving'))
def vm_leaving(world: World, name: str) -> None:
    world.up.leaving.add(name)
    world.up.publish_vms()


@when(step(r'(?P<names>.+) (?:is|are) cut off'))
def cut_off(world: World, names: str) -> None:
    world.up.network.partitions.append(frozenset(names.split(', ')))
    world.up.platform.down_for |= set(names.split(', '))
    world.up.platform.notify_watchers()


@when(step(r'control of (?P<names>.+) is cut off'))
def control_cut_off(world: World, names: str) -> None:
    world.up.network.control_partitioned |= set(names.split(', '))
    world.up.platform.down_for |= set(names.split(', '))
    world.up.platform.notify_watchers()


@when(step(r'the cuts heal'))
def cuts_heal(world: World) -> None:
    world.up.network.partitions.clear()
    world.up.network.control_partitioned.clear()
    platform_up(world)


@when(step(r'process (?P<name>\S+) is killed'))
def kill(world: World, name: str) -> None:
    world.up.run(world.up.processes[name].kill())


@when(step(r'the fabric drops (?P<name>\S+)'))
def fabric_drops(world: World, name: str) -> None:
    world.up.network.entries.pop(name)


@when(step(r'process (?P<name>\S+) starts'))
def start(world: World, name: str) -> None:
    if name not in world.up.vms:
        number = name.rpartition('-')[2]
        world.up.vms[name] = (
            'entry',
            world.up.plan.sites[0],
            f'10.0.0.{number}',
        )
        world.up.publish_vms()
    world.up.run(world.up.start_process(name))


@when(step(r'process (?P<name>\S+) freezes'))
def suspend(world: World, name: str) -> None:
    world.up.processes[name].suspend()


@when(step(r'process (?P<name>\S+) wakes'))
def resume(world: World, name: str) -> None:
    process = world.up.processes[name]
    process.clock.resume()
    world.up.network.resume(process.host)


@when(step(r'process (?P<name>\S+) is stopped gracefully'))
def stop_gracefully(world: World, name: str) -> None:
    process = world.up.processes[name]

    async def stop() -> None:
        if process.agent is not None:
            await process.agent.drain()
        else:
            world.up.network.entries.pop(name)
            await asyncio.sleep(1)
        await process.kill()

    world.up.callers.start(stop())


@when(
    step(r'upstream (?P<name>\S+) (?P<event>restarts cold|dies|sheds|recovers)')
)
def upstream_event(world: World, name: str, event: str) -> None:
    upstream = world.up.upstreams[name]
    match event:
        case 'restarts cold':
            upstream.restart()
        case 'dies':
            upstream.kill()
        case 'sheds':
            upstream.shedding = True
        case 'recovers':
            upstream.shedding = False


@when(step(r'the next answer of agent (?P<name>\S+) to a peer is lost'))
def drop_next_reply(world: World, name: str) -> None:
    world.up.peers.drop_next_reply_of.add(name)


@when('the callers finish')
def finish(world: World) -> None:
    world.up.run(world.up.callers.finish())


@then(step(r'no flow broke'))
def no_flow_broke(world: World) -> None:
    assert world.up.callers.tally.broken_flows == 0
    assert world.up.callers.tally.event_gaps == 0


@then(step(r'at least (?P<count>\d+) flows were given up'))
def given_up(world: World, count: str) -> None:
    assert world.up.callers.tally.given_up >= int(count)


@then(step(r'at least (?P<count>\d+) flows were moved'))
def moved(world: World, count: str) -> None:
    total = sum(
        int(str(process.agent.status()['moved']))
        for process in world.up.all_processes
        if process.agent is not None
    )
    assert total >= int(count)


@then(step(r'callers of flows given up were back within ' + SECONDS + 's'))
def back_within(world: World, seconds: str) -> None:
    back = world.up.callers.tally.back_seconds
    assert back
    assert max(back) <= float(seconds)


@then(step(r'at least (?P<count>\d+) requests were answered'))
def answered(world: World, count: str) -> None:
    assert world.up.callers.tally.answered >= int(count)


@then(step(r'every answer was whole and the caller\'s own'))
def whole_answers(world: World) -> None:
    assert world.up.callers.tally.mixed == 0


@then(step(r'no request ran twice'))
def no_double(world: World) -> None:
    totals: dict[str, int] = {}
    for upstream in world.up.upstreams.values():
        for operation, count in upstream.counters.runs.items():
            totals[operation] = totals.get(operation, 0) + count
    assert not {name for name, count in totals.items() if count > 1}


@then(step(r'every refusal and answer was true'))
def true_states(world: World) -> None:
    ran = {
        name
        for upstream in world.up.upstreams.values()
        for name in upstream.counters.runs
    }
    for operation, state in world.up.callers.tally.operations.items():
        assert state != 'not-run' or operation not in ran, operation
        assert state != 'answered' or operation in ran, operation


@then(step(r'no outcome stayed unknown'))
def none_unknown(world: World) -> None:
    assert world.up.callers.tally.unknown == 0


@then(step(r'every final answer came within ' + SECONDS + 's'))
def answers_in_time(world: World, seconds: str) -> None:
    assert world.up.callers.tally.slowest <= float(seconds)


@then(step(r'no upstream fell over or ran more than its slots'))
def limits_held(world: World) -> None:
    for upstream in world.up.upstreams.values():
        assert upstream.counters.falls == 0, upstream.name
        assert upstream.counters.over_limit == 0, upstream.name


@then(step(r'no request reached another service'))
def right_service(world: World) -> None:
    for upstream in world.up.upstreams.values():
        assert upstream.counters.wrong_service == 0, upstream.name


@then(
    step(r'upstream (?P<name>\S+) got no new work in the last ' + SECONDS + 's')
)
def no_new_work(world: World, name: str, seconds: str) -> None:
    upstream = world.up.upstreams[name]
    assert upstream.counters.last_start <= world.up.loop.time() - float(seconds)


@then(step(r'upstream (?P<name>\S+) got work in the last ' + SECONDS + 's'))
def new_work(world: World, name: str, seconds: str) -> None:
    upstream = world.up.upstreams[name]
    assert upstream.counters.last_start > world.up.loop.time() - float(seconds)


@then(
    step(
        r'data centre (?P<site>\S+) got no packets in the last ' + SECONDS + 's'
    )
)
def no_packets(world: World, site: str, seconds: str) -> None:
    limit = world.up.loop.time() - float(seconds)
    for process in world.up.processes.values():
        if process.agent is not None and process.host.site == site:
            last = world.up.network.last_arrival.get(process.host.name, 0)
            assert last <= limit, process.host.name


@then(step(r'the last change is in force everywhere'))
def in_force(world: World) -> None:
    assert set(world.up.versions().values()) == {world.published}


@then(step(r'the last change is in force everywhere within ' + SECONDS + 's'))
def in_force_within(world: World, seconds: str) -> None:
    limit = world.published_at + float(seconds)
    while set(world.up.versions().values()) != {world.published}:
        assert world.up.loop.time() < limit
        world.up.run(asyncio.sleep(0.05))


@then(step(r'the last change is not in force at (?P<name>\S+)'))
def not_in_force(world: World, name: str) -> None:
    assert world.up.versions()[name] < world.published


@then(step(r'no process ever went back a version'))
def no_reversal(world: World) -> None:
    for process in world.up.processes.values():
        applied = [
            entry.change
            for entry in process.node.audit.entries
            if entry.change.outcome.value == 'applied'
        ]
        for change in applied:
            assert change.version > change.previous, process.host.name
