"""FAILBACK at a backend that comes back cold while the store is down: see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from rig import BOUNDS, Rig, run_case, sent_at, standard, verdict

PER_S = 8                # warmupPerS
DARK_S = 0.6             # cold_return, at most for_s = 4.5
DOWN_S = 4.5             # platform_down, for_s = 4.5
ZONE = 'hall-south'


async def scenario(rig: Rig) -> int:
    rig.warmup_per_s = PER_S
    routes = {443: 'badge-desk', 444: 'layout'}
    await standard(rig, routes, (443, 443, 443, 443, 444), per_s=45)
    await asyncio.sleep(4)
    returned = [one for one in rig.backends.values() if one.zone == ZONE and one.service == 'badge-desk']
    for backend in returned:
        backend.crash()
    await asyncio.sleep(DARK_S / 2)
    if rig.trouble:
        rig.store.down = 'busy'
        rig.record('store', 'is down')
    await asyncio.sleep(DARK_S / 2)
    since = {}
    for backend in returned:
        backend.start(cold=True)
        since[backend.name] = rig.now()
    await asyncio.sleep(DOWN_S - DARK_S / 2)
    rig.store.down = None
    rig.record('store', 'is back')
    await asyncio.sleep(6)

    limit = PER_S * BOUNDS['warmupOverrun'] + BOUNDS['warmupSlack']
    sent = sent_at(rig)
    violations = []
    for backend in returned:
        begun = since[backend.name]
        cold = [
            (at, sent[src, dst]) for at, src, dst in backend.openings
            if begun <= at <= begun + rig.warmup_s
        ]
        # Each window of a second that begins with an opening packet, and lies
        # in the time in which the backend is cold.
        for start, _ in cold:
            if start + 1 > begun + rig.warmup_s:
                break
            inside = sum(start <= begun_at and at < start + 1 for at, begun_at in cold)
            if inside > limit:
                violations.append(
                    f'FAILBACK: {backend.ident} took {inside} opening packets in the second '
                    f'from {start:.3f}, the limit is {limit:g}'
                )
        rig.record('verdict', f'{backend.ident} took {len(cold)} opening packets in its {rig.warmup_s} cold seconds')
    return verdict(rig, violations)


sys.exit(run_case(scenario, case=__file__))
