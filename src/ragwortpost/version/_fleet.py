"""The settings and the VM list in force at one moment."""

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
    """A process's view: the versions of settings and VM list that it holds."""

    # The settings in force.
    snapshot: Snapshot = field(default=EMPTY_SNAPSHOT)
    # The VM list in force; it lags behind the actual VMs.
    vms: VmList = field(default=EMPTY_VM_LIST)

    def accepts_new_work(self, upstream: Upstream) -> bool:
        """Whether an upstream accepts new connections and new work.

        Either the settings or the VM list may mark it as leaving. An upstream
        that is not in the VM list yet counts as live.
        """
        vm = self.vms.vms.get(upstream.name)
        if vm is not None and vm.state is VmState.LEAVING:
            return False
        return upstream.eligible

    def accepting_upstreams(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that accept new work."""
        found = self.snapshot.services.get(service)
        if found is None:
            return ()
        return tuple(
            upstream
            for upstream in found.upstreams
            if self.accepts_new_work(upstream)
        )

    def other_accepting_upstreams(
        self,
        service: str,
        ident: ShortId,
    ) -> Sequence[Upstream]:
        """Return the accepting upstreams of a service except one."""
        return tuple(
            upstream
            for upstream in self.accepting_upstreams(service)
            if upstream.ident != ident
        )

    def live_entry_addresses(self) -> Sequence[tuple[str, int]]:
        """Return the reply addresses of the entries that are not leaving."""
        return [
            vm.address.host_port
            for vm in self.vms.of_role(Role.ENTRY)
            if vm.state is VmState.LIVE
        ]
