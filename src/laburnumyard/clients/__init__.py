"""Clients of the platform: store, VM list and targets."""

from laburnumyard.clients._store import StoreClient
from laburnumyard.clients._store_types import (
    KeyRevision,
    StoredValue,
    StoreError,
    StoreErrorKind,
)
from laburnumyard.clients._target_control import TargetControl
from laburnumyard.clients._target_messages import (
    DrainAnswer,
    GrantOrder,
    RenewOrder,
    SealOrder,
    TargetAnswer,
    TargetError,
    TargetErrorKind,
    TargetLoad,
)
from laburnumyard.clients._vms import Vm, VmList, VmState
from laburnumyard.transport._target_connection import TargetConnection
from laburnumyard.transport._target_exchange import (
    FailureKind,
    TargetFailure,
    TargetRequest,
    TargetResponse,
    remove_hop_by_hop_headers,
)

__all__ = (
    'DrainAnswer',
    'FailureKind',
    'GrantOrder',
    'KeyRevision',
    'RenewOrder',
    'SealOrder',
    'StoreClient',
    'StoreError',
    'StoreErrorKind',
    'StoredValue',
    'TargetAnswer',
    'TargetConnection',
    'TargetControl',
    'TargetError',
    'TargetErrorKind',
    'TargetFailure',
    'TargetLoad',
    'TargetRequest',
    'TargetResponse',
    'Vm',
    'VmList',
    'VmState',
    'remove_hop_by_hop_headers',
)
