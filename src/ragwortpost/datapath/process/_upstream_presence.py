"""Whether the upstream beside an agent may still hold flows."""

from ragwortpost.datapath.connection import UpstreamLiveness
from ragwortpost.datapath.process._node_context import NodeContext


class UpstreamPresence:
    """Combines what the view and the upstream's own packets show."""

    def __init__(
        self, context: NodeContext, liveness: UpstreamLiveness
    ) -> None:
        """Initialize with the process's context and the upstream's packets."""
        self._clock = context.clock
        self._host = context.settings.host
        self._state = context.state
        self._liveness = liveness

    @property
    def is_gone(self) -> bool:
        """Whether the upstream is deregistered and unresponsive.

        Only a fresh view proves that the store has no record of it.
        """
        if not self._liveness.has_stopped_responding(self._clock.monotonic()):
            return False
        fleet = self._state.fleet
        if fleet.configuration is None or not self._state.is_fresh:
            return False
        return self._host not in fleet.upstreams_by_host
