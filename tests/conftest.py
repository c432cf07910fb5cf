"""Steps of the scenario files, for a simulated fleet of the QUIC data path.

A scenario states what operators do, which faults occur and what must hold.
Each runs twice: with the policies of the system, and with the naive ones of
:mod:`tests.harness.naive`. The naive run must fail, so that the scenario is
known to detect the failure; scenarios tagged ``ours_only`` have no naive run.
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
    """Return a step parser that matches the whole line."""
    return parsers.re(f'^{pattern}$')


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Run each scenario with both policies.

    Scenarios tagged ``ours_only`` and those of ``SCENARIO_FILE`` run with the
    policies of the system only.
    """
    if metafunc.module.__name__.endswith('test_scenarios'):
        is_ours_only = metafunc.definition.get_closest_marker('ours_only')
        is_ours_only = is_ours_only or 'SCENARIO_FILE' in os.environ
        metafunc.parametrize(
            'policy', ['ours'] if is_ours_only else ['ours', 'naive']
        )


@pytest.fixture
def policy() -> str:
    """Return the policies of a test that is not a scenario."""
    return 'ours'


@pytest.fixture(autouse=True)
def expect_naive_failure(request: pytest.FixtureRequest, policy: str) -> None:
    """Expect naive policies to fail an assertion.

    Any other error, or a pass, fails the test.
    """
    if policy == 'naive':
        request.applymarker(
            pytest.mark.xfail(strict=True, raises=AssertionError)
        )


class World:
    """The fleet of one scenario and the settings version to be in force."""

    def __init__(self) -> None:
        """Initialize without a fleet, which a step starts."""
        self.started_fleet: Fleet | None = None
        self.published_version = 0
        self.published_at = 0.0

    @property
    def fleet(self) -> Fleet:
        """The fleet, which must have been started."""
        assert self.started_fleet is not None
        return self.started_fleet

    def publish(self) -> None:
        """Publish the settings and record their version and time."""
        self.published_version = self.fleet.publish()
        self.published_at = self.fleet.loop.time()


