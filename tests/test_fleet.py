"""The real programs of the packet-level data path against stand-ins.

Guards against responses that are cut short or mixed up, requests that fail or
run twice, resets of flows that an upstream holds, and new flows at a leaving
upstream. Processes that stop or are killed, lost packets and an unavailable
store may cause these.
"""

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import pytest

from standin.fleet.callers import SYN_RETRY_SECONDS, CallerFlow, CallerHost
from standin.fleet.demo import Demo
from standin.fleet.deployment import NETWORK
from standin.fleet.soak import BASE_FAULTS, run_seed
from standin.fleet.stream import ACK, SYN, Segment, decode


def worker_network(worker: str) -> int:
    """Return a loopback network, a separate one for each parallel worker."""
    return NETWORK + int(worker.removeprefix('gw').replace('master', '0'))


class TestCallerFlow:
    """The stand-in caller opens flows as the platform's callers do.

    A caller that sent data before it had the upstream's sequence number made
    the demo report resets of flows that no upstream held (16 demos at once).
    """

    def test_acceptance_and_timeout_in_the_same_turn_of_the_loop(self) -> None:
        sent: list[Segment] = []

        async def open_while_starved() -> CallerFlow:
            host = CallerHost('127.0.0.1', 1, lambda *_: 'entry')
            host.send_to_entry = (  # type: ignore[method-assign]
                lambda packet, _: sent.append(decode(packet))
            )
            flow = host.new_flow(('198.18.0.1', 443))
            opening = asyncio.create_task(flow.open())
            await asyncio.sleep(0)
            time.sleep(SYN_RETRY_SECONDS[0] + 0.05)
            accepted = replace(sent[0], flags=SYN | ACK, sequence=7000)
            asyncio.get_running_loop().call_soon(flow.on_segment, accepted)
            await opening
            return flow

        flow = asyncio.run(open_while_starved())
        assert flow.stream.expected == 7001
        assert len(sent) == 1


class TestFleetDemo:
    """Processes stop, join and are killed, an upstream leaves, the store fails."""

    @pytest.mark.timeout(90)
    def test_every_invariant_holds(
        self,
        tmp_path: Path,
        worker_id: str,
    ) -> None:
        demo = Demo(tmp_path, worker_network(worker_id))
        assert asyncio.run(demo.run()) == []
        assert demo.tally.counts['answered'] > 1000


class TestSoak:
    """A short soak test; ``make soak`` runs longer ones.

    Seed 1 failed once on a loaded machine: the stand-in upstream accepted data
    of a flow that the caller had opened at another upstream.
    """

    @pytest.mark.timeout(90)
    @pytest.mark.parametrize('seed', [1, 2])
    def test_every_invariant_holds(self, seed: int, worker_id: str) -> None:
        soak = run_seed(
            seed,
            seconds=8,
            network=worker_network(worker_id),
            faults=BASE_FAULTS,
        )
        assert not soak.violations, soak.fault_log

    @pytest.mark.timeout(90)
    @pytest.mark.parametrize('seed', [1, 2])
    def test_every_invariant_holds_with_delays_and_store_faults(
        self,
        seed: int,
        worker_id: str,
    ) -> None:
        soak = run_seed(seed, seconds=8, network=worker_network(worker_id))
        assert not soak.violations, soak.fault_log
