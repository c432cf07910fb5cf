"""A small deployment on loopback: processes, store, backends, clients, routers."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import zlib
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from backend import Backend
from client import ClientMachine, Failed
from store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
# ``run.sh`` turns these into 0, 1 and 2; Python itself exits with 1 on an error.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# The bounds of cedarline-floor, in DEPLOY.md.
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'stableWindowMs': 4000, 'ackMs': 5000,
    'catchUpS': 4, 'drainMs': 3000, 'graceS': 6, 'lossSlackMs': 200,
    'configApplyMs': 3000, 'revertSlackMs': 250, 'maxStretchMs': 12000,
    'warmupOverrun': 1.5, 'warmupSlack': 5, 'evacuateMs': 5000, 'recoverS': 12,
    'flowReorderMs': 2000, 'flowMaxS': 60,
}
ZONES = ('hall-north', 'hall-south', 'print-annex', 'old-office')
RESTART_S = 0.3
FACTS = ('runs', 'took opening packet')


def target(service) -> dict:
    """Return the fields of a route that say where its new flows are sent."""
    if isinstance(service, str):
        return {'service': service}
    return {'split': [{'service': name, 'weight': weight} for name, weight in service]}


class NotRun(Exception):
    """The case could not run."""


class Machine:
    """A machine with one process of the system."""

    def __init__(self, name: str, host: str, zone: str, backend: Backend | None) -> None:
        self.name, self.host, self.zone, self.backend = name, host, zone, backend
        self.process = None
        self.wanted = True
        self.misses = 2
        self.starts = 0
        # Ends of its process that nothing asked for.
        self.own_ends: list = []
        self.asked_to_end = False
        self.down_until = 0.0


class Rig:
    """The deployment of one run of a case."""

    def __init__(self, case: str, *, seed: int = 1, warmup_per_s: float = 0, work_s: float = 0.03) -> None:
        self.case = Path(case).resolve().parent
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.seed = int(os.environ.get('SEED', seed))
        self.random = random.Random(self.seed)
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.file = (self.case / 'record.txt').open('w')
        self.stack = AsyncExitStack()
        self.net = self.random_net()
        base = self.free_ports()
        (self.datagram_port, self.ready_port, self.control_port, self.app_port,
         self.outbound_port, self.store_port) = range(base, base + 6)
        self.inner = [base + 10, base + 25]
        self.machines: dict[str, Machine] = {}
        self.backends: dict[str, Backend] = {}
        self.clients: list[ClientMachine] = []
        self.store = Store(self.record, self.seed)
        self.heard: dict[str, float] = {}
        self.heartbeat_s = 1.2
        self.warmup_s, self.warmup_per_s, self.work_s = 2.0, warmup_per_s, work_s
        self.max_conns = 2000
        self.idle_ms = 12000
        self.routes: dict[int, str] = {}
        self.version = 0
        self.bootstrap = True
        self.acks: list = []
        self.on_open_hooks: list = []
        self.counts: dict[str, int] = {}
        self.service_host = f'127.{self.net}.200.1'
        self.logs = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))

    # -- small things ------------------------------------------------------

    def now(self) -> float:
        return self.loop.time() - self.started

    def unix_ms(self) -> int:
        return int(time.time() * 1000)

    def record(self, who: str, what: str, **facts) -> None:
        tail = ''.join(f' {name}={fact}' for name, fact in facts.items())
        self.file.write(f'{self.now():8.3f} {who}: {what}{tail}\n')

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def later(self, seconds: float, job) -> None:
        self.loop.call_later(seconds, job)

    @staticmethod
    def random_net() -> int:
        return 64 + os.getpid() % 150

    def free_ports(self) -> int:
        """Return the first of 30 ports that are free on a test address."""
        for _ in range(200):
            base = random.Random(os.getpid() + time.time_ns()).randrange(20000, 30000, 40)
            try:
                for port in range(base, base + 30):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f'127.{self.net}.1.1', port))
            except OSError:
                continue
            return base
        raise NotRun('no free ports')

    # -- configuration -----------------------------------------------------

    def publish(self, routes: dict[int, str]) -> float:
        """Write a configuration; the store's acknowledgement is its return."""
        self.version += self.random.randrange(1, 9)
        self.routes = dict(routes)
        self.store.put('op/config', {
            'version': self.version,
            'routes': [
                {
                    'name': f'r{port}', 'host': self.service_host, 'prefix': f'/{port}/',
                    'kind': 'safe', 'timeoutMs': 1000, 'targetLatencyMs': 500,
                    'priority': 1, 'maxAttempts': 1, **target(service),
                }
                for port, service in routes.items()
            ],
            'services': [
                {
                    'name': name, 'healthPath': '/health', 'maxConns': self.max_conns,
                    'warmupS': self.warmup_s, 'warmupPerS': self.warmup_per_s,
                }
                for name in sorted({'badge-desk', 'layout'})
            ],
            'limits': {'idleTimeoutMs': self.idle_ms, 'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 2000},
        })
        self.acks.append((self.now(), self.version, dict(routes)))
        self.record('operator', f'configuration {self.version} acknowledged', routes=sorted(routes))
        return self.now()

    # -- machines ----------------------------------------------------------

    def host(self, kind: int, number: int) -> str:
        return f'127.{self.net}.{kind}.{number}'

    async def add_front(self, zone: str) -> Machine:
        number = sum(not one.backend for one in self.machines.values()) + 1
        return await self._add(f'frontend-{number}', self.host(1, number), zone, None)

    async def add_backend(self, service: str, zone: str, slots: int = 2) -> Machine:
        number = sum(bool(one.backend) for one in self.machines.values()) + 1
        name, host = f'side-{number}', self.host(2, number)
        backend = Backend(self, name, service, host, zone, slots, self.work_s)
        self.backends[name] = backend
        machine = await self._add(name, host, zone, backend)
        backend.start()
        return machine

    async def _add(self, name, host, zone, backend) -> Machine:
        machine = Machine(name, host, zone, backend)
        self.machines[name] = machine
        # Each machine has a way of its own to the store, so that the store
        # can turn single machines away.
        way = (self.host(0, len(self.machines)), self.store_port)
        machine.way = way
        await self.store.serve(self.stack, *way, name)
        task = self.loop.create_task(self._supervise(machine))
        self.stack.callback(task.cancel)
        return machine

    def fronts(self) -> list[Machine]:
        return [one for one in self.machines.values() if not one.backend]

    def settings(self, machine: Machine) -> dict:
        host, backend = machine.host, machine.backend
        listen = {
            'datagramAddr': f'{host}:{self.datagram_port}',
            'readyAddr': f'{host}:{self.ready_port}',
        }
        fields = {
            'nodeName': machine.name, 'role': 'agent' if backend else 'entry',
            'machineClass': 'side' if backend else 'frontend',
            'serves': ['side'] if backend else ['frontend', 'control_plane'],
            'ip': host, 'zone': machine.zone, 'region': 'bc-lower',
            'zones': {zone: 'bc-lower' for zone in ZONES},
            'listenAddrs': listen, 'internalPortRange': self.inner,
            'seeds': [f'{one.host}:{self.control_port}' for one in self.fronts()[:3]],
            'bootstrap': self.bootstrap, 'faultCounted': False,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300, 'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'anycast',
            'heartbeatMs': int(self.heartbeat_s * 1000),
            'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'flows', 'places', 'platform'],
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS, 'ecmpHash': 'mod', 'forwardingMode': 'agent',
            'platform': {'address': f'{machine.way[0]}:{machine.way[1]}', 'forwardingMode': 'read', 'writesPerS': 400, 'readsPerS': 2000, 'historyS': 20, 'valueBytes': 1048576, 'ttlMinMs': 1000},
        }
        if backend:
            listen['outbound'] = f'{host}:{self.outbound_port}'
            fields |= {'service': backend.service, 'app': f'{host}:{self.app_port}'}
        else:
            listen['control'] = f'{host}:{self.control_port}'
        return fields

    async def _supervise(self, machine: Machine) -> None:
        path = self.logs / f'{machine.name}.json'
        variables = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        while machine.wanted:
            while self.now() < machine.down_until:
                await asyncio.sleep(0.02)
            path.write_text(json.dumps(self.settings(machine)))
            with (self.logs / f'{machine.name}.log').open('ab') as log:
                machine.asked_to_end = False
                machine.process = await asyncio.create_subprocess_exec(
                    sys.executable, '-S', '-m', 'ragwortpost', 'node', cwd=REPOSITORY,
                    env={**variables, 'RAGWORTPOST_CONFIG': str(path), 'PYTHONPATH': str(REPOSITORY / 'target' / 'deps')},
                    stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                )
                machine.starts += 1
                self.record('platform', f'{machine.name} started', pid=machine.process.pid)
                code = await machine.process.wait()
            self.record('platform', f'{machine.name} ended', code=code)
            if not machine.asked_to_end:
                machine.own_ends.append(self.now())
            await asyncio.sleep(RESTART_S)

    def signal(self, machine: Machine, number: int) -> None:
        if machine.process is not None and machine.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                machine.asked_to_end = True
            self.record('platform', f'{machine.name} gets {signal.Signals(number).name}')
            machine.process.send_signal(number)

    def stop(self, machine: Machine) -> None:
        """SIGTERM, and SIGKILL after ``graceS``."""
        process = machine.process
        self.signal(machine, signal.SIGTERM)
        def kill() -> None:
            if machine.process is process and process.returncode is None:
                self.signal(machine, signal.SIGKILL)
        self.later(BOUNDS['graceS'], kill)

    # -- routers -----------------------------------------------------------

    async def _probe_all(self) -> None:
        while True:
            for machine in self.fronts():
                task = self.loop.create_task(self._probe(machine))
                self.stack.callback(task.cancel)
            await asyncio.sleep(0.5)

    async def _probe(self, machine: Machine) -> None:
        ready, writer = False, None
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(machine.host, self.ready_port)
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                ready = b' 200 ' in await reader.readline()
        except (OSError, TimeoutError):
            pass
        if writer is not None:
            writer.close()
        before = machine.misses < 2
        machine.misses = 0 if ready else machine.misses + 1
        if before != (machine.misses < 2):
            self.record('routers', f'{machine.name} in rotation', now=not before)

    def pick(self, zone: str, src, dst) -> str:
        """Return the node that the routers forward a packet to (``mod``)."""
        zones = [zone, *(other for other in ZONES if other != zone)]
        for place in zones:
            nodes = [one for one in self.fronts() if one.zone == place]
            ready = [one for one in nodes if one.misses < 2]
            if ready and len(ready) * 2 < len(nodes):
                ready = nodes
            if ready:
                hashed = zlib.crc32(repr((src, dst)).encode())
                return ready[hashed % len(ready)].host
        return ''

    # -- life --------------------------------------------------------------

    def on_open(self, backend: Backend, client, service) -> None:
        for hook in self.on_open_hooks:
            hook(backend, client, service)

    async def _expire_entries(self) -> None:
        """The store removes entries after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.1)
            if self.store.down:
                continue
            for ident, heard in list(self.heard.items()):
                if self.now() - heard > 3 * self.heartbeat_s:
                    self.heard.pop(ident)
                    self.record('store', f'entry of {ident} expired')
                    self.store.delete(f'servers/{ident}')

    def end_entry(self, backend: Backend) -> None:
        """A backend that has left takes its entry away."""
        self.heard.pop(backend.ident, None)
        self.store.delete(f'servers/{backend.ident}')

    async def start(self, routes: dict[int, str]) -> None:
        """Begin the store's and the routers' work; write the configuration."""
        for job in (self._probe_all(), self._expire_entries()):
            task = self.loop.create_task(job)
            self.stack.callback(task.cancel)
        self.publish(routes)

    async def settle(self, seconds: float = 25) -> None:
        """Wait until all frontends are in rotation, and traffic may start."""
        ends = self.now() + seconds
        while any(one.misses for one in self.fronts()):
            if self.now() > ends:
                raise NotRun('the frontends did not become ready')
            await asyncio.sleep(0.05)
        self.bootstrap = False
        await asyncio.sleep(2)
        self.record('rig', 'traffic starts')

    def add_client(self, zone: str) -> ClientMachine:
        client = ClientMachine(self, self.host(3, len(self.clients) + 1), zone)
        self.clients.append(client)
        self.stack.callback(client.close)
        return client

    def spawn(self, job):
        task = self.loop.create_task(job)
        self.stack.callback(task.cancel)
        return task

    async def attempt(self, client: ClientMachine, port: int, name: str, *, flow=None, size=2000, deadline_s=1.0):
        """Make one attempt, on a new flow unless one is given."""
        self.count('asked')
        fresh = flow is None
        try:
            if fresh:
                flow = client.flow((self.service_host, port))
                self.record('client', 'opens flow', attempt=name, flow=flow.src, port=port)
                await flow.open()
            else:
                self.record('client', 'asks on open flow', attempt=name, flow=flow.src)
            body = await flow.request(name, size, deadline_s)
        except Failed as failure:
            self.record('client', 'attempt failed', attempt=name, why=failure)
            self.count(f'failed: {failure}')
            flow.close()
            return None
        self.record('client', 'answered', attempt=name, by=body.split(b' ')[2].decode())
        self.count('answered')
        return flow

    async def fresh_load(self, client: ClientMachine, ports, per_s: float, prefix: str) -> None:
        """Open a flow for each request, at a mean rate."""
        number = 0
        draw = random.Random(f'{self.seed} {prefix}')
        while True:
            number += 1
            port = draw.choice(list(ports()))
            self.spawn(self._fresh(client, port, f'{prefix}-{number}'))
            await asyncio.sleep(draw.expovariate(per_s))

    async def _fresh(self, client, port, name) -> None:
        flow = await self.attempt(client, port, name)
        if flow is not None:
            flow.close()

    async def long_load(self, client: ClientMachine, port: int, pause_s: float, prefix: str) -> None:
        """Keep one flow open for many requests; open a new one if it ends."""
        number, flow = 0, None
        draw = random.Random(f'{self.seed} {prefix}')
        while True:
            number += 1
            if flow is not None and (flow.finished or self.now() - flow.syn_at > 45):
                flow.close()
                flow = None
            flow = await self.attempt(client, port, f'{prefix}-{number}', flow=flow)
            await asyncio.sleep(pause_s * draw.uniform(0.5, 1.5))

    async def close(self) -> None:
        """End all processes that the rig started."""
        for machine in self.machines.values():
            machine.wanted = False
            if machine.process is not None and machine.process.returncode is None:
                machine.asked_to_end = True
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
        for backend in self.backends.values():
            if backend.running:
                backend.crash()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            import shutil
            shutil.copytree(self.logs, keep, dirs_exist_ok=True)
        await self.stack.aclose()
        self.file.close()


def run_case(scenario, **options) -> int:
    """Run a scenario, which returns the list of violations."""
    async def main() -> int:
        rig = Rig(**options)
        asked = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            rig.loop.add_signal_handler(number, asked.set)
        try:
            async with asyncio.timeout(112):
                job = asyncio.ensure_future(scenario(rig))
                waiter = asyncio.ensure_future(asked.wait())
                await asyncio.wait({job, waiter}, return_when=asyncio.FIRST_COMPLETED)
                waiter.cancel()
                if not job.done():
                    job.cancel()
                    raise NotRun('stopped by a signal')
                violations = job.result()
        except NotRun as reason:
            rig.record('rig', f'the case could not run: {reason}')
            print(f'not run: {reason}')
            return NOT_RUN
        except TimeoutError:
            rig.record('rig', 'the case could not run: out of time')
            print('not run: out of time')
            return NOT_RUN
        finally:
            await rig.close()
        return violations
    result = asyncio.run(main())
    return result


def verdict(rig: Rig, violations: list[str], least_answers: int = 50) -> int:
    """Write the result; a run that served next to nothing is none."""
    if rig.counts.get('answered', 0) < least_answers:
        raise NotRun(f'only {rig.counts.get("answered", 0)} answers')
    rig.record('rig', f'counts {rig.counts}')
    for line in violations[:40]:
        rig.record('verdict', line)
    outcome = 'BROKEN' if violations else 'HELD'
    rig.record('verdict', f'{outcome}, {len(violations)} violations, trouble={int(rig.trouble)}')
    print(f'{outcome}: {len(violations)} violations; trouble={int(rig.trouble)}; {rig.counts}')
    for line in violations[:5]:
        print('  ' + line)
    return BROKEN if violations else HELD


async def standard(rig: Rig, routes: dict[int, str], ports, *, per_s: float = 12, desk: int = 4) -> None:
    """Start four frontends and six backends or more, and steady traffic."""
    await rig.start(routes)
    for zone in ZONES:
        await rig.add_front(zone)
    for number in range(desk):
        await rig.add_backend('badge-desk', ZONES[number % len(ZONES)])
    for zone in ZONES[:2]:
        await rig.add_backend('layout', zone)
    await rig.settle()
    for number, zone in enumerate(ZONES):
        client = rig.add_client(zone)
        rig.spawn(rig.fresh_load(client, lambda: ports, per_s, f'fresh{number}'))
        for user in range(2):
            rig.spawn(rig.long_load(client, 443, 0.3, f'long{number}-{user}'))


def sent_at(rig: Rig) -> dict:
    """Return when each flow's first SYN was sent, by client and address."""
    return {
        (flow.src, flow.dst): flow.syn_at
        for client in rig.clients for flow in client.flows.values()
    }


def late_on_dropped(rig: Rig, port: int, acknowledged: float) -> list[str]:
    """Return CONFIG violations: runs with a route that was dropped."""
    late_at = acknowledged + BOUNDS['configApplyMs'] / 1000
    sent = sent_at(rig)
    return [
        f'CONFIG: flow of {src} on the dropped route, sent {sent[src, dst] - acknowledged:.2f} s '
        f'after the acknowledgement, was taken by {backend.name} at {at:.3f}'
        for backend in rig.backends.values()
        for at, src, dst in backend.openings
        if dst[1] == port and sent[src, dst] > late_at
    ]
