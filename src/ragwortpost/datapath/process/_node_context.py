"""State and services that all components of one process share."""

import random
from dataclasses import dataclass

from ragwortpost._clock import Clock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._fleet_state import FleetState
from ragwortpost.datapath.process._metrics import Metrics
from ragwortpost.datapath.process._node_settings import NodeSettings
from ragwortpost.datapath.process._peer_directory import PeerDirectory
from ragwortpost.datapath.process._peer_layouts import PeerLayouts
from ragwortpost.datapath.process._running_clock import RunningClock
from ragwortpost.datapath.process._unreadable_messages import (
    UnreadableMessages,
)


@dataclass(frozen=True)
class NodeContext:
    """Shared components of one process."""

    # Stands still while the process does not run; the view's age and the log
    # use the system's clock.
    clock: Clock
    settings: NodeSettings
    rng: random.Random
    # Counters and histograms.
    metrics: Metrics
    # Log of events.
    log: EventLog
    # This process's view of the fleet.
    state: FleetState
    # The other processes of the system.
    directory: PeerDirectory
    # The layouts of messages that they read.
    layouts: PeerLayouts
    # Their datagrams that this process can't read.
    unreadable: UnreadableMessages


def make_context(
    clock: Clock,
    settings: NodeSettings,
    rng: random.Random,
) -> NodeContext:
    """Return the context of a newly started process."""
    metrics = Metrics()
    log = EventLog(clock, metrics.events)
    return NodeContext(
        RunningClock(clock),
        settings,
        rng,
        metrics,
        log,
        FleetState(clock, log),
        PeerDirectory(settings.host, settings.seeds),
        PeerLayouts(),
        UnreadableMessages(log, metrics.events),
    )