@pytest.fixture
def world(policy: str, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """Yield a world; print its counts and stop its fleet at the end."""
    if policy == 'naive':
        use_naive_policies(monkeypatch)
    new_world = World()
    yield new_world
    if new_world.started_fleet is not None:
        print_counts(new_world.started_fleet, policy)
        new_world.started_fleet.run(new_world.started_fleet.stop())
        new_world.started_fleet.close()


def print_counts(fleet: Fleet, policy: str) -> None:
    """Print the policy, the seed and the counts of a run."""
    counts = {
        name: field_value
        for name, field_value in vars(fleet.callers.tally).items()
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
def start_fleet(world: World, name: str, entries: str | None) -> None:
    world.started_fleet = Fleet(PLANS[name](), SEED, int(entries or 3))
    world.fleet.run(world.fleet.start())


@given(step(r'(?P<count>\d+) event streams on (?P<service>[\w-]+)'))
@when(step(r'(?P<count>\d+) event streams on (?P<service>[\w-]+)'))
def start_event_streams(world: World, count: str, service: str) -> None:
    for _ in range(int(count)):
        world.fleet.callers.start(
            world.fleet.callers.read_events(world.fleet.address(service))
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
def start_callers(
    world: World, count: str, kind: str, service: str, seconds: str
) -> None:
    callers = world.fleet.callers
    run_caller = (
        callers.post_operations
        if kind == 'posters'
        else callers.download_documents
    )
    for number in range(int(count)):
        name = f'{kind}-{service}-{number}'
        callers.start(
            run_caller(world.fleet.address(service), name, float(seconds))
        )


@given(step(r'packets are (?P<fault>lost|duplicated) at (?P<percent>\d+)%'))
@when(step(r'packets are (?P<fault>lost|duplicated) at (?P<percent>\d+)%'))
def set_packet_faults(world: World, fault: str, percent: str) -> None:
    name = 'loss' if fault == 'lost' else 'duplicate'
    setattr(world.fleet.network, name, int(percent) / 100)


@given(step(r'packets are late by up to (?P<milliseconds>\d+)ms'))
@when(step(r'packets are late by up to (?P<milliseconds>\d+)ms'))
def set_packet_jitter(world: World, milliseconds: str) -> None:
    world.fleet.network.jitter = int(milliseconds) / 1000


@given(step(r'upstreams take ' + SECONDS + 's a request'))
@when(step(r'upstreams take ' + SECONDS + 's a request'))
def set_work_seconds(world: World, seconds: str) -> None:
    for upstream in world.fleet.upstreams.values():
        upstream.work_seconds = float(seconds)


@when(step(SECONDS + r's pass(?:es)?'))
def pass_time(world: World, seconds: str) -> None:
    world.fleet.run(asyncio.sleep(float(seconds)))


@when(
    step(r'operators set (?P<key>[\w-]+) of (?P<section>.+) to (?P<text>\S+)')
)
def set_key(world: World, key: str, section: str, text: str) -> None:
    world.fleet.sections[section][key] = text
    world.publish()


@when(step(r'operators add upstream (?P<name>\S+)'))
def add_upstream(world: World, name: str) -> None:
    world.fleet.add_upstream(name)
    world.fleet.run(world.fleet.start_process(name))
    world.publish()
    world.fleet.publish_vms()


@when(step(r'operators remove upstream (?P<name>\S+)'))
def remove_upstream(world: World, name: str) -> None:
    world.fleet.sections.pop(f'upstream {name}')
    world.fleet.vms.pop(name)
    world.publish()
    world.fleet.publish_vms()


@when(step(r'upstream (?P<old>\S+) is replaced by (?P<new>\S+) at its address'))
def replace_upstream(world: World, old: str, new: str) -> None:
    fleet = world.fleet
    fleet.run(fleet.processes[old].kill())
    address = fleet.sections.pop(f'upstream {old}')
    _, data_centre, host = fleet.vms.pop(old)
    fleet.add_upstream(new)
    fleet.sections[f'upstream {new}'] = address
    fleet.vms[new] = ('agent', data_centre, host)
    world.publish()
    fleet.publish_vms()
    fleet.run(fleet.start_process(new))


@when("the callers' addresses change")
def rebind_callers(world: World) -> None:
    async def rebind() -> None:
        world.fleet.callers.rebind()

    world.fleet.run(rebind())


@when(step(r'operators publish nonsense'))
def publish_nonsense(world: World) -> None:
    world.fleet.platform.publish('settings', b'[service x]\nslotz = many')


@when(step(r'operators make (?P<count>\d+) changes in ' + SECONDS + 's'))
def make_many_changes(world: World, count: str, seconds: str) -> None:
    names = [
        name for name in world.fleet.sections if name.startswith('upstream ')
    ]
    for number in range(int(count)):
        world.fleet.sections[names[number % len(names)]]['state'] = 'leaving'
        world.fleet.sections[names[(number - 1) % len(names)]]['state'] = 'in'
        world.publish()
        world.fleet.run(asyncio.sleep(float(seconds) / int(count)))


@when(step(r'the platform goes back to version (?P<version>\d+)'))
def revert_platform(world: World, version: str) -> None:
    published_document = world.fleet.platform.history['settings'][int(version)]
    world.fleet.platform.publish(
        'settings', published_document.body, published_document.version
    )


@when(step(r'the platform is down for (?P<names>.+)'))
def take_platform_down(world: World, names: str) -> None:
    world.fleet.platform.down_for = set(names.split(', '))
    world.fleet.platform.notify_watchers()


@when(step(r'the platform is up again'))
def bring_platform_up(world: World) -> None:
    world.fleet.platform.down_for.clear()
    world.fleet.platform.stuck_at.clear()
    world.fleet.platform.notify_watchers()


@when(step(r'the platform is stuck at the present version for (?P<names>.+)'))
def hold_platform_version(world: World, names: str) -> None:
    version = world.fleet.platform.history['settings'][-1].version
    for name in names.split(', '):
        world.fleet.platform.stuck_at[name] = version


@when(step(r'the VM list says (?P<name>\S+) is leaving'))
def mark_vm_leaving(world: World, name: str) -> None:
    world.fleet.leaving.add(name)
    world.fleet.publish_vms()


@when(step(r'(?P<names>.+) (?:is|are) cut off'))
def cut_off_hosts(world: World, names: str) -> None:
    world.fleet.network.partitions.append(frozenset(names.split(', ')))
    world.fleet.platform.down_for |= set(names.split(', '))
    world.fleet.platform.notify_watchers()


@when(step(r'control of (?P<names>.+) is cut off'))
def cut_off_control(world: World, names: str) -> None:
    world.fleet.network.control_partitioned |= set(names.split(', '))
    world.fleet.platform.down_for |= set(names.split(', '))
    world.fleet.platform.notify_watchers()


@when(step(r'the cuts heal'))
def heal_cuts(world: World) -> None:
    world.fleet.network.partitions.clear()
    world.fleet.network.control_partitioned.clear()
    bring_platform_up(world)


@when(step(r'process (?P<name>\S+) is killed'))
def kill_process(world: World, name: str) -> None:
    world.fleet.run(world.fleet.processes[name].kill())


@when(step(r'the fabric drops (?P<name>\S+)'))
def drop_from_fabric(world: World, name: str) -> None:
    world.fleet.network.entries.pop(name)


@when(step(r'process (?P<name>\S+) starts'))
def start_process(world: World, name: str) -> None:
    if name not in world.fleet.vms:
        number = name.rpartition('-')[2]
        world.fleet.vms[name] = (
            'entry',
            world.fleet.plan.data_centres[0],
            f'10.0.0.{number}',
        )
        world.fleet.publish_vms()
    world.fleet.run(world.fleet.start_process(name))


@when(step(r'process (?P<name>\S+) freezes'))
def suspend_process(world: World, name: str) -> None:
    world.fleet.processes[name].suspend()


@when(step(r'process (?P<name>\S+) wakes'))
def resume_process(world: World, name: str) -> None:
    process = world.fleet.processes[name]
    process.clock.resume()
    world.fleet.network.resume(process.host)


@when(step(r'process (?P<name>\S+) is stopped gracefully'))
def stop_gracefully(world: World, name: str) -> None:
    process = world.fleet.processes[name]

    async def stop() -> None:
        if process.agent is not None:
            await process.agent.drain()
        else:
            world.fleet.network.entries.pop(name)
            await asyncio.sleep(1)
        await process.kill()

    world.fleet.callers.start(stop())


@when(
    step(r'upstream (?P<name>\S+) (?P<event>restarts cold|dies|sheds|recovers)')
)
def apply_upstream_event(world: World, name: str, event: str) -> None:
    upstream = world.fleet.upstreams[name]
    match event:
        case 'restarts cold':
            upstream.restart()
        case 'dies':
            upstream.kill()
        case 'sheds':
            upstream.is_shedding = True
        case 'recovers':
            upstream.is_shedding = False


@when(step(r'the next answer of agent (?P<name>\S+) to a peer is lost'))
def drop_next_reply(world: World, name: str) -> None:
    world.fleet.peers.drop_next_reply_of.add(name)


@when('the callers finish')
def finish_callers(world: World) -> None:
    world.fleet.run(world.fleet.callers.finish())


@then(step(r'no flow broke'))
def check_no_flow_broke(world: World) -> None:
    assert world.fleet.callers.tally.broken_flows == 0
    assert world.fleet.callers.tally.event_gaps == 0


@then(step(r'no event was skipped or repeated'))
def check_events_in_sequence(world: World) -> None:
    assert world.fleet.callers.tally.event_gaps == 0


@then(step(r'at least (?P<count>\d+) flows were given up'))
def check_flows_given_up(world: World, count: str) -> None:
    assert world.fleet.callers.tally.given_up >= int(count)


@then(step(r'at least (?P<count>\d+) flows were moved'))
def check_flows_moved(world: World, count: str) -> None:
    total = sum(
        int(str(process.agent.status()['moved']))
        for process in world.fleet.all_processes
        if process.agent is not None
    )
    assert total >= int(count)


@then(step(r'callers of flows given up were back within ' + SECONDS + 's'))
def check_reconnect_seconds(world: World, seconds: str) -> None:
    reconnect_seconds = world.fleet.callers.tally.back_seconds
    assert reconnect_seconds
    assert max(reconnect_seconds) <= float(seconds)


@then(step(r'at least (?P<count>\d+) requests were answered'))
def check_answered_count(world: World, count: str) -> None:
    assert world.fleet.callers.tally.answered >= int(count)


@then(step(r'every answer was whole and the caller\'s own'))
def check_answers_whole(world: World) -> None:
    assert world.fleet.callers.tally.mixed == 0


@then(step(r'no request ran twice'))
def check_no_request_ran_twice(world: World) -> None:
    totals: dict[str, int] = {}
    for upstream in world.fleet.upstreams.values():
        for operation, count in upstream.counters.runs.items():
            totals[operation] = totals.get(operation, 0) + count
    assert not {name for name, count in totals.items() if count > 1}


@then(step(r'every refusal and answer was true'))
def check_outcomes(world: World) -> None:
    ran = {
        name
        for upstream in world.fleet.upstreams.values()
        for name in upstream.counters.runs
    }
    for operation, state in world.fleet.callers.tally.operations.items():
        assert state != 'not-run' or operation not in ran, operation
        assert state != 'answered' or operation in ran, operation


@then(step(r'no outcome stayed unknown'))
def check_no_unknown_outcome(world: World) -> None:
    assert world.fleet.callers.tally.unknown == 0


@then(step(r'every final answer came within ' + SECONDS + 's'))
def check_answer_times(world: World, seconds: str) -> None:
    assert world.fleet.callers.tally.slowest <= float(seconds)


@then(step(r'no upstream fell over or ran more than its slots'))
def check_upstream_limits(world: World) -> None:
    for upstream in world.fleet.upstreams.values():
        assert upstream.counters.falls == 0, upstream.name
        assert upstream.counters.over_limit == 0, upstream.name


@then(step(r'no request reached another service'))
def check_no_wrong_service(world: World) -> None:
    for upstream in world.fleet.upstreams.values():
        assert upstream.counters.wrong_service == 0, upstream.name


@then(
    step(r'upstream (?P<name>\S+) got no new work in the last ' + SECONDS + 's')
)
def check_no_new_work(world: World, name: str, seconds: str) -> None:
    upstream = world.fleet.upstreams[name]
    assert upstream.counters.last_start <= world.fleet.loop.time() - float(
        seconds
    )


@then(step(r'upstream (?P<name>\S+) got work in the last ' + SECONDS + 's'))
def check_new_work(world: World, name: str, seconds: str) -> None:
    upstream = world.fleet.upstreams[name]
    assert upstream.counters.last_start > world.fleet.loop.time() - float(
        seconds
    )


@then(
    step(
        r'data centre (?P<site>\S+) got no packets in the last ' + SECONDS + 's'
    )
)
def check_no_packets(world: World, site: str, seconds: str) -> None:
    limit = world.fleet.loop.time() - float(seconds)
    for process in world.fleet.processes.values():
        if process.agent is not None and process.host.data_centre == site:
            last = world.fleet.network.last_arrival.get(process.host.name, 0)
            assert last <= limit, process.host.name


@then(step(r'the last change is in force everywhere'))
def check_in_force(world: World) -> None:
    assert set(world.fleet.versions().values()) == {world.published_version}


@then(step(r'the last change is in force everywhere within ' + SECONDS + 's'))
def check_in_force_within(world: World, seconds: str) -> None:
    limit = world.published_at + float(seconds)
    while set(world.fleet.versions().values()) != {world.published_version}:
        assert world.fleet.loop.time() < limit
        world.fleet.run(asyncio.sleep(0.05))


@then(step(r'the last change is not in force at (?P<name>\S+)'))
def check_not_in_force(world: World, name: str) -> None:
    assert world.fleet.versions()[name] < world.published_version


@then(step(r'no process ever went back a version'))
def check_no_reversal(world: World) -> None:
    for process in world.fleet.processes.values():
        applied = [
            audit_entry.change
            for audit_entry in process.node.audit.entries
            if audit_entry.change.outcome.value == 'applied'
        ]
        for change in applied:
            assert change.version > change.previous, process.host.name
