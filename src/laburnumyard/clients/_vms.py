"""Client of the platform's VM list, which is validated as untrusted."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from expression import Error, Ok, Result

from laburnumyard.clients._store import StoreClient
from laburnumyard.clients._store_codec import decode_json
from laburnumyard.clients._store_errors import malformed
from laburnumyard.clients._store_types import StoreError
from laburnumyard.core.ids import DaemonName, DataCentre, Region
from laburnumyard.transport._address import split_address
from laburnumyard.transport._endpoint import HttpRequest
from laburnumyard.transport._json_fields import (
    Fields,
    read_list,
    read_object,
    read_text,
)

MAX_VMS = 10_000
MAX_NAME_LENGTH = 64


class VmState(Enum):
    """State of a VM as reported by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM on the platform's list.

    Parameters
    ----------
    name, data_centre, region
        Identity and location of the VM.
    peer_address
        ``IP:PORT`` for links between daemons; empty if the VM accepts none.
    state
        Live or leaving.
    """

    name: DaemonName
    data_centre: DataCentre
    region: Region
    peer_address: str
    state: VmState


class VmList:
    """Reads the eventually consistent VM list within the store's budget.

    Parameters
    ----------
    store
        The client whose rate budget and connections are used.
    """

    def __init__(self, store: StoreClient) -> None:
        """Use the budget and connections of a store client."""
        self.store = store

    async def read(self) -> Result[tuple[Vm, ...], StoreError]:
        """Return the VMs that the platform lists."""
        request = HttpRequest('GET', '/v1/vms')
        answer = await self.store.calls.fetch(request, is_urgent=False)
        return answer.bind(decode_json).bind(read_vms)


def read_vms(rows: Any) -> Result[tuple[Vm, ...], StoreError]:
    """Return the VMs of a decoded list; one invalid row rejects the list."""
    try:
        return Ok(_read_list(rows))
    except (TypeError, ValueError) as fault:
        return Error(malformed(f'the list of VMs: {fault}'))


def _read_list(rows: Any) -> tuple[Vm, ...]:
    listed = tuple(map(_read_vm, read_list(rows)))
    if len(listed) > MAX_VMS:
        raise ValueError(f'the list exceeds the maximum of {MAX_VMS} rows')
    if len({vm.name for vm in listed}) < len(listed):
        raise ValueError('duplicate VM name; names must be unique')
    return listed


def _read_vm(row: Any) -> Vm:
    fields = read_object(row)
    name = read_text(fields, 'name', MAX_NAME_LENGTH)
    if not name:
        raise ValueError('a VM has an empty name; set "name"')
    return Vm(
        DaemonName(name),
        DataCentre(read_text(fields, 'data_centre', MAX_NAME_LENGTH)),
        Region(read_text(fields, 'region', MAX_NAME_LENGTH)),
        _read_address(fields),
        VmState(read_text(fields, 'state', MAX_NAME_LENGTH)),
    )


def _read_address(fields: Fields) -> str:
    address = read_text(fields, 'peer_address', MAX_NAME_LENGTH)
    if address:
        split_address(address)
    return address
