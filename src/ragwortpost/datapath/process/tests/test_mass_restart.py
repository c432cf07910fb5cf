"""The return of a fleet after a mass restart, in virtual time.

Guards against a system that answers the crowd of returning callers with more
messages than its low-capacity entries can handle, so that they fall behind,
leave the rotation of the routers and never recover.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final

import pytest

from ragwortpost.datapath.process.tests.virtual_callers import (
    CALLERS,
    Caller,
    Results,
)
from ragwortpost.datapath.process.tests.virtual_fleet import (
    DEADLINE_SECONDS,
    LOW_CAPACITY_MEGABITS,
    Fleet,
)

# The requests of the last checked second end in the run. All machines are back
# at the start of second 1, and two seconds later all requests are to be served.
RUN_SECONDS: Final = 6.5
CHECKED_SECONDS: Final = (3, 4)
STEP_SECONDS: Final = 0.25
MIN_SERVED_SHARE: Final = 0.98
# Limits of the flows of an upstream, in units of its fair share, and of the
# share of a second in which an entry is busy.
MAX_FLOWS_RATIO: Final = 1.25
MAX_BUSY_SHARE: Final = 0.9


def flows_ratio(fleet: Fleet, callers: list[Caller]) -> float:
    """Return the largest number of flows of an upstream per fair share."""
    holders = (caller.holder for caller in callers)
    flows = Counter(holder for holder in holders if holder is not None)
    rates = {
        host: 1 / one.work_seconds for host, one in fleet.upstreams.items()
    }
    per_rate = flows.total() / sum(rates.values())
    return max(flows[host] / (per_rate * rates[host]) for host in rates)


def violations(
    fleet: Fleet, callers: list[Caller], results: Results
) -> Iterator[str]:
    """Yield the requirements that a run does not meet."""
    for second in CHECKED_SECONDS:
        share = results.served_share(second)
        has_ended = fleet.timeline.now >= second + 1 + DEADLINE_SECONDS
        if has_ended and share < MIN_SERVED_SHARE:
            yield f'second {second}: only {share:.3f} served in time'
        for host in fleet.entry_hosts:
            busy = fleet.busy[second, host]
            if busy > MAX_BUSY_SHARE:
                yield f'second {second}: {host} is busy for {busy:.2f} s'
            sent = fleet.counts[second][f'{host} bytes'] * 8 / 1e6
            if sent > LOW_CAPACITY_MEGABITS:
                yield f'second {second}: {host} sends {sent:.1f} Mbit'
    for removed_at, host in fleet.removals:
        yield f'{host} left the rotation after {removed_at:.1f} s'
    ratio = flows_ratio(fleet, callers)
    if ratio > MAX_FLOWS_RATIO:
        yield f'an upstream holds {ratio:.2f} times its share of the flows'
    if results.wrongly_reset:
        yield f'{len(results.wrongly_reset)} held flows were reset'
    if results.refused_while_open:
        refused = len(results.refused_while_open)
        yield f'{refused} held flows were refused after a late opening packet'


def table(fleet: Fleet, results: Results) -> Iterator[str]:
    for second in range(-2, CHECKED_SECONDS[-1] + 1):
        outcomes = dict(results.outcomes[second])
        share = results.served_share(second)
        yield f'{second} s: {share:.3f} {outcomes}, {fleet.report(second)}'


@pytest.mark.parametrize('seed', [1, 2])
def test_all_requests_are_served_soon_after_a_mass_restart(seed: int) -> None:
    fleet, results = Fleet(seed), Results()
    callers = [Caller(fleet, results, number) for number in range(CALLERS)]
    # Entries that fall behind make the run slow, and it has failed then.
    while fleet.timeline.now < RUN_SECONDS and not fleet.removals:
        fleet.timeline.run(fleet.timeline.now + STEP_SECONDS)
    found = list(violations(fleet, callers, results))
    lines = '\n'.join([*found, *table(fleet, results)])
    assert not found, f'seed {seed}\n{lines}'
