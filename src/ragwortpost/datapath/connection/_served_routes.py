"""The routes that an agent's upstream has served since the agent's start.

Without a view, nobody knows which service a route leads to. A packet that an
upstream sends on a flow shows that its service serves the flow's route.
"""

from collections.abc import Sequence
from typing import Final

from ragwortpost.datapath.connection._packet import RouteKey

# The latest routes that are kept; they must fit into a digest.
MAX_SERVED_ROUTES: Final = 16


class ServedRoutes:
    """The latest routes of an upstream's packets."""

    def __init__(self) -> None:
        """Start without routes."""
        self._routes: dict[RouteKey, None] = {}

    @property
    def routes(self) -> Sequence[RouteKey]:
        """The routes, in a stable order."""
        return tuple(sorted(self._routes))

    def record(self, route: RouteKey) -> None:
        """Record the route of a packet that the upstream has sent."""
        if route in self._routes:
            return
        if len(self._routes) >= MAX_SERVED_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        self._routes[route] = None

    def clear(self) -> None:
        """Forget all routes."""
        self._routes.clear()
