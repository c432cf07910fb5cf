"""Processes of the packet-level data path on loopback addresses."""

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import Mapping
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass
from pathlib import Path

import xxhash

from standin.fleet.proxy import Proxy
from standin.fleet.store import Store
from standin.fleet.upstreams import Upstream

PACKET_PORT = 21001
READY_PORT = 21002
CONTROL_PORT = 21003
PEER_PORT = 21004
OUTBOUND_PORT = 21006
UPSTREAM_PORT = 21007
STORE_PORT = 21008
PROXY_PORT = 21009
# Second byte of the loopback addresses of a deployment.
NETWORK = 20
SERVICE_HOST = '198.18.0.1'
PROBE_INTERVAL_SECONDS = 0.25
PROBE_FAILURE_THRESHOLD = 2
RESTART_DELAY_SECONDS = 0.3
POLL_INTERVAL_SECONDS = 0.05


@dataclass
class Vm:
    """A VM with an entry, or with an agent beside an upstream."""

    name: str
    host: str
    # Data centre of the VM.
    zone: str
    # Proxies the process's connections to the store.
    proxy: Proxy
    upstream: Upstream | None = None
    process: Process | None = None
    should_run: bool = True
    # Consecutive failed readiness probes; a new VM is not ready.
    failed_probes: int = PROBE_FAILURE_THRESHOLD
    log: Path | None = None
    # Folder of the sources of another build to run; none for this one.
    other_build: Path | None = None


