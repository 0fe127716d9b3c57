"""Keys and encodings of the records that gateways store."""

import json
import zlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from expression import Error, Ok, Result

from laburnumyard.core.ids import (
    DaemonName,
    FencingToken,
    Incarnation,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.shards import Assignment, FormerHolder, Phase, Piece
from laburnumyard.core.target_directory import TargetLife
from laburnumyard.gateway._cluster_view import Member
from laburnumyard.gateway._platform_interface import Item
from laburnumyard.gateway._store_revision import era_of
from laburnumyard.transport import (
    read_count,
    read_list,
    read_object,
    read_text,
)

KEY_ROOT = 'laburnumyard/'
COORDINATOR_PREFIX = f'{KEY_ROOT}coordinator/'
# Not below KEY_ROOT: assignments are large, and only coordinators need them.
ASSIGNMENT_PREFIX = 'laburnumyard-assignment/'
MAX_TEXT_LENGTH = 200
# Raised for malformed compression, JSON or rows.
DECODE_ERRORS = (TypeError, ValueError, LookupError, zlib.error)
# Limit of a decompressed record; values in the store are shorter.
MAX_RECORD_BYTES = 4_194_304


def coordinator_key(service: ServiceName) -> str:
    """Return the key that the coordinator of a service owns."""
    return f'{COORDINATOR_PREFIX}{service}'


def assignment_key(service: ServiceName) -> str:
    """Return the key of a service's assignment."""
    return f'{ASSIGNMENT_PREFIX}{service}'


def encode_member(member: Member) -> bytes:
    """Return a member record as JSON."""
    fields = {
        'name': member.name,
        'address': member.address,
        'incarnation': member.incarnation,
        'cores': member.cores,
    }
    return json.dumps(fields).encode()


def decode_member(content: bytes) -> Result[Member, str]:
    """Decode a member record, or return an error text."""
    return _decode_checked(_read_member, content)


def encode_assignment(
    pieces: Iterable[Piece],
    writer: Member,
    addresses: Mapping[TargetLife, str],
    era: int,
) -> bytes:
    """Return an assignment as compressed JSON.

    Pieces that this write moves get token 0: their fencing token is the
    revision of the write, which is known only afterwards.
    """
    lives: dict[TargetLife, int] = {}
    rows = [_piece_row(piece, lives) for piece in pieces]
    fields = {
        'writer': json.loads(encode_member(writer)),
        'era': era,
        'lives': [
            [life.target, life.started_at_ms, addresses.get(life, '')]
            for life in lives
        ],
        'pieces': rows,
    }
    return zlib.compress(json.dumps(fields, separators=(',', ':')).encode())


@dataclass(frozen=True, slots=True)
class StoredAssignment:
    """A decoded assignment record.

    Parameters
    ----------
    assignment
        Key ranges and their holders.
    writer
        Coordinator that wrote the record.
    addresses
        Addresses of holders and former holders; a target that has left the
        directory may still hold keys.
    is_restored
        Whether it was written in an earlier era of the store, which has lost
        what was written after it.
    """

    assignment: Assignment
    writer: Member
    addresses: Mapping[TargetLife, str]
    is_restored: bool = False


def decode_assignment(item: Item) -> Result[StoredAssignment, str]:
    """Decode a stored assignment, or return an error text."""
    read = partial(_read_assignment, item.revision)
    return _decode_checked(read, item.content or b'')


def _decode_checked(
    read: Callable[[bytes], Any], content: bytes
) -> Result[Any, str]:
    try:
        return Ok(read(content))
    except DECODE_ERRORS as fault:
        return Error(f'{type(fault).__name__}: {fault}')


def _read_assignment(revision: int, content: bytes) -> StoredAssignment:
    unpacked = zlib.decompressobj().decompress(content, MAX_RECORD_BYTES)
    fields = read_object(json.loads(unpacked))
    addresses = dict(map(_read_life, read_list(fields.get('lives'))))
    lives = tuple(addresses)
    pieces = tuple(
        _read_piece(read_list(row), revision, lives)
        for row in read_list(fields.get('pieces'))
    )
    writer = _read_member(json.dumps(fields.get('writer')).encode())
    era = int(fields.get('era', era_of(revision)))
    return StoredAssignment(
        Assignment(revision, pieces),
        writer,
        addresses,
        era < era_of(revision),
    )


def _read_life(row: Any) -> tuple[TargetLife, str]:
    target, started, address = read_list(row)
    return TargetLife(TargetId(str(target)), int(started)), str(address)


def _piece_row(piece: Piece, lives: dict[TargetLife, int]) -> list[int]:
    """Return a piece as integers; lives are numbered on first use."""
    held_by = [piece.holder, *[former.life for former in piece.former_holders]]
    numbers = [lives.setdefault(life, len(lives)) for life in held_by]
    return [piece.first, piece.last, piece.token, *numbers]


def _read_member(content: bytes) -> Member:
    fields = read_object(json.loads(content))
    cores = fields.get('cores', 1.0)
    if not isinstance(cores, int | float):
        raise TypeError('cores must be a number')
    return Member(
        DaemonName(read_text(fields, 'name', MAX_TEXT_LENGTH)),
        read_text(fields, 'address', MAX_TEXT_LENGTH),
        Incarnation(read_count(fields, 'incarnation')),
        float(cores),
    )


def _read_piece(
    row: list[Any], revision: int, lives: tuple[TargetLife, ...]
) -> Piece:
    first, last, token, *numbers = map(int, row)
    holder, *former_holders = [lives[number] for number in numbers]
    return Piece(
        ShardKey(first),
        ShardKey(last),
        holder,
        FencingToken(token or revision),
        phase=Phase.GRANTING,
        former_holders=tuple(
            FormerHolder(life, Seconds(0)) for life in former_holders
        ),
    )
