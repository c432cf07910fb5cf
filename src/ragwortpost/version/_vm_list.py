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
    """What a process of the system does."""

    ENTRY = 'entry'
    AGENT = 'agent'


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class Vm:
    """One VM that runs a process of the system."""

    # The process's name; for an agent, the full name of its upstream.
    name: str
    # What the process does.
    role: Role
    # The data centre the VM stands in.
    data_centre: str
    # Where the process takes envelopes (UDP) and peers' calls (TCP).
    address: SocketAddress
    # What the platform says of the VM.
    state: VmState


@dataclass(frozen=True)
class VmList:
    """One version of the platform's list."""

    # The platform's version; zero only for the empty list at a start.
    version: int
    # The published bytes, passed on to peers as they are.
    body: bytes
    # VMs by name.
    vms: Mapping[str, Vm]

    def of_role(self, role: Role) -> Sequence[Vm]:
        """Return the VMs of one role."""
        return [vm for vm in self.vms.values() if vm.role is role]


EMPTY_VM_LIST: Final = VmList(0, b'', {})


class VmListError(RagwortpostError):
    """A VM list that can't be accepted."""

    def __init__(self, detail: str) -> None:
        """Record which entry is at fault."""
        super().__init__(detail)
        self.detail = detail

    def __str__(self) -> str:
        """Return the reason in one line."""
        return f'invalid VM list: {self.detail}'


def parse_vm_list(version: int, body: bytes) -> Result[VmList, VmListError]:
    """Read a JSON array of VMs, whole or not at all."""
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
        return Err(VmListError(f'{vm_object!r:.100}: address'))
    return Ok(vm)