class Deployment:
    """A store, VMs, and routers that probe the entries."""

    def __init__(self, folder: Path, network: int = NETWORK) -> None:
        self.folder = folder
        self.network = network
        self.store = Store()
        self.vms: dict[str, Vm] = {}
        # The ``bootstrap`` setting of processes that start: whether the whole
        # deployment starts for the first time.
        self.first_start = True
        # The build that new VMs run.
        self.other_build: Path | None = None
        self.version = 0
        self.routes: Mapping[int, str] = {}
        self.stack = AsyncExitStack()
        self.sockets = ExitStack()

    def address(self, kind: int, number: int) -> str:
        """Return a loopback address.

        The kind is 0 for the store, 1 for entries, 2 for upstreams and 3 for
        callers.
        """
        return f'127.{self.network}.{kind}.{number}'

    async def start(
        self,
        stack: AsyncExitStack,
        routes: Mapping[int, str],
    ) -> None:
        """Run the store and the routers until ``stack`` is closed."""
        self.stack = stack
        self.sockets = stack.enter_context(ExitStack())
        await self.store.serve(stack, self.address(0, 1), STORE_PORT)
        self.publish(routes)
        prober = asyncio.create_task(self.probe_entries())
        stack.callback(prober.cancel)
        stack.push_async_callback(self.stop_processes)

    def publish(self, routes: Mapping[int, str]) -> None:
        """Publish a configuration that maps ports to services."""
        self.version += 7
        self.routes = routes
        self.store.put(
            'op/config',
            {
                'version': self.version,
                'routes': [
                    {
                        'name': f'r-{port}',
                        'host': SERVICE_HOST,
                        'prefix': f'/{port}/',
                        'timeoutMs': 1000,
                        'targetLatencyMs': 200,
                        'service': service,
                    }
                    for port, service in routes.items()
                ],
                'services': [
                    {
                        'name': service,
                        'maxConns': 500,
                        'warmupS': 1.0,
                        'warmupPerS': 0,
                    }
                    for service in set(routes.values())
                ],
                'limits': {'idleTimeoutMs': 15000},
            },
        )

    def add_entry(self, number: int, zone: str) -> Vm:
        """Start an entry."""
        return self._add_vm(f'entry-{number}', self.address(1, number), zone)

    def add_upstream(self, number: int, service: str, zone: str) -> Vm:
        """Start an upstream and the agent beside it."""
        host = self.address(2, number)
        upstream = Upstream(f'i-{number}', service, host, zone)
        upstream.open(self.sockets, UPSTREAM_PORT, OUTBOUND_PORT)
        self.store.put(f'servers/{upstream.ident}', upstream.store_item)
        return self._add_vm(f'agent-{number}', host, zone, upstream)

    def drain_upstream(self, vm: Vm) -> None:
        """Publish that an upstream is leaving."""
        assert vm.upstream is not None
        vm.upstream.state = 'draining'
        self.write_upstream(vm.upstream)

    def write_upstream(self, upstream: Upstream) -> None:
        """Publish the state of an upstream."""
        upstream.sequence += 1
        self.store.put(f'servers/{upstream.ident}', upstream.store_item)

    def write_lost_data(self) -> None:
        """Write the configuration and all upstreams again after a restore."""
        self.publish(self.routes)
        for vm in self.vms.values():
            if vm.upstream is not None:
                self.write_upstream(vm.upstream)

    def send_signal(self, vm: Vm, number: signal.Signals) -> None:
        """Send a signal to the process of a VM if it is running."""
        process = vm.process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def route(self, flow: tuple[object, ...]) -> str:
        """Return the host of the entry that the routers select for a flow."""
        entries = [vm for vm in self.vms.values() if not vm.upstream]
        ready = [
            vm for vm in entries if vm.failed_probes < PROBE_FAILURE_THRESHOLD
        ]
        # The routers ignore the probes if fewer than half of the entries are
        # ready.
        if len(ready) * 2 < len(entries):
            ready = entries
        if not ready:
            return ''
        flow_hash = xxhash.xxh32_intdigest(repr(flow).encode())
        return ready[flow_hash % len(ready)].host

    async def wait_until_ready(self, seconds: float = 20) -> None:
        """Wait until all entries are ready."""
        async with asyncio.timeout(seconds):
            while any(
                vm.failed_probes and not vm.upstream for vm in self.vms.values()
            ):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def probe_entries(self) -> None:
        """Probe the readiness of all entries periodically."""
        while True:
            entries = [vm for vm in self.vms.values() if not vm.upstream]
            await asyncio.gather(*(self._probe(entry) for entry in entries))
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def stop_processes(self) -> None:
        """Kill all processes of the deployment."""
        for vm in self.vms.values():
            vm.should_run = False
            self.send_signal(vm, signal.SIGCONT)
            self.send_signal(vm, signal.SIGKILL)
            if vm.process is not None:
                await vm.process.wait()

    def _add_vm(
        self,
        name: str,
        host: str,
        zone: str,
        upstream: Upstream | None = None,
    ) -> Vm:
        proxy = Proxy(self.address(0, 1), STORE_PORT)
        vm = Vm(name, host, zone, proxy, upstream)
        vm.other_build = self.other_build
        self.vms[vm.name] = vm
        vm.log = self.folder / f'{vm.name}.log'
        runner = asyncio.create_task(self._supervise(vm))
        self.stack.callback(runner.cancel)
        return vm

    async def _supervise(self, vm: Vm) -> None:
        assert vm.log is not None
        settings_path = self.folder / f'{vm.name}.json'
        await vm.proxy.serve(self.stack, vm.host, PROXY_PORT)
        while vm.should_run:
            settings_path.write_text(json.dumps(self._node_settings(vm)))
            build = {}
            if vm.other_build is not None:
                # Comes before the installed sources on the path.
                build['PYTHONPATH'] = str(vm.other_build)
            with vm.log.open('ab') as log:
                vm.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'ragwortpost',
                    'node',
                    env={
                        **os.environ,
                        'RAGWORTPOST_CONFIG': str(settings_path),
                        **build,
                    },
                    stdout=log,
                    stderr=log,
                )
                await vm.process.wait()
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    async def _probe(self, vm: Vm) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    vm.host,
                    READY_PORT,
                )
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
            ready = b' 200 ' in line
        except (OSError, TimeoutError):
            ready = False
        if writer is not None:
            writer.close()
        vm.failed_probes = 0 if ready else vm.failed_probes + 1

    def _node_settings(self, vm: Vm) -> dict[str, object]:
        upstream = vm.upstream
        entries = [other for other in self.vms.values() if not other.upstream]
        addresses = {
            'datagramAddr': f'{vm.host}:{PACKET_PORT}',
            'readyAddr': f'{vm.host}:{READY_PORT}',
        }
        upstream_settings: dict[str, object] = {}
        if upstream is not None:
            addresses['outbound'] = f'{vm.host}:{OUTBOUND_PORT}'
            upstream_settings = {
                'app': f'{vm.host}:{UPSTREAM_PORT}',
                'service': upstream.service,
            }
        return {
            'nodeName': vm.name,
            'ip': vm.host,
            'zone': vm.zone,
            'listenAddrs': addresses,
            'internalPortRange': [PEER_PORT, PEER_PORT + 1],
            'seeds': [f'{entry.host}:{CONTROL_PORT}' for entry in entries[:3]],
            'bootstrap': self.first_start,
            'heartbeatMs': 400,
            'limits': {'linkMbps': 1000.0},
            'bounds': {'graceS': 6},
            'platform': {
                'address': f'{vm.host}:{PROXY_PORT}',
                'readsPerS': 2000,
            },
            **upstream_settings,
        }
