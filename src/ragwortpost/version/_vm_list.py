"""The platform's list of live and leaving VMs."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.version._value_parsers import SocketAddress, parse_address


class Role(Enum):
    """Role of a process of the system."""

    ENTRY = 'entry'
    AGENT = 'agent'


class VmState(Enum):
    """State of a VM as the platform reports it."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class Vm:
    """One VM that runs a process of the system."""

    # Process name; for an agent, the full name of its upstream.
    name: str
    # Role of the process.
    role: Role
    # Data centre where the VM runs.
    data_centre: str
    # Where the process receives envelopes (UDP) and calls from peers (TCP).
    address: SocketAddress
    # State of the VM.
    state: VmState


@dataclass(frozen=True)
class VmList:
    """One version of the VM list."""

    # The platform's version; zero only for the empty initial list.
    version: int
    # Published bytes, sent to peers unchanged.
    body: bytes
    # VMs by name.
    vms: Mapping[str, Vm]

    def of_role(self, role: Role) -> Sequence[Vm]:
        """Return the VMs of one role."""
        return [vm for vm in self.vms.values() if vm.role is role]


EMPTY_VM_LIST: Final = VmList(0, b'', {})


class VmListError(RagwortpostError):
    """A VM list that is not accepted."""

    def __init__(self, detail: str) -> None:
        """Initialize with the reason and the invalid VM, if it is only one."""
        super().__init__(detail)
        self.detail = detail

    def __str__(self) -> str:
        """Return the error message in one line."""
        return f'invalid VM list: {self.detail}'


def parse_vm_list(version: int, body: bytes) -> Result[VmList, VmListError]:
    """Parse a JSON array of VMs; one invalid VM rejects the whole list.

    Of two VMs with the same name the later one applies.
    """
    try:
        vm_objects = json.loads(body)
    except ValueError as error:
        return Err(VmListError(str(error)))
    if not isinstance(vm_objects, list):
        return Err(VmListError('not an array'))
    vms: dict[str, Vm] = {}
    for vm_object in vm_objects:
        match _parse_vm(vm_object):
            case Err() as failure:
                return failure
            case Ok(vm):
                vms[vm.name] = vm
    return Ok(VmList(version, body, vms))


def _parse_vm(vm_object: Any) -> Result[Vm, VmListError]:
    try:
        address = parse_address(str(vm_object['address']))
        vm = Vm(
            name=str(vm_object['name']),
            role=Role(vm_object['role']),
            data_centre=str(vm_object['data_centre']),
            address=address.unwrap_or(SocketAddress('', 0)),
            state=VmState(vm_object['state']),
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(VmListError(f'{vm_object!r:.100}: {error!r}'))
    if address.is_err():
        return Err(VmListError(f'{vm_object!r:.100}: invalid address'))
    return Ok(vm)
