"""Admits new flows to an agent's upstream and grants its free room."""

import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Final

from ragwortpost._datagrams import SendDatagram
from ragwortpost.datapath.connection import (
    GRANT_SECONDS,
    Admission,
    AdmissionInputs,
    Demand,
    FlowKey,
    HeldFlows,
    Refusal,
    RoomGrants,
    RouteKey,
    UpstreamLiveness,
    backlog_limit,
    grant_limit,
    route_key_of,
)
from ragwortpost.datapath.process._codec import encode
from ragwortpost.datapath.process._messages import (
    RoomDemand,
    RoomGrant,
    service_tag,
)
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.version import Route

# Maximum flows of an upstream until a configuration is known.
DEFAULT_CONNECTION_LIMIT: Final = 2000
# Time without grants after the upstream returned an opening packet: it has less
# room than its load shows, and would return the next ones as well.
RETURN_PAUSE_SECONDS: Final = 0.1
_MS: Final = 1000


class AgentRoom:
    """The room of one upstream for new flows."""

    def __init__(
        self,
        context: NodeContext,
        service: str,
        held_flows: HeldFlows,
        liveness: UpstreamLiveness,
    ) -> None:
        """Initialize with the upstream's service and what it holds."""
        self._clock = context.clock
        self._settings = context.settings
        self._state = context.state
        self._events = context.metrics.events
        self._service = service
        self._held_flows = held_flows
        self._liveness = liveness
        self._admission = Admission()
        self._grants = RoomGrants()
        self._routes: Mapping[RouteKey, Route] = {}
        self._targets: dict[int, float] = {}
        # The load at the upstream's last packet, or when room was last granted.
        self._last_load = 0
        self._send_to_peer: SendDatagram | None = None
        self._is_stopping: Callable[[], bool] = bool
        # Monotonic seconds until which no room is granted.
        self._paused_until: float = 0

    @property
    def has_demands(self) -> bool:
        """Whether entries wait for room, which needs short ticks."""
        return self._grants.has_demands

    def open(
        self, to_peer: SendDatagram, is_stopping: Callable[[], bool]
    ) -> None:
        """Set the functions that send datagrams and that report a shutdown."""
        self._send_to_peer = to_peer
        self._is_stopping = is_stopping

    def gauges(self) -> Mapping[str, float]:
        """Return the gauge readings of the room."""
        now = self._clock.monotonic()
        return {
            'room': self._room(self._least_urgent()),
            'room_granted': self._grants.granted(now),
        }

    def admit(self, flow: FlowKey, entry: str) -> Refusal | None:
        """Return why a new flow is refused, or none if it is admitted."""
        now = self._clock.monotonic()
        route = self._state.fleet.routes.get(route_key_of(flow))
        priority = route.priority if route else self._least_urgent()
        inputs = self._inputs(
            route.target if route else math.inf,
            urgent=self._state.fleet.is_urgent(flow),
        )
        if self._grants.covers(entry, priority, now):
            inputs = replace(inputs, reserved=0, granted_room=0, granted=True)
        else:
            own = self._grants.granted_to(entry, now)
            inputs = replace(
                inputs,
                reserved=inputs.reserved - own,
                granted_room=inputs.granted_room - own,
            )
        held, load = len(self._held_flows), self._held_flows.load(now)
        refusal = self._admission.decide(inputs, held, load, now)
        if refusal is None and self._grants.admit(flow, entry, priority, now):
            self._events['room_used'] += 1
        return refusal

    def settle(self, flow: FlowKey) -> None:
        """Record that the upstream has answered a new flow."""
        self._grants.settle(flow)

    def record_return(self) -> None:
        """Record that the upstream returned an opening packet."""
        self._paused_until = self._clock.monotonic() + RETURN_PAUSE_SECONDS

    def receive_demand(self, demand: RoomDemand, entry: str) -> None:
        """Record how many flows wait at an entry, and grant it room."""
        if demand.service != service_tag(self._service):
            return
        now = self._clock.monotonic()
        deadline = now + demand.deadline_ms / _MS
        waiting = Demand(demand.waiting, demand.priority, deadline)
        self._grants.record_demand(entry, waiting, now)
        self.grant()

    def on_outbound(self) -> None:
        """Grant room if a packet of the upstream has freed some."""
        load = self._held_flows.load(self._clock.monotonic())
        freed = load < self._last_load
        self._last_load = load
        if freed:
            self.grant()

    def grant(self) -> None:
        """Grant free room to the entries that wait for it."""
        if not self._grants.has_demands or self._send_to_peer is None:
            return
        now = self._clock.monotonic()
        if now < self._paused_until:
            return
        load, pace = self._held_flows.load(now), self._held_flows.pace(now)
        self._last_load = load
        for grant in self._grants.allocate(self._room, now):
            self._events['room_granted'] += grant.flows
            message = RoomGrant(
                grant.flows, int(GRANT_SECONDS * _MS), load, int(pace * _MS)
            )
            address = (grant.entry, self._settings.peer_port)
            self._send_to_peer(encode(message), address)

    def _least_urgent(self) -> int:
        priorities = self._state.fleet.least_urgent_priorities
        return priorities.get(self._service, 0)

    def _room(self, priority: int) -> int:
        """Return the room that may be granted to flows of a priority."""
        inputs = self._inputs(
            self._lowest_targets().get(priority, math.inf),
            urgent=priority < self._least_urgent(),
        )
        upstream = self._state.fleet.upstreams_by_host.get(self._settings.host)
        slots = upstream.slots if upstream else 1
        limit = grant_limit(slots, inputs.backlog_limit)
        inputs = replace(inputs, backlog_limit=limit)
        now = self._clock.monotonic()
        held, load = len(self._held_flows), self._held_flows.load(now)
        return self._admission.room(inputs, held, load, now)

    def _lowest_targets(self) -> Mapping[int, float]:
        """Return the lowest target of the service's routes, by priority.

        It is kept for a configuration: room is computed for each packet of the
        upstream while flows wait, and there are hundreds of routes.
        """
        routes = self._state.fleet.routes
        if routes is not self._routes:
            self._routes = routes
            self._targets = {}
            for route in routes.values():
                if any(one.service == self._service for one in route.shares):
                    lowest = self._targets.get(route.priority, math.inf)
                    self._targets[route.priority] = min(lowest, route.target)
        return self._targets

    def _inputs(self, target: float, *, urgent: bool) -> AdmissionInputs:
        """Return the limits for flows of a route with a target."""
        fleet = self._state.fleet
        now = self._clock.monotonic()
        upstream = fleet.upstreams_by_host.get(self._settings.host)
        policy = fleet.services.get(self._service)
        limit = policy.connection_limit if policy else DEFAULT_CONNECTION_LIMIT
        warm_up_rate = None
        if (
            upstream is not None
            and self._state.warm_up_left(upstream.ident) > 0
        ):
            warm_up_rate = policy.warm_up_rate if policy else None
        deregistered = upstream is None and fleet.configuration is not None
        return AdmissionInputs(
            leaving=self._is_stopping()
            or deregistered
            or (upstream is not None and upstream.leaving),
            data_centre_drained=self._settings.data_centre
            in fleet.drained_data_centres,
            upstream_unresponsive=self._liveness.should_skip_new_flow(now),
            warm_up_rate=warm_up_rate,
            connection_limit=limit,
            backlog_limit=backlog_limit(
                upstream.slots if upstream else 1,
                self._held_flows.pace(now),
                target,
                urgent=urgent,
            ),
            reserved=self._grants.reserved(now),
            granted_room=self._grants.granted(now),
        )
