"""Registration of the flows that an agent's upstream holds."""

from collections import defaultdict
from collections.abc import Callable

from ragwortpost.datapath.connection import (
    FlowKey,
    HeldFlows,
    RegistrationQueue,
    registrars_of,
)
from ragwortpost.datapath.process._codec import batch_flows
from ragwortpost.datapath.process._messages import Registration
from ragwortpost.datapath.process._node_context import NodeContext


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

    def add(self, flow: FlowKey, now: float) -> None:
        """Add a new flow, to be registered if it lives long enough."""
        self._queue.add(flow, now)

    def tick(self, now: float) -> None:
        """Send the registrations of flows that are due."""
        upstreams = self._state.fleet.upstreams.get(self._service, ())
        hosts = [upstream.host for upstream in upstreams]
        flows = defaultdict(list)
        for flow in self._queue.pop_due(now):
            if self._held_flows.get(flow) is not None:
                for host in registrars_of(flow, hosts):
                    flows[host].append(flow)
        flows.pop(self._host, None)
        for host, registered in flows.items():
            for batch in batch_flows(registered):
                self._send(Registration(batch), host)
