"""Measures the packet-level data path.

Run with ``make bench-datapath``. Writes docs/datapath.json: the CPU time of
packets and digests at an entry, of packets at an agent, of log lines and of
merged changes, and the memory of held flows and views. CPU time is that of this
process, its log thread included. Times per packet and digest and of suppressed
log lines are the least of several rounds; written lines and merged changes are
timed once.
"""

import asyncio
import gc
import json
import logging
import os
import platform as machine
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack, ExitStack
from dataclasses import replace
from datetime import UTC, datetime
from itertools import count as count_from, islice
from pathlib import Path

from ragwortpost._datagrams import HostPort
from ragwortpost.datapath.connection import HeldFlows
from ragwortpost.datapath.connection.tests.packets import (
    PlainFormat,
    accepting_packet,
    flow_key,
    make_packet,
    opening_packet,
)
from ragwortpost.datapath.process._codec import decode, encode
from ragwortpost.datapath.process._deferred_log import LOGGER_NAME
from ragwortpost.datapath.process._entry import Entry
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._log_output import open_log
from ragwortpost.datapath.process._messages import (
    Digest,
    ForwardOutcome,
    ForwardReply,
)
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process.tests.network import digest_of, settings_of
from ragwortpost.datapath.process._view_gossip import ViewGossip
from ragwortpost.datapath.version import (
    Changes,
    UpstreamEntry,
    View,
    encode_changes,
)
from ragwortpost.datapath.version.tests.documents import (
    UPSTREAM,
    at,
    configuration_record,
    upstream_record,
)

ROUND_COUNT = 5
PACKET_COUNT = 2000
LOG_LINES = 20000
HELD_FLOWS = 20000
UPSTREAM_COUNTS = (10, 45, 200, 1000)
VIEW_UPSTREAM_COUNTS = (45, 1000, 10000, 58000)


class FrozenClock:
    """A clock whose time never changes."""

    def monotonic(self) -> float:
        """Return the fixed monotonic time in seconds."""
        return 100.0

    def now(self) -> datetime:
        """Return the fixed wall-clock time."""
        return datetime.fromtimestamp(100, UTC)


def least_cpu_seconds(work: Callable[[], None]) -> float:
    """Return the least CPU seconds over several rounds."""
    cpu_seconds = []
    for _ in range(ROUND_COUNT):
        gc.collect()
        started = time.process_time()
        work()
        cpu_seconds.append(time.process_time() - started)
    return min(cpu_seconds)


def make_upstreams(count: int) -> list[UpstreamEntry]:
    """Return ``count`` upstreams of one service."""
    return [
        replace(
            UPSTREAM,
            ident=f'i-{number}',
            host=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
            data_centre=f'dc-{number % 4}',
        )
        for number in range(count)
    ]


def make_entry(count: int) -> tuple[Entry, list[str]]:
    """Return an entry with ``count`` upstreams, and its send destinations.

    The list receives the host of each datagram that the entry sends.
    """
    destinations: list[str] = []
    context = make_context(
        FrozenClock(),
        replace(settings_of('10.200.0.1', None), data_centre='dc-1'),
        random.Random(1),
    )
    upstreams = make_upstreams(count)
    records = tuple(
        upstream_record(number + 2, upstream)
        for number, upstream in enumerate(upstreams)
    )
    changes = Changes(at(0), at(count + 2), (configuration_record(1), *records))
    context.state.merge(changes, 'bench')
    context.state.confirm(at(count + 2), 0)
    for upstream in upstreams:
        context.directory.record_digest(
            upstream.host, digest_of(upstream), 100.0
        )

    def send(_: bytes, address: HostPort) -> bool:
        destinations.append(address[0])
        return True

    entry = Entry(context, PlainFormat())
    entry.open(send, send)
    return entry, destinations


