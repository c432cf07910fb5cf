"""Kills, freezes and stops of real processes over real sockets."""

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from standin.deployment import Deployment, cedarline
from standin.workload import Tally, Workload

STREAMS = 24


class TestRealProcesses:
    """Flows outlive an agent that stops and an entry that freezes."""

    @pytest.mark.timeout(90)
    def test_agent_stops_and_entry_freezes(self, tmp_path: Path) -> None:
        tally = asyncio.run(self.play(tmp_path))
        assert tally.broken_flows == 0
        assert tally.event_gaps == 0
        assert tally.mixed_answers == 0

    async def play(self, folder: Path) -> Tally:
        load = Workload(1)
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(51), folder)
            await deployment.start(stack, settle_seconds=6)
            desk = deployment.plan.services[0]
            load.start(
                *(
                    load.read_events(desk, f'p{number}')
                    for number in range(STREAMS)
                )
            )
            load.start(
                *(
                    load.post_operations(desk, f's{number}')
                    for number in range(4)
                )
            )
            await asyncio.sleep(3)
            stopped = deployment.upstreams[2]
            deployment.send_signal(stopped.name, signal.SIGTERM)
            await deployment.processes[stopped.name].wait()
            deployment.send_signal('entry-3', signal.SIGSTOP)
            await asyncio.sleep(0.3)
            live = [deployment.entry_host(number) for number in (1, 2)]
            deployment.send_to_fabric(' '.join(live))
            await asyncio.sleep(3)
            deployment.send_signal('entry-3', signal.SIGCONT)
            await asyncio.sleep(0.5)
            deployment.send_to_fabric(
                ' '.join([*live, deployment.entry_host(3)])
            )
            await asyncio.sleep(2)
            await load.finish()
        return load.tally
