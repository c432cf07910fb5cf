"""FLOW after a rolling restart and a route's new split: see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from rig import BOUNDS, NotRun, Rig, run_case, standard, verdict

# roll_term on side machines, share = 0.27, gap_s = 1.2: two of eight.
ROLLED, GAP_S = ('side-1', 'side-2'), 1.2
# Calm time before the flows are used again: stableWindowMs, and some more.
CALM_S = BOUNDS['stableWindowMs'] / 1000 + 1.5
FLOWS = 60


async def scenario(rig: Rig) -> int:
    routes = {443: 'badge-desk', 444: 'layout'}
    await standard(rig, routes, (443, 443, 444), per_s=6, desk=6)
    await asyncio.sleep(2)
    flows = []
    for number in range(FLOWS):
        client = rig.clients[number % len(rig.clients)]
        flow = await rig.attempt(client, 443, f'kept{number}-1')
        if flow is not None:
            flows.append((number, flow))
    paused_at = rig.now()

    for name in ROLLED:
        rig.stop(rig.machines[name])
        await asyncio.sleep(GAP_S)
    if rig.trouble:
        # config_change, how = skew: new flows of the route are split.
        rig.publish({**routes, 443: [('badge-desk', 60), ('layout', 40)]})
        rig.record('operator', 'route 443 is split from now on')
    for name in ROLLED:
        machine = rig.machines[name]
        if machine.starts != 2 or machine.process.returncode is not None:
            raise NotRun(f'{name} did not restart in time')
    await asyncio.sleep(CALM_S)
    pause = rig.now() - paused_at
    if pause * 1000 >= rig.idle_ms:
        raise NotRun('the pause took too long')
    rig.record('client', f'the flows are used again after {pause:.1f} s')

    async def ask(number, flow) -> None:
        await rig.attempt(flow.machine, 443, f'kept{number}-2', flow=flow)

    await asyncio.gather(*(ask(number, flow) for number, flow in flows))
    violations = []
    for client in rig.clients:
        for at, flow in client.resets:
            holders = [
                backend.ident for backend in rig.backends.values()
                if backend.running and (flow.src, flow.dst) in backend.flows
            ]
            if holders:
                violations.append(
                    f'FLOW: open flow of {flow.src}, held by {holders[0]}, idle for {pause:.1f} s and '
                    f'{at - flow.syn_at:.1f} s old, got a reset of the system at {at:.3f}'
                )
    return verdict(rig, violations)


sys.exit(run_case(scenario, case=__file__))
