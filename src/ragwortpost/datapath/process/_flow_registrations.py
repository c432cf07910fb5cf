"""Registration of the flows that an agent's upstream holds."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from ragwortpost.datapath.connection import (
    MAX_REGISTRATIONS_PER_TICK,
    FlowKey,
    HeldFlows,
    RegistrarTable,
    RegistrationQueue,
)
from ragwortpost.datapath.process._codec import batch_flows
from ragwortpost.datapath.process._messages import Registration
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.version import EMPTY_INDEX


class FlowRegistrations:
    """Sends registrations to the registrars of held flows."""

    def __init__(
        self,
        context: NodeContext,
        service: str,
        held_flows: HeldFlows,
        send: Callable[[Registration, str], None],
    ) -> None:
        """Initialize with the upstream's service and the flows it holds."""
        self._state = context.state
        self._host = context.settings.host
        self._service = service
        self._held_flows = held_flows
        self._send = send
        self._queue = RegistrationQueue()
        # The view's index when last seen, and from it the identities of the
        # service's upstreams by address.
        self._fleet = EMPTY_INDEX
        self._upstreams: dict[str, str] = {}
        self._registrars = RegistrarTable(())

    def add(self, flow: FlowKey, now: float) -> None:
        """Add a new flow, to be registered if it lives long enough."""
        self._queue.add(flow, now)

    def tick(self, now: float) -> None:
        """Send the registrations of flows that are due."""
        self._update_registrars()
        due = list(self._queue.pop_due(now))
        limit = MAX_REGISTRATIONS_PER_TICK - len(due)
        due.extend(self._queue.pop_renewals(limit))
        flows = defaultdict(list)
        for flow in due:
            for host in self._new_registrars(flow):
                flows[host].append(flow)
        flows.pop(self._host, None)
        for host, registered in flows.items():
            for batch in batch_flows(registered):
                self._send(Registration(batch), host)

    def _update_registrars(self) -> None:
        """Register flows again if the upstreams of the service changed.

        An upstream that restarted at the same address counts as changed: its
        agent has usually restarted as well and lost the registrations.
        """
        fleet = self._state.fleet
        if fleet is self._fleet:
            return
        self._fleet = fleet
        upstreams = {
            upstream.host: upstream.ident
            for upstream in fleet.upstreams.get(self._service, ())
        }
        if upstreams != self._upstreams:
            self._upstreams = upstreams
            self._registrars = RegistrarTable(upstreams)
            self._queue.renew(self._held_flows.registered_flows)

    def _new_registrars(self, flow: FlowKey) -> Iterator[str]:
        """Yield the agents that a held flow is not registered with yet."""
        held = self._held_flows.get(flow)
        if held is None:
            return
        registrars = frozenset(
            (host, self._upstreams[host])
            for host in self._registrars.registrars_of(flow)
        )
        previous = held.registrars or frozenset()
        held.registrars = registrars
        for host, _ in registrars - previous:
            yield host
