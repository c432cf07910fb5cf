"""The settings and the VM list of one moment, read together."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ragwortpost.version._snapshot import (
    EMPTY_SNAPSHOT,
    ShortId,
    Snapshot,
    Upstream,
)
from ragwortpost.version._vm_list import EMPTY_VM_LIST, Role, VmList, VmState


@dataclass(frozen=True)
class Fleet:
    """What one process knows of services, upstreams and VMs."""

    # The settings tree in force.
    snapshot: Snapshot = field(default=EMPTY_SNAPSHOT)
    # The VM list in force; it lags behind the fleet.
    vms: VmList = field(default=EMPTY_VM_LIST)

    def accepts_new(self, upstream: Upstream) -> bool:
        """Whether new flows and new work may go to an upstream.

        Either source may say that it leaves; an upstream that the VM list
        does not name yet is taken as live.
        """
        vm = self.vms.vms.get(upstream.name)
        if vm is not None and vm.state is VmState.LEAVING:
            return False
        return upstream.eligible

    def accepting_upstreams(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that take new work."""
        known = self.snapshot.services.get(service)
        if known is None:
            return ()
        return tuple(
            upstream
            for upstream in known.upstreams
            if self.accepts_new(upstream)
        )

    def other_accepting_upstreams(
        self,
        service: str,
        ident: ShortId,
    ) -> Sequence[Upstream]:
        """Return those that take new work, but for one upstream."""
        return tuple(
            upstream
            for upstream in self.accepting_upstreams(service)
            if upstream.ident != ident
        )

    def live_entry_addresses(self) -> Sequence[tuple[str, int]]:
        """Return where the entries that are not leaving take replies."""
        return [
            vm.address.host_port
            for vm in self.vms.of_role(Role.ENTRY)
            if vm.state is VmState.LIVE
        ]
