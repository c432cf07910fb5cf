"""The processes of one deployment on loopback addresses."""

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
# Second byte of the loopback addresses of one deployment.
NETWORK = 20
SERVICE_HOST = '198.18.0.1'
PROBE_SECONDS = 0.25
PROBE_MISSES = 2
RESTART_SECONDS = 0.3
POLL_SECONDS = 0.05


@dataclass
class Machine:
    """One VM with its process."""

    name: str
    host: str
    zone: str
    # Between the process and the store.
    proxy: Proxy
    upstream: Upstream | None = None
    process: Process | None = None
    wanted: bool = True
    misses: int = PROBE_MISSES
    log: Path | None = None


class Deployment:
    """Store, machines and routers."""

    def __init__(self, folder: Path, network: int = NETWORK) -> None:
        self.folder = folder
        self.network = network
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.first_start = True
        self.version = 0
        self.routes: Mapping[int, str] = {}
        self.stack = AsyncExitStack()
        self.sockets = ExitStack()

    def address(self, kind: int, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f'127.{self.network}.{kind}.{number}'

    async def start(
        self,
        stack: AsyncExitStack,
        routes: Mapping[int, str],
    ) -> None:
        """Open the store and the routers until ``stack`` closes."""
        self.stack = stack
        self.sockets = stack.enter_context(ExitStack())
        await self.store.serve(stack, self.address(0, 1), STORE_PORT)
        self.publish(routes)
        prober = asyncio.create_task(self.probe_all())
        stack.callback(prober.cancel)
        stack.push_async_callback(self.stop_all)

    def publish(self, routes: Mapping[int, str]) -> None:
        """Write a configuration: services by port."""
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

    def add_entry(self, number: int, zone: str) -> Machine:
        """Start an entry."""
        return self._add(f'entry-{number}', self.address(1, number), zone)

    def add_upstream(self, number: int, service: str, zone: str) -> Machine:
        """Start an upstream and the agent beside it."""
        host = self.address(2, number)
        upstream = Upstream(f'i-{number}', service, host, zone)
        upstream.open(self.sockets, UPSTREAM_PORT, OUTBOUND_PORT)
        self.store.put(f'servers/{upstream.ident}', upstream.entry)
        return self._add(f'agent-{number}', host, zone, upstream)

    def drain_upstream(self, machine: Machine) -> None:
        """Let an upstream say that it leaves."""
        assert machine.upstream is not None
        machine.upstream.state = 'draining'
        self.store.put(
            f'servers/{machine.upstream.ident}',
            machine.upstream.entry,
        )

    def send_signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process, if it runs."""
        process = machine.process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def route(self, flow: tuple[object, ...]) -> str:
        """Return the entry that the routers choose for a flow."""
        entries = [one for one in self.machines.values() if not one.upstream]
        ready = [one for one in entries if one.misses < PROBE_MISSES]
        if len(ready) * 2 < len(entries):
            ready = entries
        if not ready:
            return ''
        number = xxhash.xxh32_intdigest(repr(flow).encode())
        return ready[number % len(ready)].host

    async def until_ready(self, seconds: float = 20) -> None:
        """Wait until every entry is in rotation."""
        async with asyncio.timeout(seconds):
            while any(
                one.misses and not one.upstream
                for one in self.machines.values()
            ):
                await asyncio.sleep(POLL_SECONDS)

    async def probe_all(self) -> None:
        """Ask entries whether they are ready."""
        while True:
            entries = [
                one for one in self.machines.values() if not one.upstream
            ]
            await asyncio.gather(*(self._probe(one) for one in entries))
            await asyncio.sleep(PROBE_SECONDS)

    async def stop_all(self) -> None:
        """End the processes that this deployment started."""
        for machine in self.machines.values():
            machine.wanted = False
            self.send_signal(machine, signal.SIGCONT)
            self.send_signal(machine, signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()

    def _add(
        self,
        name: str,
        host: str,
        zone: str,
        upstream: Upstream | None = None,
    ) -> Machine:
        proxy = Proxy(self.address(0, 1), STORE_PORT)
        machine = Machine(name, host, zone, proxy, upstream)
        self.machines[machine.name] = machine
        machine.log = self.folder / f'{machine.name}.log'
        runner = asyncio.create_task(self._keep_running(machine))
        self.stack.callback(runner.cancel)
        return machine

    async def _keep_running(self, machine: Machine) -> None:
        assert machine.log is not None
        settings = self.folder / f'{machine.name}.json'
        await machine.proxy.serve(self.stack, machine.host, PROXY_PORT)
        while machine.wanted:
            settings.write_text(json.dumps(self._settings(machine)))
            with machine.log.open('ab') as log:
                machine.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'ragwortpost',
                    'node',
                    env={**os.environ, 'RAGWORTPOST_CONFIG': str(settings)},
                    stdout=log,
                    stderr=log,
                )
                await machine.process.wait()
            await asyncio.sleep(RESTART_SECONDS)

    async def _probe(self, machine: Machine) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    machine.host,
                    READY_PORT,
                )
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
            ready = b' 200 ' in line
        except (OSError, TimeoutError):
            ready = False
        if writer is not None:
            writer.close()
        machine.misses = 0 if ready else machine.misses + 1

    def _settings(self, machine: Machine) -> dict[str, object]:
        upstream = machine.upstream
        entries = [one for one in self.machines.values() if not one.upstream]
        addresses = {
            'datagramAddr': f'{machine.host}:{PACKET_PORT}',
            'readyAddr': f'{machine.host}:{READY_PORT}',
        }
        extra: dict[str, object] = {}
        if upstream is not None:
            addresses['outbound'] = f'{machine.host}:{OUTBOUND_PORT}'
            extra = {
                'app': f'{machine.host}:{UPSTREAM_PORT}',
                'service': upstream.service,
            }
        return {
            'nodeName': machine.name,
            'ip': machine.host,
            'zone': machine.zone,
            'listenAddrs': addresses,
            'internalPortRange': [PEER_PORT, PEER_PORT + 1],
            'seeds': [f'{one.host}:{CONTROL_PORT}' for one in entries[:3]],
            'bootstrap': self.first_start,
            'heartbeatMs': 400,
            'limits': {'linkMbps': 1000.0},
            'bounds': {'graceS': 6},
            'platform': {
                'address': f'{machine.host}:{PROXY_PORT}',
                'readsPerS': 2000,
            },
            **extra,
        }
