"""Deployments of the QUIC data path, as processes on loopback addresses.

Their sizes are those that the users run.
"""

import asyncio
import datetime
import json
import os
import signal
import socket
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.x509.oid import NameOID
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ragwortpost.process import PeerChannels, SealedCodec
from ragwortpost.version import SocketAddress
from ragwortpost.wire.peer_grpc import AdminStub
from ragwortpost.wire.peer_pb2 import StatusRequest

CHANNEL_KEY = '6b' * 32
CERTIFICATE_SERIAL = 1
ENTRY_PORT = 7000
AGENT_PORT = 7001
UPSTREAM_PORT = 8080


@dataclass(frozen=True)
class ServicePlan:
    """A service of a deployment."""

    name: str
    # Loopback host on which the fabric receives callers' packets.
    host: str
    port: int
    # Data centre of each upstream, in order.
    data_centres: tuple[str, ...]
    # Concurrent requests that each upstream runs.
    slots: int


@dataclass(frozen=True)
class DeploymentPlan:
    """Data centres, services and entries of a deployment."""

    name: str
    # Second byte of all loopback addresses of the deployment.
    network: int
    # Names of the data centres.
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    # Number of entries.
    entries: int = 3
    # Seconds in which a restarted upstream reaches its full capacity.
    warm_up_seconds: float = 4


def cedarline(network: int = 10) -> DeploymentPlan:
    """Return the plan of Cedarline's deployment."""
    north, south, annex, old = data_centres = (
        'hall-north',
        'hall-south',
        'print-annex',
        'old-office',
    )
    desk = (north, north, south, south, annex, annex, old)
    layout = (north, south, annex, old)
    return DeploymentPlan(
        'cedarline',
        network,
        data_centres,
        (
            ServicePlan('badge-desk', f'127.{network}.0.1', 4433, desk, 2),
            ServicePlan('layout', f'127.{network}.0.2', 4434, layout, 2),
        ),
    )


def sanad(network: int = 11) -> DeploymentPlan:
    """Return the plan of Sanad's deployment."""
    first, second, bizerte, nabeul = data_centres = (
        'tunis-a',
        'tunis-b',
        'bizerte',
        'nabeul',
    )
    atelier = (first, first, second, second, bizerte, bizerte, nabeul)
    depot = (first, second, bizerte, nabeul)
    return DeploymentPlan(
        'sanad',
        network,
        data_centres,
        (
            ServicePlan('atelier', f'127.{network}.0.1', 4433, atelier, 1),
            ServicePlan('depot', f'127.{network}.0.2', 4434, depot, 1),
        ),
    )


@dataclass(frozen=True)
class UpstreamPlan:
    """An upstream and the agent beside it."""

    # Name of the form service/data centre/number.
    name: str
    data_centre: str
    # Loopback host of the VM.
    host: str
    service: ServicePlan


@dataclass
class DesiredSettings:
    """Operators' settings, rendered into the published document."""

    # State by data centre; the default is "in".
    data_centre_states: dict[str, str] = field(default_factory=dict)
    # State by upstream; the default is "in".
    upstream_states: dict[str, str] = field(default_factory=dict)
    # Weight by upstream; the default is inherited.
    upstream_weights: dict[str, int] = field(default_factory=dict)
    # Upstreams that are omitted from the published settings.
    absent: set[str] = field(default_factory=set)


