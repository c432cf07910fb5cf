"""A small deployment on loopback addresses: its processes and its platform.

The processes are those of the deploy file. The store, the backends, the routers
and the operator are stand-ins.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
import zlib
from asyncio.subprocess import Process
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from backend import Backend
from client import ClientHost
from store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
# As in deploy/system.toml.
COMMAND = ('python3', '-S', '-m', 'ragwortpost', 'node')
PASSED_ON = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
RESTART_SECONDS = 0.3
PROBE_SECONDS = 0.5
MISSED_PROBES = 2
GRACE_SECONDS = 6.0
HEARTBEAT_SECONDS = 1.2
SERVICE_HOST = '198.18.0.1'
# The bounds of the small deployments' sheets, in seconds.
DRAIN_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 3.0
STABLE_WINDOW_SECONDS = 4.0


@dataclass(frozen=True)
class Ports:
    """The ports of all machines."""

    data: int
    ready: int
    control: int
    outbound: int
    app: int
    store: int
    internal: int


@dataclass
class Machine:
    """A machine with one process of the system."""

    name: str
    host: str
    zone: str
    # The address at which it reaches the store.
    store_host: str
    backend: Backend | None = None
    process: Process | None = None
    should_run: bool = True
    # Consecutive missed probes.
    missed: int = MISSED_PROBES
    # Times at which its process ended without being asked to, with the status.
    own_ends: list[tuple[float, int]] = field(default_factory=list)
    # Whether the platform has asked its process to end.
    asked: bool = False
    started_at: float = 0.0
    supervisor: asyncio.Task | None = None


class Fleet:
    """The machines, the store, the routers and the operator."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started = time.monotonic()
        self.network = 0
        self.ports = self._free_ports()
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.clients: list[ClientHost] = []
        self.bootstrap = True
        self.version = 3
        self.routes: dict[int, str] = {}
        self.idle_timeout_ms = 15000
        self.warmup_seconds = 2.0
        self.warmup_per_second = 0.0
        self._record_file = (folder / 'record.txt').open('w')
        self._tasks: list[asyncio.Task] = []
        self._scratch = tempfile.TemporaryDirectory()

    def record(self, what: str, **fields: object) -> None:
        """Write a line with the time since the start to ``record.txt``."""
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        at = time.monotonic() - self.started
        self._record_file.write(f'{at:9.3f} {what} {words}\n')

    def address(self, kind: int, number: int) -> str:
        """Return a loopback address."""
        return f'127.{self.network}.{kind}.{number}'

    async def open(self, routes: Mapping[int, str]) -> None:
        """Write the first configuration and start the routers."""
        self.configure(routes)
        self._spawn(self._probe_all())

    def configure(
        self, routes: Mapping[int, str], idle: Mapping[str, str] | None = None
    ) -> float:
        """Write a configuration; return when it was acknowledged.

        ``routes`` are the ports of the main address with their services.
        ``idle`` are further addresses, whose routes see no traffic.
        """
        self.version += 3
        self.routes = dict(routes)
        listed = [
            self._route(f'r-{port}', SERVICE_HOST, port, service)
            for port, service in routes.items()
        ]
        listed.extend(
            self._route(f'r-{host}', host, 8080, service)
            for host, service in (idle or {}).items()
        )
        services = sorted({route['service'] for route in listed})
        self.store.put(
            'op/config',
            {
                'version': self.version,
                'routes': listed,
                'services': [self._service(name) for name in services],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 262144,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': self.idle_timeout_ms,
                },
            },
        )
        at = time.monotonic()
        self.record('config', version=self.version, routes=len(listed))
        return at

    def add_front(self, number: int, zone: str) -> Machine:
        """Start a machine of the class that carries the traffic."""
        return self._add(f'frontend-{number}', self.address(1, number), zone)

    async def add_side(self, number: int, service: str, zone: str) -> Machine:
        """Start a backend and the machine beside it."""
        host = self.address(2, number)
        backend = Backend(
            f'i-{number:03}', service, zone, self._write_entry, self.record
        )
        await backend.start(
            host, self.ports.app, self.ports.outbound, HEARTBEAT_SECONDS
        )
        return self._add(f'side-{number}', host, zone, backend)

    def add_clients(self, number: int, zone: str) -> ClientHost:
        """Return clients of a zone at an address of their own."""
        host = ClientHost(
            self.address(3, number),
            self.ports.data,
            lambda flow: self.route(flow, zone),
            self.record,
        )
        self.clients.append(host)
        return host

    async def return_cold(self, machine: Machine, ident: str) -> Backend:
        """Start a backend again beside a running process, cold."""
        crashed = machine.backend
        assert crashed is not None
        backend = Backend(
            ident, crashed.service, crashed.zone, self._write_entry, self.record
        )
        backend.cold_until = time.monotonic() + self.warmup_seconds
        await backend.start(
            machine.host, self.ports.app, self.ports.outbound, HEARTBEAT_SECONDS
        )
        machine.backend = backend
        self.record('returned cold', backend=ident, machine=machine.name)
        return backend

    def drain(self, machine: Machine) -> float:
        """Report that a backend leaves; return when it was acknowledged."""
        assert machine.backend is not None
        machine.backend.state = 'draining'
        machine.backend.report()
        self.record('draining', backend=machine.backend.ident)
        return time.monotonic()

    def route(self, flow: object, zone: str) -> str:
        """Return the address that the routers select for a flow."""
        fronts = [one for one in self.machines.values() if not one.backend]
        local = [one for one in fronts if one.zone == zone]
        for candidates in (local, fronts):
            ready = [one for one in candidates if one.missed < MISSED_PROBES]
            if ready and len(ready) * 2 < len(candidates):
                ready = candidates
            if ready:
                index = zlib.crc32(repr(flow).encode()) % len(ready)
                return ready[index].host
        return ''

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        process = machine.process
        if process is None or process.returncode is not None:
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            machine.asked = True
        self.record('signal', machine=machine.name, number=number.name)
        process.send_signal(number)

    def write_settings(self, machine: Machine, seeds: list[str]) -> None:
        """Write a machine's settings file."""
        path = Path(self._scratch.name) / f'{machine.name}.json'
        new = path.with_suffix('.new')
        new.write_text(json.dumps(self._settings(machine, seeds)))
        new.rename(path)

    @property
    def seeds(self) -> list[str]:
        """The ``control`` addresses of the first three fronts."""
        fronts = [one for one in self.machines.values() if not one.backend]
        return [f'{one.host}:{self.ports.control}' for one in fronts[:3]]

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until all fronts are in rotation."""
        async with asyncio.timeout(seconds):
            while any(
                one.missed
                for one in self.machines.values()
                if not one.backend
            ):
                await asyncio.sleep(0.05)

    async def query(self, machine: Machine, path: str) -> str:
        """Return what a process shows its operator, or nothing."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    machine.host, self.ports.internal + 1
                )
                writer.write(
                    f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
                )
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(
                    head.lower().split(b'content-length:')[1].split()[0]
                )
                body = await reader.readexactly(length)
                writer.close()
                return body.decode()
        except (OSError, EOFError, ValueError, IndexError):
            return ''

    async def close(self) -> None:
        """End all processes and stop the stand-ins."""
        for machine in self.machines.values():
            machine.should_run = False
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            if machine.supervisor is not None:
                machine.supervisor.cancel()
            if machine.backend is not None:
                machine.backend.stop()
        for task in self._tasks:
            task.cancel()
        for clients in self.clients:
            clients.close()
        self.store.close()
        self._record_file.close()
        self._scratch.cleanup()

    def _add(
        self, name: str, host: str, zone: str, backend: Backend | None = None
    ) -> Machine:
        store_host = self.address(4 if backend else 5, int(host.split('.')[-1]))
        machine = Machine(name, host, zone, store_host, backend)
        self.machines[name] = machine
        machine.supervisor = asyncio.get_running_loop().create_task(
            self._supervise(machine)
        )
        return machine

    async def _supervise(self, machine: Machine) -> None:
        await self.store.serve(machine.store_host, self.ports.store)
        path = Path(self._scratch.name) / f'{machine.name}.json'
        environment = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        environment['RAGWORTPOST_CONFIG'] = str(path)
        environment['PYTHONPATH'] = 'target/deps'
        # The list of machines is complete when the first processes start.
        await asyncio.sleep(0.05)
        while machine.should_run:
            self.write_settings(machine, self.seeds)
            machine.asked = False
            log = Path(self._scratch.name) / f'{machine.name}.txt'
            with log.open('ab') as output:
                machine.process = await asyncio.create_subprocess_exec(
                    *COMMAND,
                    cwd=REPOSITORY,
                    env=environment,
                    stdout=output,
                    stderr=output,
                )
                machine.started_at = time.monotonic()
                self.record('started', machine=machine.name)
                status = await machine.process.wait()
            self.record('ended', machine=machine.name, status=status)
            if not machine.asked and machine.should_run:
                machine.own_ends.append((time.monotonic(), status))
            await asyncio.sleep(RESTART_SECONDS)

    async def _probe_all(self) -> None:
        while True:
            await asyncio.gather(
                *(
                    self._probe(one)
                    for one in self.machines.values()
                    if not one.backend
                )
            )
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe(self, machine: Machine) -> None:
        ready = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    machine.host, self.ports.ready
                )
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                ready = b' 200 ' in await reader.readline()
                writer.close()
        except OSError:
            pass
        machine.missed = 0 if ready else machine.missed + 1

    def _write_entry(self, key: str, entry: dict | None) -> None:
        if entry is None:
            self.store.delete(key)
        else:
            self.store.put(key, entry)

    def _spawn(self, work) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _free_ports(self) -> Ports:
        """Choose a loopback network and ports that are free there."""
        for _ in range(100):
            self.network = random.randrange(64, 250)
            first = random.randrange(11000, 30000)
            ports = Ports(*range(first, first + 6), first + 10)
            try:
                for port in (*range(first, first + 12),):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((self.address(1, 1), port))
            except OSError:
                continue
            return ports
        raise OSError('no free ports')

    def _route(self, name: str, host: str, port: int, service: str) -> dict:
        return {
            'name': name,
            'host': host,
            'prefix': f'/{port}/',
            'kind': 'unsafe',
            'timeoutMs': 1000,
            'targetLatencyMs': 180,
            'priority': 1,
            'service': service,
            'maxAttempts': 2,
        }

    def _service(self, name: str) -> dict:
        return {
            'name': name,
            'healthPath': '/health',
            'maxConns': 2000,
            'protocol': 'h1',
            'tls': False,
            'warmupS': self.warmup_seconds,
            'warmupPerS': self.warmup_per_second,
        }

    def _settings(self, machine: Machine, seeds: list[str]) -> dict:
        ports = self.ports
        addresses = {
            'datagramAddr': f'{machine.host}:{ports.data}',
            'readyAddr': f'{machine.host}:{ports.ready}',
        }
        own: dict[str, object] = {}
        if machine.backend is None:
            addresses['control'] = f'{machine.host}:{ports.control}'
            limits = {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300}
            serves = ['frontend', 'control_plane']
        else:
            addresses['outbound'] = f'{machine.host}:{ports.outbound}'
            limits = {'cpuShare': 0.645, 'cores': 1, 'memoryMb': 168}
            serves = ['side']
            own = {
                'app': f'{machine.host}:{ports.app}',
                'service': machine.backend.service,
            }
        zones = {one.zone: 'bc-lower' for one in self.machines.values()}
        return {
            'nodeName': machine.name,
            'role': 'agent' if machine.backend else 'entry',
            'machineClass': 'side' if machine.backend else 'frontend',
            'serves': serves,
            'ip': machine.host,
            'zone': machine.zone,
            'region': 'bc-lower',
            'zones': zones,
            'listenAddrs': addresses,
            'internalPortRange': [ports.internal, ports.internal + 1],
            'seeds': seeds,
            'bootstrap': self.bootstrap,
            'faultCounted': False,
            'limits': {
                **limits,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'anycast',
            'heartbeatMs': int(HEARTBEAT_SECONDS * 1000),
            'contracts': ['base', 'drain', 'config', 'cost', 'recover'],
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': {
                'stableWindowMs': 4000,
                'drainMs': 3000,
                'graceS': GRACE_SECONDS,
                'configApplyMs': 3000,
                'revertSlackMs': 250,
                'evacuateMs': 5000,
                'recoverS': 12,
                'flowReorderMs': 2000,
                'flowMaxS': 60,
            },
            'ecmpHash': 'mod',
            'forwardingMode': 'agent',
            'platform': {
                'address': f'{machine.store_host}:{ports.store}',
                'forwardingMode': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
            **own,
        }
