"""An in-memory datagram network with packet faults and partitions.

A datagram to a service's address is delivered to a random entry, as by the
fabric, the routers in front of the entries.
"""

import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from ragwortpost.connection import HostPort
from tests.harness.loop import VirtualLoop

ReceiveDatagram = Callable[[bytes, HostPort], None]
# Datagrams kept for a suspended host; further ones are lost.
MAX_UNDELIVERED = 2000


@dataclass
class Host:
    """A process or a caller on the network."""

    # Name, used in partitions and results.
    name: str
    # Data centre; empty for callers.
    data_centre: str
    # Whether the process is running.
    alive: bool = True
    # Whether the process is suspended; datagrams wait until it resumes.
    suspended: bool = False
    # Calls that deliver the datagrams received while suspended.
    undelivered: list[Callable[[], None]] = field(default_factory=list)


@dataclass
class Network:
    """Delivers datagrams between hosts."""

    # Schedules the deliveries.
    loop: VirtualLoop
    # Selects entries and faults.
    rng: random.Random
    # One-way delay between processes, in seconds.
    delay: float = 0.001
    # One-way delay to callers, in seconds.
    caller_delay: float = 0.003
    # Fraction of packets that are lost.
    loss: float = 0
    # Fraction of packets that are delivered twice.
    duplicate: float = 0
    # Maximum additional delay of a packet, in seconds.
    jitter: float = 0
    # Host and receive function of each open address.
    receivers: dict[HostPort, tuple[Host, ReceiveDatagram]] = field(
        default_factory=dict
    )
    # IP addresses of the entries that get callers' packets, by name.
    entries: dict[str, str] = field(default_factory=dict)
    # Addresses of the services.
    services: set[HostPort] = field(default_factory=set)
    # Groups of data centres or hosts, each cut off from all other processes.
    partitions: list[frozenset[str]] = field(default_factory=list)
    # Processes whose calls to and from others fail; datagrams still arrive.
    control_partitioned: set[str] = field(default_factory=set)
    # Time of the last datagram delivered to each host, by name. Those held
    # back while it was suspended do not count.
    last_arrival: dict[str, float] = field(default_factory=dict)

    def are_connected(self, sender: Host, receiver: Host) -> bool:
        """Return whether no partition separates two hosts.

        Partitions separate processes only; callers reach every process.
        """
        for partition in self.partitions:
            sender_inside = (
                sender.data_centre in partition or sender.name in partition
            )
            if sender_inside != (
                receiver.data_centre in partition or receiver.name in partition
            ):
                return not (sender.data_centre and receiver.data_centre)
        return True

    def send(
        self, sender: Host, source: HostPort, packet: bytes, to: HostPort
    ) -> None:
        """Deliver a packet with the configured delays and faults."""
        if to in self.services:
            to = (self.entries[self.rng.choice(sorted(self.entries))], to[1])
        target = self.receivers.get(to)
        if target is None or not sender.alive or self.rng.random() < self.loss:
            return
        host, _ = target
        if not self.are_connected(sender, host):
            return
        delay = (
            self.delay
            if sender.data_centre and host.data_centre
            else self.caller_delay
        )
        for _ in range(1 + (self.rng.random() < self.duplicate)):
            delay_seconds = delay + self.rng.uniform(0, self.jitter)
            self.loop.call_later(
                delay_seconds, self._deliver, source, packet, to
            )

    def resume(self, host: Host) -> None:
        """Resume a host and deliver the datagrams received meanwhile."""
        host.suspended = False
        undelivered, host.undelivered = host.undelivered, []
        for deliver in undelivered:
            deliver()

    def _deliver(self, source: HostPort, packet: bytes, to: HostPort) -> None:
        target = self.receivers.get(to)
        if target is None or not target[0].alive:
            return
        host, receive = target
        if host.suspended:
            if len(host.undelivered) < MAX_UNDELIVERED:
                host.undelivered.append(lambda: receive(packet, source))
            return
        self.last_arrival[host.name] = self.loop.time()
        receive(packet, source)


class MemoryDatagramSockets:
    """The datagram sockets of one host."""

    def __init__(self, network: Network, host: Host) -> None:
        """Initialize with the network and the host."""
        self._network = network
        self._host = host

    def open(
        self,
        stack: ExitStack,
        address: HostPort,
        receive: ReceiveDatagram,
    ) -> Callable[[bytes, HostPort], bool]:
        """Receive on an address until ``stack`` closes.

        The returned function sends from that address.
        """
        self._network.receivers[address] = (self._host, receive)
        stack.callback(self._network.receivers.pop, address, None)

        def send(packet: bytes, to: HostPort) -> bool:
            self._network.send(self._host, address, packet, to)
            return True

        return send
