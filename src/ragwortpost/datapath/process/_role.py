"""The part of a process that depends on its role.

The modules of the other role are not imported: a process is unavailable while
it starts.
"""

from collections.abc import Mapping
from contextlib import ExitStack
from typing import Protocol

from ragwortpost._datagrams import SendDatagram, UdpSockets
from ragwortpost.datapath.connection import FlowKey, PacketFormat
from ragwortpost.datapath.process._messages import Message
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeRole
from ragwortpost.datapath.process._view_gossip import LocalStatus


class Role(Protocol):
    """An entry or an agent, as far as its process depends on it."""

    @property
    def name(self) -> NodeRole:
        """Which role this is."""

    @property
    def has_pending(self) -> bool:
        """Whether flows or entries wait, which needs short ticks."""

    def open(
        self, stack: ExitStack, udp: UdpSockets, to_peer: SendDatagram
    ) -> None:
        """Open the role's own sockets; ``stack`` closes them."""

    def receive(self, message: Message | None, host: str) -> bool:
        """Handle a peer's message; return false if it is not for the role."""

    def tick(self) -> None:
        """Handle timeouts and remove expired state."""

    def gauges(self) -> Mapping[str, float]:
        """Return the current gauge readings."""

    def explain_flow(self, flow: FlowKey) -> Mapping[str, object]:
        """Return the state of a flow, as fields of the /flow endpoint."""

    async def drain(self) -> None:
        """Wait until the work in progress is finished, for a limited time."""


def make_role(
    context: NodeContext, packets: PacketFormat, status: LocalStatus
) -> Role:
    """Import and return the role that the settings ask for.

    ``status`` is what the process tells its peers of itself.
    """
    side = context.settings.upstream_side
    if side is None:
        from ragwortpost.datapath.process._entry_role import (  # noqa: WPS433
            EntryRole,
        )

        return EntryRole(context, packets)
    from ragwortpost.datapath.process._agent_role import (  # noqa: WPS433
        AgentRole,
    )

    return AgentRole(context, side, packets, status)
