"""What every part of one process shares."""

import random
from dataclasses import dataclass

from ragwortpost._clock import Clock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._fleet_state import FleetState
from ragwortpost.datapath.process._metrics import Metrics
from ragwortpost.datapath.process._node_settings import NodeSettings
from ragwortpost.datapath.process._peer_directory import PeerDirectory


@dataclass(frozen=True)
class NodeContext:
    """Clock, settings, view and log of one process."""

    # The time.
    clock: Clock
    # The process's settings.
    settings: NodeSettings
    # The source of random choices.
    rng: random.Random
    # The figures of the process.
    metrics: Metrics
    # Where events are written.
    log: EventLog
    # The view of the fleet.
    state: FleetState
    # The other processes.
    directory: PeerDirectory


def make_context(
    clock: Clock,
    settings: NodeSettings,
    rng: random.Random,
) -> NodeContext:
    """Return the context of a process that starts now."""
    metrics = Metrics()
    log = EventLog(clock, metrics.events)
    return NodeContext(
        clock,
        settings,
        rng,
        metrics,
        log,
        FleetState(clock, log),
        PeerDirectory(settings.host, settings.seeds),
    )