class Deployment:
    """The running processes of a deployment: ragwortpost and the stand-ins."""

    def __init__(
        self, plan: DeploymentPlan, folder: Path, *, verbose: bool = False
    ) -> None:
        """Initialize with the plan and a folder for files and logs."""
        self.plan = plan
        self.folder = folder
        self.verbose = verbose
        self.version = 0
        self.vms_version = 0
        self.settings = DesiredSettings()
        # Names of the VMs that are published as leaving.
        self.leaving: set[str] = set()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.platform = f'http://127.{plan.network}.0.9:8500'
        self.session: aiohttp.ClientSession | None = None
        self.upstreams = [
            UpstreamPlan(
                f'{service.name}/{data_centre}/{number}',
                data_centre,
                f'127.{plan.network}.{index}.{number}',
                service,
            )
            for index, service in enumerate(plan.services, start=2)
            for number, data_centre in enumerate(service.data_centres, start=1)
        ]

    def entry_host(self, number: int) -> str:
        """Return the host of an entry."""
        return f'127.{self.plan.network}.1.{number}'

    async def start(
        self, stack: AsyncExitStack, settle_seconds: float = 0
    ) -> None:
        """Start all processes, then wait for ``settle_seconds``.

        Closing ``stack`` stops the processes.
        """
        stack.push_async_callback(self.stop)
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        write_certificate(self.folder)
        host = self.platform.removeprefix('http://').partition(':')[0]
        await self._spawn(
            'platform', 'standin.platform', '--host', host, '--port', '8500'
        )
        await self._wait_until_up(f'{self.platform}/control/calls')
        await self.publish()
        await self.publish_vms()
        for upstream in self.upstreams:
            await self.start_upstream(upstream, warm_up_seconds=0)
            await self.start_agent(upstream)
        for number in range(1, self.plan.entries + 1):
            await self.start_entry(number)
        await self._start_fabric()
        await asyncio.sleep(settle_seconds)

    async def stop(self) -> None:
        """Stop all processes."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()

    def settings_text(self) -> str:
        """Return the settings as an INI document."""
        lines = [
            '[defaults]',
            f'ramp = {int(self.plan.warm_up_seconds)}s',
            'timeout = 5s',
            '',
        ]
        for data_centre in self.plan.data_centres:
            lines += [
                f'[data-centre {data_centre}]',
                f'state = {self.settings.data_centre_states.get(data_centre, "in")}',
                '',
            ]
        for service in self.plan.services:
            lines += [
                f'[service {service.name}]',
                f'address = {service.host}:{service.port}',
                f'slots = {service.slots}',
                '',
            ]
        for upstream in self.upstreams:
            if upstream.name in self.settings.absent:
                continue
            lines += [
                f'[upstream {upstream.name}]',
                f'address = {upstream.host}:{AGENT_PORT}',
            ]
            if upstream.name in self.settings.upstream_states:
                lines.append(
                    f'state = {self.settings.upstream_states[upstream.name]}'
                )
            if upstream.name in self.settings.upstream_weights:
                lines.append(
                    f'weight = {self.settings.upstream_weights[upstream.name]}'
                )
            lines.append('')
        return '\n'.join(lines)

    async def publish(self, text: str | None = None) -> int:
        """Publish settings as the next version and return its number."""
        self.version += 1
        body = (text or self.settings_text()).encode()
        await self._put_document(
            f'{self.platform}/control/settings/{self.version}', body
        )
        return self.version

    async def publish_vms(self) -> None:
        """Publish the VM list as the next version."""
        self.vms_version += 1
        vm_rows = [
            {
                'name': f'entry-{number}',
                'role': 'entry',
                'data_centre': self.plan.data_centres[
                    (number - 1) % len(self.plan.data_centres)
                ],
                'address': f'{self.entry_host(number)}:{ENTRY_PORT}',
                'state': 'leaving'
                if f'entry-{number}' in self.leaving
                else 'live',
            }
            for number in range(1, self.plan.entries + 1)
        ]
        vm_rows += [
            {
                'name': upstream.name,
                'role': 'agent',
                'data_centre': upstream.data_centre,
                'address': f'{upstream.host}:{AGENT_PORT}',
                'state': 'leaving' if upstream.name in self.leaving else 'live',
            }
            for upstream in self.upstreams
        ]
        await self._put_document(
            f'{self.platform}/control/vms/{self.vms_version}',
            json.dumps(vm_rows).encode(),
        )

    async def start_entry(self, number: int) -> None:
        """Start an entry."""
        name = f'entry-{number}'
        host = self.entry_host(number)
        data_centre = self.plan.data_centres[
            (number - 1) % len(self.plan.data_centres)
        ]
        text = self._process_settings(
            'entry', name, data_centre, f'{host}:{ENTRY_PORT}'
        )
        await self._spawn_ragwortpost(
            'entry', name, f'{text}listen-host = {host}\n'
        )

    async def start_upstream(
        self, upstream: UpstreamPlan, warm_up_seconds: float | None = None
    ) -> None:
        """Start the process of an upstream; warm-up defaults to the plan's."""
        await self._spawn(
            f'upstream:{upstream.name}',
            'standin.upstream',
            '--service',
            upstream.service.name,
            '--name',
            upstream.name,
            '--host',
            upstream.host,
            '--port',
            str(UPSTREAM_PORT),
            '--slots',
            str(upstream.service.slots),
            '--cold',
            str(
                self.plan.warm_up_seconds
                if warm_up_seconds is None
                else warm_up_seconds
            ),
        )

    async def start_agent(self, upstream: UpstreamPlan) -> None:
        """Start the agent beside an upstream."""
        text = self._process_settings(
            'agent',
            upstream.name,
            upstream.data_centre,
            f'{upstream.host}:{AGENT_PORT}',
        )
        text += f'target = {upstream.host}:{UPSTREAM_PORT}\n'
        text += f'certificate = {self.folder / "certificate.pem"}\n'
        text += f'private-key = {self.folder / "key.pem"}\n'
        await self._spawn_ragwortpost('agent', upstream.name, text)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process by name."""
        self.processes[name].send_signal(number)

    async def fetch_counters(self, upstream: UpstreamPlan) -> dict[str, object]:
        """Return the counters of an upstream, empty if it does not respond."""
        assert self.session is not None  # noqa: S101
        url = f'http://{upstream.host}:{UPSTREAM_PORT}/seen'
        try:
            async with self.session.get(url) as response:
                counters: dict[str, object] = await response.json(
                    content_type=None
                )
                return counters
        except aiohttp.ClientError:
            return {}

    async def fetch_status(self, address: str) -> dict[str, str]:
        """Return the status of a process, empty if it does not respond."""
        host, _, port = address.partition(':')
        async with PeerChannels(
            SealedCodec(bytes.fromhex(CHANNEL_KEY))
        ) as channels:
            stub = AdminStub(channels.channel(SocketAddress(host, int(port))))
            try:
                async with asyncio.timeout(2):
                    reply = await stub.Status(StatusRequest())
            except (OSError, GRPCError, StreamTerminatedError):
                return {}
        return {
            status_field.name: status_field.value
            for status_field in reply.fields
        }

    def process_addresses(self) -> list[str]:
        """Return the addresses of all entries and agents."""
        return [
            *(
                f'{self.entry_host(number)}:{ENTRY_PORT}'
                for number in range(1, self.plan.entries + 1)
            ),
            *(f'{upstream.host}:{AGENT_PORT}' for upstream in self.upstreams),
        ]

    async def seconds_until_applied(
        self, version: int, timeout_seconds: float = 10
    ) -> float:
        """Wait until all responsive processes have applied at least a version.

        Returns the seconds waited, at most ``timeout_seconds``.
        """
        started = time.monotonic()
        while time.monotonic() - started < timeout_seconds:
            states = await asyncio.gather(
                *map(self.fetch_status, self.process_addresses())
            )
            outdated = [
                state
                for state in states
                if state and int(state['settings_version']) < version
            ]
            if not outdated:
                return time.monotonic() - started
            await asyncio.sleep(0.05)
        return timeout_seconds

    async def set_mode(self, mode: str, flag: str) -> None:
        """Switch a fault mode of the platform on or off."""
        assert self.session is not None  # noqa: S101
        async with self.session.post(f'{self.platform}/control/{mode}/{flag}'):
            return

    async def _put_document(self, url: str, body: bytes) -> None:
        assert self.session is not None  # noqa: S101
        async with self.session.put(url, data=body) as response:
            response.raise_for_status()

    def _process_settings(
        self, role: str, name: str, data_centre: str, address: str
    ) -> str:
        return (
            f'[process]\nrole = {role}\nname = {name}\ndata-centre = {data_centre}\n'
            f'address = {address}\nkey = {CHANNEL_KEY}\nplatform = {self.platform}\n'
        )

    async def _spawn_ragwortpost(self, role: str, name: str, text: str) -> None:
        path = self.folder / f'{name.replace("/", "_")}.ini'
        path.write_text(text)
        await self._spawn(name, 'ragwortpost', role, '--config', str(path))

    async def _spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self.folder / f'{name.replace("/", "_")}.log').open('ab') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
            )

    def send_to_fabric(self, message: str) -> None:
        """Send the list of live entries or the faults to the fabric."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(
                message.encode(), (f'127.{self.plan.network}.0.8', 8600)
            )

    async def _start_fabric(self) -> None:
        arguments = ['--control', f'127.{self.plan.network}.0.8:8600']
        for service in self.plan.services:
            arguments += ['--service', f'{service.host}:{service.port}']
        for number in range(1, self.plan.entries + 1):
            arguments += ['--entry', self.entry_host(number)]
        await self._spawn('fabric', 'standin.fabric', *arguments)

    async def _wait_until_up(self, url: str) -> None:
        assert self.session is not None  # noqa: S101
        for _ in range(100):
            try:
                async with self.session.get(url):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(0.1)


def write_certificate(folder: Path) -> None:
    """Write a new self-signed certificate and its private key."""
    key = ed25519.Ed25519PrivateKey.generate()
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'service')])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(CERTIFICATE_SERIAL)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=30))
        .sign(key, None)
    )
    (folder / 'certificate.pem').write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM),
    )
    (folder / 'key.pem').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
