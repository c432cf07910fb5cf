"""A datagram network in memory, with a fabric, faults and partitions."""

import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from ragwortpost.connection import HostPort
from tests.harness.loop import VirtualLoop

ReceiveDatagram = Callable[[bytes, HostPort], None]
MAX_UNDELIVERED = 2000


@dataclass
class Host:
    """One process or caller on the network."""

    # Name, for partitions and figures.
    name: str
    # Data centre; empty for callers.
    site: str
    # Whether it is running.
    alive: bool = True
    # Whether it is paused; what arrives waits.
    suspended: bool = False
    # Datagrams that wait for it to resume.
    undelivered: list[Callable[[], None]] = field(default_factory=list)


@dataclass
class Network:
    """Hands datagrams between hosts."""

    # The loop on whose time packets travel.
    loop: VirtualLoop
    # Draws entries and faults.
    rng: random.Random
    # One-way delay between data centres, in seconds.
    delay: float = 0.001
    # One-way delay to callers, in seconds.
    caller_delay: float = 0.003
    # Share of packets lost.
    loss: float = 0
    # Share of packets that arrive twice.
    duplicate: float = 0
    # Seconds by which a packet may be late.
    jitter: float = 0
    # Who listens where.
    receivers: dict[HostPort, tuple[Host, ReceiveDatagram]] = field(
        default_factory=dict
    )
    # Hosts of the entries that the fabric knows, by name.
    entries: dict[str, str] = field(default_factory=dict)
    # The services' addresses.
    services: set[HostPort] = field(default_factory=set)
    # Data centres or hosts that are cut off from all others.
    partitions: list[frozenset[str]] = field(default_factory=list)
    # Processes whose control traffic alone is cut off.
    control_partitioned: set[str] = field(default_factory=set)
    # When a datagram last reached an agent of a data centre.
    last_arrival: dict[str, float] = field(default_factory=dict)

    def are_connected(self, one: Host, other: Host) -> bool:
        """Whether packets pass between two hosts."""
        for partition in self.partitions:
            inside = one.site in partition or one.name in partition
            if inside != (other.site in partition or other.name in partition):
                return not (one.site and other.site)
        return True

    def send(
        self, sender: Host, source: HostPort, packet: bytes, to: HostPort
    ) -> None:
        """Hand a packet over under the faults in force."""
        if to in self.services:
            to = (self.entries[self.rng.choice(sorted(self.entries))], to[1])
        target = self.receivers.get(to)
        if target is None or not sender.alive or self.rng.random() < self.loss:
            return
        host, _ = target
        if not self.are_connected(sender, host):
            return
        delay = self.delay if sender.site and host.site else self.caller_delay
        for _ in range(1 + (self.rng.random() < self.duplicate)):
            delay_seconds = delay + self.rng.uniform(0, self.jitter)
            self.loop.call_later(
                delay_seconds, self._deliver, source, packet, to
            )

    def resume(self, host: Host) -> None:
        """Let a paused host see what has waited."""
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
    """The datagram port of one host."""

    def __init__(self, network: Network, host: Host) -> None:
        """Open addresses for ``host``."""
        self._network = network
        self._host = host

    def open(
        self,
        stack: ExitStack,
        address: HostPort,
        receive: ReceiveDatagram,
    ) -> Callable[[bytes, HostPort], bool]:
        """Receive on an address until ``stack`` closes."""
        self._network.receivers[address] = (self._host, receive)
        stack.callback(self._network.receivers.pop, address, None)

        def send(packet: bytes, to: HostPort) -> bool:
            self._network.send(self._host, address, packet, to)
            return True

        return send
