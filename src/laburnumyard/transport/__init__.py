"""HTTP clients for targets and for the platform's services."""

from laburnumyard.transport._address import split_address
from laburnumyard.transport._endpoint import (
    Endpoint,
    ExchangeError,
    ExchangeFault,
    HttpAnswer,
    HttpRequest,
)
from laburnumyard.transport._target_connection import TargetConnection
from laburnumyard.transport._target_types import (
    FailureKind,
    TargetFailure,
    TargetRequest,
    TargetResponse,
    drop_hop_by_hop,
)
from laburnumyard.transport._untrusted import (
    Fields,
    parse_json,
    read_count,
    read_flag,
    read_list,
    read_object,
    read_text,
)

__all__ = (
    'Endpoint',
    'ExchangeError',
    'ExchangeFault',
    'FailureKind',
    'Fields',
    'HttpAnswer',
    'HttpRequest',
    'TargetConnection',
    'TargetFailure',
    'TargetRequest',
    'TargetResponse',
    'drop_hop_by_hop',
    'parse_json',
    'read_count',
    'read_flag',
    'read_list',
    'read_object',
    'read_text',
    'split_address',
)
