"""HTTP clients for targets and for the platform's services."""

from laburnumyard.transport._address import (
    parse_target_address,
    split_address,
)
from laburnumyard.transport._endpoint import (
    Endpoint,
    ExchangeError,
    ExchangeFault,
    HttpRequest,
    HttpResponse,
)
from laburnumyard.transport._json_fields import (
    Fields,
    parse_json,
    read_boolean,
    read_count,
    read_list,
    read_object,
    read_text,
)
from laburnumyard.transport._paced_writer import PIECE_BYTES, PacedWriter
from laburnumyard.transport._response_memory import ResponseMemory
from laburnumyard.transport._target_connection import TargetConnection
from laburnumyard.transport._target_endpoint import TargetEndpoint
from laburnumyard.transport._target_exchange import (
    FINAL_STATUSES,
    FailureKind,
    TargetFailure,
    TargetRequest,
    TargetResponse,
    remove_hop_by_hop_headers,
)

__all__ = (
    'FINAL_STATUSES',
    'PIECE_BYTES',
    'Endpoint',
    'ExchangeError',
    'ExchangeFault',
    'FailureKind',
    'Fields',
    'HttpRequest',
    'HttpResponse',
    'PacedWriter',
    'ResponseMemory',
    'TargetConnection',
    'TargetEndpoint',
    'TargetFailure',
    'TargetRequest',
    'TargetResponse',
    'parse_json',
    'parse_target_address',
    'read_boolean',
    'read_count',
    'read_list',
    'read_object',
    'read_text',
    'remove_hop_by_hop_headers',
    'split_address',
)
