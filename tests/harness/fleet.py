"""A simulated fleet of the QUIC data path, in one process.

Real agents and entries run on in-memory substitutes.
"""

import asyncio
import functools
import json
import os
import random
import tempfile
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path

from aioquic.quic.configuration import QuicConfiguration

from ragwortpost.process import (
    Agent,
    Entry,
    Node,
    ProcessSettings,
    tls_configuration,
)
from ragwortpost.process._agent import AgentPorts
from ragwortpost.process._peer_rpc import PeerServicePorts
from ragwortpost.request import PeerSelector
from ragwortpost.version import Role, SocketAddress, short_id
from standin.deployment import DeploymentPlan, write_certificate
from tests.harness.callers import Callers
from tests.harness.loop import ProcessClock, VirtualLoop
from tests.harness.network import Host, MemoryDatagramSockets, Network
from tests.harness.peers import MemoryExchange, MemoryPeers, PeerNetwork
from tests.harness.platform import FakePlatformPort, Platform
from tests.harness.upstream import FakeUpstream, FakeUpstreamPort

# Key that all processes of the fleet share.
FLEET_KEY = b'k' * 32
# Time that a restarted upstream takes to warm up.
WARM_UP_SECONDS = 4.0


@functools.cache
def tls_server_configuration() -> QuicConfiguration:
    """Return the TLS server configuration that all agents share."""
    with tempfile.TemporaryDirectory() as folder:
        write_certificate(Path(folder))
        return tls_configuration(
            str(Path(folder) / 'certificate.pem'),
            str(Path(folder) / 'key.pem'),
        )


class Process:
    """One simulated agent or entry."""

    def __init__(
        self,
        fleet: 'Fleet',
        name: str,
        role: Role,
        data_centre: str,
        ip_address: str,
    ) -> None:
        """Initialize a process, which :meth:`start` runs."""
        self.host = Host(name, data_centre)
        self.clock = ProcessClock(fleet.loop)
        self.stack = AsyncExitStack()
        self.settings = ProcessSettings(
            role=role,
            name=name,
            data_centre=data_centre,
            address=SocketAddress(ip_address, 7001),
            key=FLEET_KEY,
            platform='',
            listen_host=ip_address if role is Role.ENTRY else '',
        )
        self.node = Node(
            self.clock,
            self.settings,
            FakePlatformPort(fleet.platform, self.host),
            MemoryExchange(fleet.peers, self.host),
            random.Random(fleet.rng.random()),
        )
        self.gossip = self.node.gossip
        self.peer_service_ports: PeerServicePorts | None = None
        self.datagrams = MemoryDatagramSockets(fleet.network, self.host)
        self.agent: Agent | None = None
        self.entry: Entry | None = None
        fleet.peers.peers[self.settings.address] = self

    async def start(
        self,
        upstream: FakeUpstream | None,
        peers: PeerNetwork,
        random_bytes: Callable[[int], bytes],
    ) -> None:
        """Start an agent if there is an upstream, else an entry."""
        if upstream is None:
            self.entry = Entry(self.node, self.datagrams)
        else:
            self.agent = self._make_agent(upstream, peers, random_bytes)
            self.peer_service_ports = self.agent.peer_service_ports
        await self.node.start(self.stack)
        sync_stack = self.stack.enter_context(ExitStack())
        (self.entry or self.agent).open(sync_stack)  # type: ignore[union-attr]

    def _make_agent(
        self,
        upstream: FakeUpstream,
        peers: PeerNetwork,
        random_bytes: Callable[[int], bytes],
    ) -> Agent:
        def connect_peers(selector: PeerSelector) -> MemoryPeers:
            return MemoryPeers(peers, self.host, selector.record_free_slots)

        def connect_upstream(lifecycle: object) -> FakeUpstreamPort:
            probe_task = asyncio.get_running_loop().create_task(
                upstream.run_probes(lifecycle)
            )  # type: ignore[arg-type]
            self.stack.callback(probe_task.cancel)
            return FakeUpstreamPort(
                upstream, lifecycle, lambda: self.host.alive
            )  # type: ignore[arg-type]

        ports = AgentPorts(
            self.datagrams, connect_peers, connect_upstream, random_bytes
        )
        return Agent(self.node, ports, tls_server_configuration())

    async def kill(self) -> None:
        """Stop the process without notice to its peers."""
        self.host.alive = False
        await self.stack.aclose()

    def suspend(self) -> None:
        """Stop the clock of the process and hold back its datagrams."""
        self.host.suspended = True
        self.clock.suspend()


