"""Stand-in for the fabric: sends each caller's packet to a random entry.

It listens on the address of each service. A real fabric preserves the caller's
source address; here each caller has its own socket towards the entries, and
packets received on that socket are forwarded to the caller.
"""

import argparse
import asyncio
import random
import socket
from dataclasses import dataclass, field
from typing import TypeAlias, cast

HostPort: TypeAlias = tuple[str, int]


@dataclass
class Faults:
    """Injected packet faults."""

    # Share of packets dropped in each direction.
    loss: float = 0
    # Share of packets duplicated.
    duplicate: float = 0
    # Maximum delay of a packet in seconds; delays are drawn uniformly from
    # zero to it.
    jitter: float = 0


@dataclass
class Fabric:
    """Forwards packets between callers and entries."""

    # Hosts of the live entries.
    entries: list[str]
    # Chooses the entries and draws the faults.
    rng: random.Random
    faults: Faults = field(default_factory=Faults)

    async def open(self, address: HostPort) -> 'ServiceSocket':
        """Listen on the address of a service."""
        loop = asyncio.get_running_loop()
        _, service_socket = await loop.create_datagram_endpoint(
            lambda: ServiceSocket(self, address[1]),
            local_addr=address,
        )
        return service_socket

    def send_with_faults(
        self,
        transport: asyncio.DatagramTransport,
        packet: bytes,
        destination: HostPort,
    ) -> None:
        """Send a packet, subject to the current faults."""
        if self.rng.random() < self.faults.loss:
            return
        copy_count = 1 + (self.rng.random() < self.faults.duplicate)
        for _ in range(copy_count):
            if self.faults.jitter:
                delay_seconds = self.rng.uniform(0, self.faults.jitter)
                asyncio.get_running_loop().call_later(
                    delay_seconds, transport.sendto, packet, destination
                )
            else:
                transport.sendto(packet, destination)


class ServiceSocket(asyncio.DatagramProtocol):
    """Receives callers' packets on the address of a service."""

    def __init__(self, fabric: Fabric, port: int) -> None:
        """Initialize with the fabric and the entries' port."""
        self.fabric = fabric
        self.port = port
        self.caller_transports: dict[
            HostPort, asyncio.Future[asyncio.DatagramTransport]
        ] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, packet: bytes, caller: HostPort) -> None:
        """Forward a caller's packet to a random entry."""
        caller_transport = self.caller_transports.get(caller)
        if caller_transport is not None and caller_transport.done():
            self._forward(caller_transport.result(), packet)
            return
        task = asyncio.get_running_loop().create_task(
            self._open_and_forward(packet, caller)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open_and_forward(self, packet: bytes, caller: HostPort) -> None:
        loop = asyncio.get_running_loop()
        if caller not in self.caller_transports:
            self.caller_transports[caller] = loop.create_future()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: CallerSocket(self, caller),
                local_addr=(self.transport.get_extra_info('sockname')[0], 0),
                family=socket.AF_INET,
            )
            self.caller_transports[caller].set_result(transport)
        self._forward(await self.caller_transports[caller], packet)

    def _forward(
        self, transport: asyncio.DatagramTransport, packet: bytes
    ) -> None:
        host = self.fabric.rng.choice(self.fabric.entries)
        self.fabric.send_with_faults(transport, packet, (host, self.port))


class CallerSocket(asyncio.DatagramProtocol):
    """Receives the entries' packets to a caller."""

    def __init__(self, service_socket: ServiceSocket, caller: HostPort) -> None:
        """Initialize with the service's socket and the caller's address."""
        self.service_socket = service_socket
        self.caller = caller

    def datagram_received(self, packet: bytes, _: HostPort) -> None:
        """Forward an entry's packet to the caller."""
        self.service_socket.fabric.send_with_faults(
            self.service_socket.transport, packet, self.caller
        )


class ControlSocket(asyncio.DatagramProtocol):
    """Receives the live entries or the faults as space-separated words."""

    def __init__(self, fabric: Fabric) -> None:
        """Initialize with the fabric to change."""
        self.fabric = fabric

    def datagram_received(self, packet: bytes, _: HostPort) -> None:
        """Replace the entries, or the faults after the word ``faults``."""
        words = packet.decode().split()
        if words[0] == 'faults':
            self.fabric.faults = Faults(*(float(word) for word in words[1:]))
        else:
            self.fabric.entries = words


async def serve(
    services: list[HostPort], entries: list[str], control: HostPort, seed: int
) -> None:
    """Serve until cancelled."""
    fabric = Fabric(entries, random.Random(seed))  # noqa: S311
    for address in services:
        await fabric.open(address)
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: ControlSocket(fabric),
        local_addr=control,
    )
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--service', action='append', required=True)
    parser.add_argument('--entry', action='append', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    services = []
    for text in options.service:
        host, _, port = text.partition(':')
        services.append((host, int(port)))
    host, _, port = options.control.partition(':')
    control = (host, int(port))
    asyncio.run(serve(services, options.entry, control, options.seed))


if __name__ == '__main__':
    main()