def measure_entry(count: int) -> dict[str, float]:
    """Measure an entry's CPU time per packet of known, new and unknown flows."""
    entry, destinations = make_entry(count)
    flow_numbers = count_from(1)

    def open_new_flows() -> None:
        for number in islice(flow_numbers, PACKET_COUNT // 10):
            flow = flow_key(number % 20000)
            entry.receive_packet(opening_packet(flow).raw, ('', 0))
            agent_host = destinations[-1]
            reply = ForwardReply(ForwardOutcome.OPENED, 0, 1, flow, b'')
            entry.receive_forward_reply(reply, agent_host)

    open_seconds = least_cpu_seconds(open_new_flows) / (PACKET_COUNT // 10)
    known_packet = make_packet(flow_key(1), length=100).raw

    def forward_known() -> None:
        for _ in range(PACKET_COUNT):
            entry.receive_packet(known_packet, ('', 0))

    def look_up_unknown() -> None:
        for index in range(PACKET_COUNT // 20):
            unknown_packet = make_packet(flow_key(20001 + index), length=100)
            entry.receive_packet(unknown_packet.raw, ('', 0))

    return {
        'upstreams': count,
        'known_us': least_cpu_seconds(forward_known) / PACKET_COUNT * 1e6,
        'opened_us': open_seconds * 1e6,
        'searched_us': least_cpu_seconds(look_up_unknown)
        / (PACKET_COUNT // 20)
        * 1e6,
    }


def measure_agent() -> dict[str, float]:
    """Measure the memory of a held flow and the CPU time to record a packet."""
    tracemalloc.start()
    held_flows = HeldFlows(complete=True, idle_seconds=30.0)
    bytes_before = tracemalloc.get_traced_memory()[0]
    for number in range(HELD_FLOWS):
        held_flows.on_upstream_packet(accepting_packet(flow_key(number)), 0)
    held_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    packet = make_packet(flow_key(7), length=100)

    def record_packets() -> None:
        for _ in range(PACKET_COUNT):
            held_flows.on_caller_packet(packet, 1.0)

    return {
        'flow_bytes': held_bytes / HELD_FLOWS,
        'claim_us': least_cpu_seconds(record_packets) / PACKET_COUNT * 1e6,
    }


async def measure_digest(entry_count: int, agent_count: int) -> float:
    """Measure an entry's CPU time per digest in us; half of them are replied to."""
    hosts = [f'127.62.0.{number + 1}' for number in range(entry_count)]
    context = make_context(
        FrozenClock(), settings_of(hosts[0], None), random.Random(1)
    )
    gossip = ViewGossip(context)
    received = []
    for number, sender in enumerate(make_upstreams(agent_count + entry_count)):
        advertised = random.Random(number).sample(hosts, entry_count)
        is_entry = number >= agent_count
        digest = digest_of(
            sender,
            role='entry' if is_entry else 'agent',
            entries=tuple(advertised),
            wants_reply=number % 2 == 0,
        )
        received.append((sender.host, encode(digest)))

    def receive_all() -> None:
        for host, datagram in received:
            message = decode(datagram)
            assert isinstance(message, Digest)
            gossip.receive(message, host)

    async with AsyncExitStack() as stack:
        await gossip.open(stack, lambda *_: True)
        receive_all()
        return least_cpu_seconds(receive_all) / len(received) * 1e6


def measure_view(count: int) -> dict[str, float]:
    """Measure the size of a view and the CPU time to merge one change."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    records = tuple(
        upstream_record(number + 1, upstream)
        for number, upstream in enumerate(make_upstreams(count))
    )
    full_changes = Changes(at(0), at(count), records)
    view = View()
    view.merge(full_changes)
    view_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    single_change = Changes(
        at(count), at(count + 1), (replace(records[0], version=at(count + 1)),)
    )
    context = make_context(
        FrozenClock(),
        settings_of('10.200.0.1', None),
        random.Random(1),
    )
    context.state.merge(full_changes, 'bench')
    started = time.process_time()
    context.state.merge(single_change, 'bench')
    change_seconds = time.process_time() - started
    return {
        'upstreams': count,
        'message_bytes': len(encode_changes(full_changes)),
        'change_bytes': len(encode(single_change)),
        'view_bytes': view_bytes,
        'change_ms': change_seconds * 1000,
    }


def measure_log() -> dict[str, float]:
    """Measure the CPU time of written and of suppressed log lines."""
    counters: Counter[str] = Counter()
    with ExitStack() as stack:
        output = stack.enter_context(Path(os.devnull).open('w'))
        open_log(stack, output, counters)
        logger = logging.getLogger(LOGGER_NAME)
        fields = {'t': 1.5, 'event': 'opened', 'flow': '1.2.3.4:5-6.7.8.9:10'}

        def write() -> None:
            for number in range(LOG_LINES // 20):
                logger.info({**fields, 'number': number})

        started = time.process_time()
        for _ in range(20):
            write()
            # Let the writer thread empty the queue, which holds 2000 lines.
            time.sleep(0.05)
        line_seconds = (time.process_time() - started) / LOG_LINES
        log = EventLog(FrozenClock(), counters)

        def suppress() -> None:
            for _ in range(LOG_LINES):
                log.write_flow('opened', flow_key(1), agent='10.0.0.1', tried=1)

        suppressed_seconds = least_cpu_seconds(suppress) / LOG_LINES
    return {
        'line_us': line_seconds * 1e6,
        'left_out_us': suppressed_seconds * 1e6,
        'dropped': counters['log line dropped'],
    }


def main() -> None:
    """Run all measurements and write docs/datapath.json."""
    metrics = {
        'machine': machine.machine(),
        'cores': os.cpu_count(),
        'python': machine.python_version(),
        'digest_us': asyncio.run(measure_digest(24, 62)),
        'log': measure_log(),
        'agent': measure_agent(),
        'entry': [measure_entry(count) for count in UPSTREAM_COUNTS],
        'view': [measure_view(count) for count in VIEW_UPSTREAM_COUNTS],
    }
    text = json.dumps(metrics, indent=1)
    (Path(__file__).parent.parent / 'docs' / 'datapath.json').write_text(text)


if __name__ == '__main__':
    main()
