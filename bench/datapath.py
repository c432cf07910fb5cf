"""Slopes of the packet-level data path; run it as ``make bench-datapath``.

Writes docs/datapath.json: processor time of packets at an entry and at an
agent, of log lines, and of views of growing size. Every figure is the best of
several rounds, in processor time of this process alone.
"""

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
from contextlib import ExitStack
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
from ragwortpost.datapath.process._codec import encode
from ragwortpost.datapath.process._entry import Entry
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._log_output import LOGGER_NAME, open_log
from ragwortpost.datapath.process._messages import ForwardOutcome, ForwardReply
from ragwortpost.datapath.process._node_context import make_context
from ragwortpost.datapath.process.tests.network import digest_of, settings_of
from ragwortpost.datapath.version import (
    Changes,
    UpstreamEntry,
    View,
    encode_changes,
)
from ragwortpost.datapath.version.tests.documents import (
    UPSTREAM,
    configuration_record,
    upstream_record,
)

ROUNDS = 5
PACKETS = 2000
LINES = 20000
FLOWS = 20000
SIZES = (10, 45, 200, 1000)
VIEW_SIZES = (45, 1000, 10000, 58000)


class StillClock:
    """A clock that stands still."""

    def monotonic(self) -> float:
        """Return seconds."""
        return 100.0

    def now(self) -> datetime:
        """Return the wall clock."""
        return datetime.fromtimestamp(100, UTC)


def best(work: Callable[[], None]) -> float:
    """Return the least processor seconds of several rounds."""
    spent = []
    for _ in range(ROUNDS):
        gc.collect()
        began = time.process_time()
        work()
        spent.append(time.process_time() - began)
    return min(spent)


def upstreams(count: int) -> list[UpstreamEntry]:
    """Return the upstreams of one service."""
    return [
        replace(
            UPSTREAM,
            ident=f'i-{number}',
            host=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
            data_centre=f'dc-{number % 4}',
        )
        for number in range(count)
    ]


def entry_of(count: int) -> tuple[Entry, list[str]]:
    """Return an entry that knows ``count`` upstreams, and whom it sends to."""
    sent_to: list[str] = []
    context = make_context(
        StillClock(),
        replace(settings_of('10.200.0.1', None), data_centre='dc-1'),
        random.Random(1),
    )
    entries = upstreams(count)
    records = tuple(
        upstream_record(number + 2, one) for number, one in enumerate(entries)
    )
    whole = Changes(0, count + 2, (configuration_record(1), *records))
    context.state.merge(whole, 'bench')
    context.state.confirm(count + 2, 0)
    for one in entries:
        context.directory.record_digest(one.host, digest_of(one), 100.0)

    def send(_: bytes, address: HostPort) -> bool:
        sent_to.append(address[0])
        return True

    entry = Entry(context, PlainFormat())
    entry.open(send, send)
    return entry, sent_to


def entry_figures(count: int) -> dict[str, float]:
    """Return microseconds of packets at an entry."""
    entry, sent_to = entry_of(count)
    numbers = count_from(1)

    def open_flows() -> None:
        for number in islice(numbers, PACKETS // 10):
            flow = flow_key(number % 20000)
            entry.receive_packet(opening_packet(flow).raw, ('', 0))
            placed = sent_to[-1]
            reply = ForwardReply(ForwardOutcome.OPENED, 0, 1, flow, b'')
            entry.receive_forward_reply(reply, placed)

    opened = best(open_flows) / (PACKETS // 10)
    known = make_packet(flow_key(1), length=100).raw

    def carry() -> None:
        for _ in range(PACKETS):
            entry.receive_packet(known, ('', 0))

    def search() -> None:
        for index in range(PACKETS // 20):
            stray = make_packet(flow_key(20001 + index), length=100)
            entry.receive_packet(stray.raw, ('', 0))

    return {
        'upstreams': count,
        'known_us': best(carry) / PACKETS * 1e6,
        'opened_us': opened * 1e6,
        'searched_us': best(search) / (PACKETS // 20) * 1e6,
    }


def agent_figures() -> dict[str, float]:
    """Return microseconds and bytes of held flows."""
    tracemalloc.start()
    flows = HeldFlows(complete=True, idle_seconds=30.0)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(FLOWS):
        flows.on_upstream_packet(accepting_packet(flow_key(number)), 0)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    packet = make_packet(flow_key(7), length=100)

    def claim() -> None:
        for _ in range(PACKETS):
            flows.on_caller_packet(packet, 1.0)

    return {
        'flow_bytes': held / FLOWS,
        'claim_us': best(claim) / PACKETS * 1e6,
    }


def view_figures(count: int) -> dict[str, float]:
    """Return bytes and milliseconds of a view."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    records = tuple(
        upstream_record(number + 1, one)
        for number, one in enumerate(upstreams(count))
    )
    whole = Changes(0, count, records)
    view = View()
    view.merge(whole)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    one = Changes(count, count + 1, (replace(records[0], revision=count + 1),))
    context = make_context(
        StillClock(),
        settings_of('10.200.0.1', None),
        random.Random(1),
    )
    context.state.merge(whole, 'bench')
    began = time.process_time()
    context.state.merge(one, 'bench')
    change = time.process_time() - began
    return {
        'upstreams': count,
        'message_bytes': len(encode_changes(whole)),
        'change_bytes': len(encode(one)),
        'view_bytes': held,
        'change_ms': change * 1000,
    }


def log_figures() -> dict[str, float]:
    """Return microseconds of a log line, and of one that is left out."""
    counters: Counter[str] = Counter()
    with ExitStack() as stack:
        output = stack.enter_context(Path(os.devnull).open('w'))
        open_log(stack, output, counters)
        logger = logging.getLogger(LOGGER_NAME)
        line = {'t': 1.5, 'event': 'opened', 'flow': '1.2.3.4:5-6.7.8.9:10'}

        def write() -> None:
            for number in range(LINES // 20):
                logger.info({**line, 'number': number})

        began = time.process_time()
        for _ in range(20):
            write()
            time.sleep(0.05)
        written = (time.process_time() - began) / LINES
        log = EventLog(StillClock(), counters)

        def suppress() -> None:
            for _ in range(LINES):
                log.write_flow('opened', flow_key(1), agent='10.0.0.1', tried=1)

        left_out = best(suppress) / LINES
    return {
        'line_us': written * 1e6,
        'left_out_us': left_out * 1e6,
        'dropped': counters['log line dropped'],
    }


def main() -> None:
    """Measure everything and write docs/datapath.json."""
    figures = {
        'machine': machine.machine(),
        'cores': os.cpu_count(),
        'python': machine.python_version(),
        'log': log_figures(),
        'agent': agent_figures(),
        'entry': [entry_figures(count) for count in SIZES],
        'view': [view_figures(count) for count in VIEW_SIZES],
    }
    text = json.dumps(figures, indent=1)
    (Path(__file__).parent.parent / 'docs' / 'datapath.json').write_text(text)


if __name__ == '__main__':
    main()
