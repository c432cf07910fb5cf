"""Faults of real processes of the QUIC data path, over real sockets.

Guards against connections that break, events that are skipped or repeated and
answers that are mixed up. An agent that is stopped has to transfer its
connections, and a suspended entry forwards nothing while it still gets packets
from the fabric.
"""

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from standin.deployment import Deployment, cedarline
from standin.workload import Tally, Workload

STREAM_COUNT = 24


class TestProcesses:
    """Connections survive a stopped agent and a suspended entry."""

    @pytest.mark.timeout(90)
    def test_connections_survive_a_stopped_agent_and_a_suspended_entry(
        self, tmp_path: Path
    ) -> None:
        tally = asyncio.run(self.run_deployment(tmp_path))
        assert tally.broken_flows == 0
        assert tally.event_gaps == 0
        assert tally.mixed_answers == 0

    async def run_deployment(self, folder: Path) -> Tally:
        workload = Workload(1)
        async with AsyncExitStack() as stack:
            deployment = Deployment(cedarline(51), folder)
            await deployment.start(stack, settle_seconds=6)
            service = deployment.plan.services[0]
            workload.start(
                *(
                    workload.read_events(service, f'p{number}')
                    for number in range(STREAM_COUNT)
                )
            )
            workload.start(
                *(
                    workload.post_operations(service, f's{number}')
                    for number in range(4)
                )
            )
            await asyncio.sleep(3)
            stopped_upstream = deployment.upstreams[2]
            deployment.send_signal(stopped_upstream.name, signal.SIGTERM)
            await deployment.processes[stopped_upstream.name].wait()
            deployment.send_signal('entry-3', signal.SIGSTOP)
            await asyncio.sleep(0.3)
            live_entry_hosts = [
                deployment.entry_host(number) for number in (1, 2)
            ]
            deployment.send_to_fabric(' '.join(live_entry_hosts))
            await asyncio.sleep(3)
            deployment.send_signal('entry-3', signal.SIGCONT)
            await asyncio.sleep(0.5)
            deployment.send_to_fabric(
                ' '.join([*live_entry_hosts, deployment.entry_host(3)])
            )
            await asyncio.sleep(2)
            await workload.finish()
        return workload.tally
