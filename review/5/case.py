"""CONFIG while an entry of another writer names a service nobody has: see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from rig import Rig, late_on_dropped, run_case, standard, verdict

DROPPED = 8443


async def scenario(rig: Rig) -> int:
    routes = {443: 'badge-desk', 444: 'layout', DROPPED: 'badge-desk'}
    await standard(rig, routes, (443, 443, 444, DROPPED))
    await asyncio.sleep(4)
    if rig.trouble:
        # Another writer's entry. Its service is not named in any
        # configuration: the name ends in half of a surrogate pair, as where a
        # program has cut a text of UTF-16 units.
        rig.store.put('servers/other-writer-1', {
            'service': 'badge-desk \ud83d', 'address': rig.host(9, 9) + ':80',
            'zone': 'hall-north', 'version': 'x', 'slots': 2, 'state': 'ready',
            'warmupLeftMs': 0, 'sequence': 1, 'born': rig.unix_ms(),
        })
        rig.record('store', 'another writer writes an entry', key='servers/other-writer-1')
    await asyncio.sleep(5)
    # No process, link or store has been disturbed at any time.
    acknowledged = rig.publish({443: 'badge-desk', 444: 'layout'})
    rig.record('operator', f'route {DROPPED} is dropped')
    await asyncio.sleep(12)
    return verdict(rig, late_on_dropped(rig, DROPPED, acknowledged))


sys.exit(run_case(scenario, case=__file__))
