"""Assigns new flows to upstreams, and lets them wait while none has room.

A new flow is offered to a few agents. When they have no room, it waits in the
queue of its service. Agents are told how many flows wait, and grant them room
as they have it.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from ragwortpost.datapath.connection import (
    AdmissionRate,
    Demand,
    DemandSchedule,
    FlowKey,
    Packet,
    PendingFlow,
    PendingFlows,
    RefusalTimes,
    RefusedCallers,
    WaitingQueue,
    WaitLimits,
    max_wait,
    refusal_time,
    route_key_of,
    should_refuse,
    useful_wait,
)
from ragwortpost.datapath.process._messages import RoomGrant
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._upstream_selector import UpstreamSelector
from ragwortpost.datapath.version import Route

# A new flow without a reply in this time is sent to another agent. Far above
# the usual reply time, and below a caller's retransmission timeout.
ACCEPT_TIMEOUT_SECONDS: Final = 0.08
# Agents that a new flow is offered to before it waits.
MAX_OFFERS: Final = 3
# Time after the start of an entry in which callers return after a mass restart.
RETURN_SECONDS: Final = 10.0


@dataclass(frozen=True)
class NewFlowPorts:
    """Callbacks through which new flows reach agents and callers."""

    # Sends an agent the opening packet of a new flow.
    offer: Callable[[Packet, str], None]
    # Sends an agent the demand of a service's waiting flows.
    send_demand: Callable[[str, str, Demand], None]
    # Tells a caller that its flow is refused.
    refuse: Callable[[Packet], None]
    # Handles a packet whose flow has no route.
    on_unrouted: Callable[[Packet], None]


@dataclass(slots=True)
class _ServiceQueue:
    """The waiting flows of one service."""

    queue: WaitingQueue = field(default_factory=WaitingQueue)
    demands: DemandSchedule = field(default_factory=DemandSchedule)
    # The rates at which upstreams accept waiting flows, by priority.
    rates: defaultdict[int, AdmissionRate] = field(
        default_factory=lambda: defaultdict(AdmissionRate)
    )
    # Monotonic seconds since which some flow has been waiting.
    waiting_since: float | None = None
    # Flows that were refused since then.
    refused: int = 0


class NewFlows:
    """The new flows of one entry until an upstream accepts them."""

    def __init__(
        self,
        context: NodeContext,
        selector: UpstreamSelector,
        ports: NewFlowPorts,
    ) -> None:
        """Initialize with the context, the selector and the callbacks."""
        self._clock = context.clock
        self._state = context.state
        self._directory = context.directory
        self._log = context.log
        self._selector = selector
        self._ports = ports
        self._pending = PendingFlows()
        self._services: defaultdict[str, _ServiceQueue] = defaultdict(
            _ServiceQueue
        )
        self._refusal_times = RefusalTimes()
        self._refused_callers = RefusedCallers()
        self._started_at = context.clock.monotonic()

    def __len__(self) -> int:
        """Return the number of new flows that no upstream has accepted."""
        return len(self._pending)

    def get(self, flow: FlowKey) -> PendingFlow | None:
        """Return the state of a new flow, or none if it is not pending."""
        return self._pending.get(flow)

    def gauges(self) -> Mapping[str, float]:
        """Return the gauge readings of the waiting flows."""
        now = self._clock.monotonic()
        readings: dict[str, float] = defaultdict(float)
        readings['waiting'] = 0
        for service in self._services.values():
            for priority, count in service.queue.counts.items():
                readings['waiting'] += count
                readings[f'waiting_priority_{priority}'] += count
        oldest = min(
            (pending.started_at for pending in self._pending.waiting()),
            default=now,
        )
        return {**readings, 'oldest_wait_seconds': round(now - oldest, 3)}

    def receive(self, packet: Packet) -> None:
        """Handle the opening packet of a flow, or a retransmission of it."""
        pending = self._pending.get(packet.flow)
        if pending is not None:
            # The caller sends it again, so that no upstream has accepted it.
            pending.unanswered.clear()
            if not self._pending.is_waiting(packet.flow):
                self._ports.offer(packet, pending.tried[-1])
            return
        service = self._state.fleet.service_of(packet.flow)
        if service is None:
            self._ports.on_unrouted(packet)
            return
        now = self._clock.monotonic()
        arrived_at = self._refused_callers.arrival(packet.flow, now)
        self._assign(self._pending.add(packet, now, arrived_at))

    def on_opened(self, flow: FlowKey, agent: str) -> PendingFlow | None:
        """Remove and return a new flow that an upstream has accepted."""
        self._selector.record_acceptance(agent)
        pending = self._pending.get(flow)
        self.discard(flow)
        service = self._state.fleet.service_of(flow)
        if pending is not None and service is not None:
            rates = self._services[service].rates
            priority = self._route_of(flow).priority
            rates[priority].record(self._clock.monotonic())
        return pending

    def on_refused(self, flow: FlowKey, agent: str) -> bool:
        """Assign a flow that an agent refused; return false if unknown."""
        self._selector.record_refusal(agent)
        pending = self._pending.get(flow)
        if pending is None:
            return False
        pending.unanswered.discard(agent)
        if pending.tried and pending.tried[-1] == agent:
            self._assign(pending)
        return True

    def on_load(self, agent: str) -> None:
        """Offer waiting flows if an agent has reported a free slot."""
        service = self._selector.service_of(agent) or ''
        if service in self._services and self._selector.has_free_slot(agent):
            self._serve(service)

    def on_grant(self, grant: RoomGrant, agent: str) -> None:
        """Offer waiting flows to an agent that has granted room."""
        service = self._selector.service_of(agent) or ''
        waiting = self._services.get(service)
        if waiting is None:
            return
        now = self._clock.monotonic()
        for _ in range(grant.flows):
            flow = waiting.queue.first(now)
            if flow is None:
                self._return_room(service, waiting, agent)
                return
            self._offer(self._waiting_flow(flow), agent)

    def discard(self, flow: FlowKey) -> None:
        """Remove a flow that an upstream holds, or that its caller ended."""
        self._stop_waiting(flow)
        self._pending.remove(flow)

    def tick(self, *, late: bool) -> None:
        """Assign and refuse flows; a late tick awaits replies further."""
        now = self._clock.monotonic()
        if not late:
            # After a late tick, replies may still wait in the socket.
            self._retry_unanswered(now)
        for service in tuple(self._services):
            self._serve(service)
        for flow in self._refusal_times.pop_due(now):
            self._review(flow)
        for name, waiting in tuple(self._services.items()):
            self._send_demands(name, waiting)
            self._record_congestion(name, waiting, now)

    def _retry_unanswered(self, now: float) -> None:
        """Reassign flows whose agents did not reply in time."""
        for pending in self._pending.overdue(now - ACCEPT_TIMEOUT_SECONDS):
            agent = pending.tried[-1]
            pending.unanswered.add(agent)
            self._directory.record_timeout(agent, now)
            self._log.write_flow(
                'opening_timeout', pending.packet.flow, agent=agent
            )
            self._assign(pending)

    def _assign(self, pending: PendingFlow) -> None:
        """Offer a flow to the next agent, or let it wait."""
        flow = pending.packet.flow
        service = self._state.fleet.service_of(flow)
        if service is None:
            self.discard(flow)
            self._ports.on_unrouted(pending.packet)
            return
        candidate = None
        if self._may_offer(pending, service):
            candidate = self._selector.select(flow, service, pending.tried)
        if candidate is None:
            self._wait(pending, service)
        else:
            self._offer(pending, candidate.agent)

    def _return_room(
        self, service: str, waiting: _ServiceQueue, agent: str
    ) -> None:
        """Tell an agent that no flow waits for the rest of its room."""
        if waiting.demands.withdraw(agent):
            self._ports.send_demand(agent, service, Demand(0, 0, 0))

    def _may_offer(self, pending: PendingFlow, service: str) -> bool:
        """Return whether a flow may be offered without granted room.

        Those that wait come first. Asking agents for each new flow beside them
        costs too much in the crowd after a mass restart.
        """
        if pending.has_waited or len(pending.tried) >= MAX_OFFERS:
            return False
        priority = self._route_of(pending.packet.flow).priority
        return not self._services[service].queue.has_before(priority)

    def _offer(self, pending: PendingFlow, agent: str) -> None:
        now = self._clock.monotonic()
        self._stop_waiting(pending.packet.flow)
        self._pending.record_attempt(pending, agent, now)
        self._directory.count_assigned_flow(agent, now)
        self._ports.offer(pending.packet, agent)

    def _serve(self, service: str) -> None:
        """Offer waiting flows while upstreams have free slots."""
        queue = self._services[service].queue
        now = self._clock.monotonic()
        # Each flow once: an agent may refuse it although it has a free slot.
        remaining = len(queue)
        while remaining:
            remaining -= 1
            flow = queue.first(now)
            candidate = self._selector.select_idle(service)
            if flow is None or candidate is None:
                return
            self._offer(self._waiting_flow(flow), candidate.agent)

    def _wait(self, pending: PendingFlow, service: str) -> None:
        """Let a flow wait, or refuse it if its turn comes too late."""
        flow = pending.packet.flow
        route = self._route_of(flow)
        limits = WaitLimits(route.timeout, route.target)
        waiting = self._services[service]
        place = (pending.arrived_at + max_wait(limits), pending.number)
        ahead = waiting.queue.ahead(route.priority, place)
        if self._is_too_late(pending, waiting, ahead):
            self._refuse(pending, waiting)
            return
        now = self._clock.monotonic()
        self._pending.mark_waiting(pending)
        overdue_at = pending.arrived_at + useful_wait(limits)
        waiting.queue.add(flow, route.priority, place, overdue_at)
        self._schedule_review(pending, limits)
        if waiting.waiting_since is None:
            waiting.waiting_since = now
            waiting.refused = 0
            self._log.write('waiting_began', service=service)
        if len(waiting.queue) == 1:
            self._send_demands(service, waiting)

    def _review(self, flow: FlowKey) -> None:
        """Refuse a waiting flow whose time has come, or let it wait on."""
        pending = self._pending.get(flow)
        service = self._state.fleet.service_of(flow)
        if pending is None:
            return
        if service is None:
            self.discard(flow)
            self._ports.on_unrouted(pending.packet)
            return
        waiting = self._services[service]
        route = self._route_of(flow)
        limits = WaitLimits(route.timeout, route.target)
        place = (pending.arrived_at + max_wait(limits), pending.number)
        ahead = waiting.queue.ahead(route.priority, place)
        if self._is_too_late(pending, waiting, ahead):
            self._refuse(pending, waiting)
        else:
            self._schedule_review(pending, limits)

    def _schedule_review(
        self, pending: PendingFlow, limits: WaitLimits
    ) -> None:
        now = self._clock.monotonic()
        at = refusal_time(
            limits, pending.started_at, now, returning=self._is_returning(now)
        )
        self._refusal_times.schedule(pending.packet.flow, at)

    def _is_returning(self, now: float) -> bool:
        return now - self._started_at < RETURN_SECONDS

    def _is_too_late(
        self, pending: PendingFlow, waiting: _ServiceQueue, ahead: int
    ) -> bool:
        now = self._clock.monotonic()
        route = self._route_of(pending.packet.flow)
        congestion = replace(
            waiting.rates[route.priority].congestion(now),
            returning=self._is_returning(now),
        )
        limits = WaitLimits(route.timeout, route.target)
        if now >= pending.started_at + max_wait(limits):
            return True
        return should_refuse(
            limits, now - pending.started_at, ahead, congestion
        )

    def _refuse(self, pending: PendingFlow, waiting: _ServiceQueue) -> None:
        now = self._clock.monotonic()
        flow = pending.packet.flow
        self.discard(flow)
        waiting.refused += 1
        self._refused_callers.record(flow, pending.arrived_at, now)
        if pending.unanswered:
            # An upstream may have accepted it: the refusal might be wrong.
            self._log.write_flow('refusal_in_doubt', flow)
        else:
            self._ports.refuse(pending.packet)

    def _waiting_flow(self, flow: FlowKey) -> PendingFlow:
        pending = self._pending.get(flow)
        if pending is None:
            raise LookupError('a queued flow is not pending')
        return pending

    def _stop_waiting(self, flow: FlowKey) -> None:
        self._refusal_times.remove(flow)
        for service in self._services.values():
            service.queue.remove(flow)

    def _send_demands(self, name: str, waiting: _ServiceQueue) -> None:
        now = self._clock.monotonic()
        demand = waiting.queue.demand(now)
        if demand is None:
            return
        agents = self._selector.demand_agents(name)
        for agent in waiting.demands.due(agents, demand, now):
            self._ports.send_demand(agent, name, demand)

    def _record_congestion(
        self, name: str, waiting: _ServiceQueue, now: float
    ) -> None:
        counts = waiting.queue.counts
        # Without any upstream, flows wait for one to start instead.
        runs = bool(counts) and self._selector.has_upstream(name)
        priorities = {*waiting.rates, *counts}
        for priority in priorities:
            congested = runs and priority in counts
            waiting.rates[priority].set_congested(now, congested=congested)
        if waiting.waiting_since is not None and not counts:
            self._log.write(
                'waiting_ended',
                service=name,
                seconds=round(now - waiting.waiting_since, 3),
                refused=waiting.refused,
            )
            waiting.waiting_since = None

    def _route_of(self, flow: FlowKey) -> Route:
        return self._state.fleet.routes[route_key_of(flow)]