class Fleet:
    """The processes, the platform and the callers of one scenario."""

    def __init__(
        self, plan: DeploymentPlan, seed: int, entry_count: int = 3
    ) -> None:
        """Initialize a fleet by a plan and a seed; :meth:`start` runs it."""
        self.plan = plan
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.network = Network(self.loop, random.Random(seed + 1))
        self.peers = PeerNetwork(self.network)
        self.platform = Platform()
        self.callers = Callers(self.network)
        self.callers.find_drained_upstreams = self.find_drained_upstreams
        self.entry_count = entry_count
        # The process last started under each name.
        self.processes: dict[str, Process] = {}
        # All processes ever started, in order.
        self.all_processes: list[Process] = []
        self.upstreams: dict[str, FakeUpstream] = {}
        # Options of each section of the settings.
        self.sections: dict[str, dict[str, str]] = {}
        # Names of VMs that the VM list states as leaving.
        self.leaving: set[str] = set()
        # Role, data centre and IP address of each VM, by name.
        self.vms: dict[str, tuple[str, str, str]] = {}
        self._real_urandom = os.urandom
        self._fill_sections()

    def find_drained_upstreams(self) -> set[bytes]:
        """Return the short ids of upstreams in data centres ever drained."""
        texts = [
            published.body.decode()
            for published in self.platform.history['settings']
        ]
        data_centres = {
            data_centre
            for data_centre in self.plan.data_centres
            for text in texts
            if f'[data-centre {data_centre}]\nstate = out' in text
        }
        return {
            short_id(name)
            for name in self.upstreams
            if name.split('/')[1] in data_centres
        }

    def run(self, coroutine: object) -> object:
        """Run a coroutine on the virtual loop."""
        asyncio.set_event_loop(self.loop)
        return self.loop.run_until_complete(coroutine)  # type: ignore[arg-type]

    def random_bytes(self, count: int) -> bytes:
        """Return random bytes that depend on the seed only."""
        return self.rng.randbytes(count)

    async def start(self) -> None:
        """Publish the documents, start all processes and wait for a second.

        Until :meth:`close`, ``os.urandom`` depends on the seed only, so that
        a run can be repeated.
        """
        os.urandom = self.random_bytes  # type: ignore[assignment]
        self.publish()
        self.publish_vms()
        for service in self.plan.services:
            self.network.services.add((service.host, service.port))
            self.callers.service_names[(service.host, service.port)] = (
                service.name
            )
        for name in self.upstreams:
            await self.start_process(name)
        for number in range(1, self.entry_count + 1):
            await self.start_process(f'entry-{number}')
        await asyncio.sleep(1)

    async def stop(self) -> None:
        """Stop all processes and cancel all tasks."""
        for process in self.processes.values():
            await process.kill()
        pending = asyncio.all_tasks() - {asyncio.current_task()}
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    def close(self) -> None:
        """Restore ``os.urandom`` and close the loop."""
        os.urandom = self._real_urandom
        self.loop.close()

    async def start_process(self, name: str) -> None:
        """Start a process with empty state, as on a new VM."""
        role, data_centre, ip_address = self.vms[name]
        process = Process(self, name, Role(role), data_centre, ip_address)
        self.processes[name] = process
        self.all_processes.append(process)
        if process.settings.role is Role.ENTRY:
            self.network.entries[name] = ip_address
        await process.start(
            self.upstreams.get(name), self.peers, self.random_bytes
        )

    def address(self, service: str) -> tuple[str, int]:
        """Return the address of a service."""
        host, _, port = self.sections[f'service {service}'][
            'address'
        ].partition(':')
        return host, int(port)

    def settings_text(self) -> str:
        """Return the settings in the format that operators publish."""
        lines = []
        for section, options in self.sections.items():
            lines.append(f'[{section}]')
            lines += [f'{key} = {text}' for key, text in options.items()]
        return '\n'.join(lines)

    def publish(self) -> int:
        """Publish the current settings and return their version."""
        return self.platform.publish('settings', self.settings_text().encode())

    def publish_vms(self) -> None:
        """Publish the current VM list."""
        rows = [
            {
                'name': name,
                'role': role,
                'data_centre': data_centre,
                'address': f'{ip_address}:7001',
                'state': 'leaving' if name in self.leaving else 'live',
            }
            for name, (role, data_centre, ip_address) in self.vms.items()
        ]
        self.platform.publish('vms', json.dumps(rows).encode())

    def add_upstream(self, name: str) -> None:
        """Add an upstream to the settings and the VM list."""
        service, data_centre, _ = name.split('/')
        slots = next(
            plan.slots for plan in self.plan.services if plan.name == service
        )
        ip_address = f'10.0.1.{len(self.upstreams) + 1}'
        self.upstreams[name] = FakeUpstream(
            name, slots, WARM_UP_SECONDS, self.loop
        )
        self.sections[f'upstream {name}'] = {'address': f'{ip_address}:7001'}
        self.vms[name] = ('agent', data_centre, ip_address)

    def running(self, names: Sequence[str] | None = None) -> Sequence[Process]:
        """Return the processes that are neither killed nor suspended.

        If ``names`` are given, only the processes of these names.
        """
        return [
            process
            for process in self.processes.values()
            if process.host.alive
            and not process.host.suspended
            and (names is None or process.host.name in names)
        ]

    def versions(self) -> Mapping[str, int]:
        """Return the current settings version of each process in running()."""
        return {
            process.host.name: process.node.stores.settings.current.version
            for process in self.running()
        }

    def _fill_sections(self) -> None:
        self.sections['defaults'] = {
            'ramp': f'{int(WARM_UP_SECONDS) + 1}s',
            'timeout': '5s',
        }
        for data_centre in self.plan.data_centres:
            self.sections[f'data-centre {data_centre}'] = {}
        for service in self.plan.services:
            self.sections[f'service {service.name}'] = {
                'address': f'{service.host}:{service.port}',
                'slots': str(service.slots),
            }
            for number, data_centre in enumerate(service.data_centres, start=1):
                self.add_upstream(f'{service.name}/{data_centre}/{number}')
        for number in range(1, self.entry_count + 1):
            data_centre = self.plan.data_centres[
                (number - 1) % len(self.plan.data_centres)
            ]
            self.vms[f'entry-{number}'] = (
                'entry',
                data_centre,
                f'10.0.0.{number}',
            )
