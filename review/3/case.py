"""FLOW on flows that pause for less than idleTimeoutMs: see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from rig import Rig, run_case, standard, verdict

IDLE_MS = 45000           # the new idleTimeoutMs; flowMaxS is 60
PAUSE_S = 33.0
FLOWS = 24


async def scenario(rig: Rig) -> int:
    routes = {443: 'badge-desk', 444: 'layout'}
    await standard(rig, routes, (443, 443, 444), per_s=8)
    await asyncio.sleep(2)
    if rig.trouble:
        # A configuration that changes time-outs: config_change, how = idle.
        rig.idle_ms = IDLE_MS
        rig.publish(routes)
        rig.record('operator', f'idleTimeoutMs is {IDLE_MS} from now on')
    await asyncio.sleep(4)

    pause = PAUSE_S if rig.trouble else rig.idle_ms / 1000 - 2
    violations = []

    async def pausing(number: int) -> None:
        client = rig.clients[number % len(rig.clients)]
        flow = await rig.attempt(client, 443, f'pause{number}-1')
        if flow is None:
            return
        begun = rig.now()
        await asyncio.sleep(pause)
        await rig.attempt(client, 443, f'pause{number}-2', flow=flow)
        resets = [at for at, one in client.resets if one is flow]
        alive = all(one.running for one in rig.backends.values())
        if resets and alive:
            violations.append(
                f'FLOW: open flow of {flow.src}, idle for {pause:g} s of the {rig.idle_ms / 1000:g} s allowed and '
                f'{resets[0] - flow.syn_at:.1f} s old, got a reset of the system at {resets[0]:.3f}'
            )
        rig.record('client', 'flow asked again after its pause', flow=flow.src, since=round(begun, 3), reset=bool(resets))

    jobs = [rig.spawn(pausing(number)) for number in range(FLOWS)]
    await asyncio.gather(*jobs)
    return verdict(rig, violations)


sys.exit(run_case(scenario, case=__file__))
