"""CONFIG after answers of the store were lost: see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from rig import BOUNDS, Rig, run_case, verdict

LOST_S, LOST_SHARE = 4.5, 0.35        # platform_lost, x = 0.35, for_s = 4.5
# Two config_storm in a row, each with for_s = 4.0, gap_s = 0.33.
STORM_S, STORM_GAP_S = 8.0, 0.33
DROPPED = 8443


async def scenario(rig: Rig) -> int:
    zones = ('hall-north', 'hall-south', 'print-annex', 'old-office')
    routes = {443: 'badge-desk', 444: 'layout', DROPPED: 'badge-desk'}
    await rig.start(routes)
    for zone in zones[:3]:
        await rig.add_front(zone)
    for zone in zones[:3]:
        await rig.add_backend('badge-desk', zone)
    for zone in zones[:2]:
        await rig.add_backend('layout', zone)
    await rig.settle()
    clients = [rig.add_client(zone) for zone in zones]
    for number, client in enumerate(clients):
        rig.spawn(rig.fresh_load(client, lambda: (443, 443, 444, DROPPED), 12, f'fresh{number}'))
        for user in range(2):
            rig.spawn(rig.long_load(client, 443, 0.3, f'long{number}-{user}'))
    await asyncio.sleep(4)

    # Configurations in quick succession, each with one more route. A second
    # after the first, the store begins to lose answers.
    begun = rig.now()
    lost_at = begun + 1.0
    lost_until = lost_at + LOST_S

    def set_loss(share: float) -> None:
        rig.store.loss = share
        rig.record('store', f'share of answers lost from now on: {share}', lost=rig.store.lost_answers)

    if rig.trouble:
        rig.later(lost_at - rig.now(), lambda: set_loss(LOST_SHARE))
        rig.later(lost_until - rig.now(), lambda: set_loss(0))
    number = 0
    while rig.now() < begun + STORM_S:
        number += 1
        routes = {**routes, 9000 + number: 'layout'}
        rig.publish(routes)
        await asyncio.sleep(STORM_GAP_S)

    # The store has been stable for stableWindowMs when the route is dropped.
    stable_at = lost_until + BOUNDS['stableWindowMs'] / 1000 + 0.3
    await asyncio.sleep(max(0, stable_at - rig.now()))
    rig.publish({port: to for port, to in routes.items() if port != DROPPED})
    acknowledged = rig.now()
    rig.record('operator', f'route {DROPPED} is dropped')
    late_at = acknowledged + BOUNDS['configApplyMs'] / 1000
    await asyncio.sleep(14)

    sent = {
        (flow.src, flow.dst): flow.syn_at
        for client in clients for flow in client.flows.values()
    }
    violations = []
    for backend in rig.backends.values():
        for at, src, dst in backend.openings:
            begun = sent.get((src, dst))
            if dst[1] == DROPPED and begun is not None and begun > late_at:
                violations.append(
                    f'CONFIG: flow of {src} on the dropped route, sent {begun - acknowledged:.2f} s '
                    f'after the acknowledgement, was taken by {backend.name} at {at:.3f}'
                )
    return verdict(rig, violations)


sys.exit(run_case(scenario, case=__file__))
