"""Splits assignments into content-addressed chunks and reassembles them.

The hash space is divided into a power of two of equal segments, and a chunk
holds the ranges that start in its segment. A move then rewrites one or two
small chunks and leaves the digests of all others unchanged.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import pairwise

import capnp
from expression import Error, Ok, Result

from laburnumyard.core.key_hashing import HASH_BITS
from laburnumyard.core.ownership._head import Head, MalformedContent
from laburnumyard.schema._generated.messages import (
    Assignment,
    OwnedRange,
    decode_assignment,
    encode_assignment,
)

RANGES_PER_CHUNK = 256
# The loss of one target can change every chunk, and each write counts against
# the call budget of the daemon. Only too large chunks raise the number.
PREFERRED_CHUNKS = 32
MAX_RANGES_PER_CHUNK = 8192
MAX_CHUNK_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an assignment, addressed by its digest.

    Parameters
    ----------
    digest
        The SHA-256 of the content, in hexadecimal.
    content
        At most ``MAX_CHUNK_BYTES`` bytes.
    """

    digest: str
    content: bytes


def split_assignment(assignment: Assignment) -> tuple[Chunk, ...]:
    """Split an assignment into chunks.

    Parameters
    ----------
    assignment
        Ranges in order of their start.

    Returns
    -------
    tuple of Chunk
        The chunks in order of the hash space; their number is a power of two.
    """
    bits = _segment_bits(len(assignment.ranges))
    segments: list[list[OwnedRange]] = [[] for _ in range(1 << bits)]
    for owned in assignment.ranges:
        segments[owned.start >> (HASH_BITS - bits)].append(owned)
    return tuple(
        _chunk(Assignment(assignment.service, tuple(segment)))
        for segment in segments
    )


def new_chunks(
    chunks: tuple[Chunk, ...],
    stored: Head | None,
) -> tuple[Chunk, ...]:
    """Return the chunks that a stored head does not refer to yet."""
    known = frozenset(stored.chunks) if stored else frozenset()
    return tuple(chunk for chunk in chunks if chunk.digest not in known)


def assemble(
    service: str,
    head: Head,
    contents: Mapping[str, bytes],
) -> Result[Assignment, MalformedContent]:
    """Reassemble an assignment from chunks of an untrusted source.

    Parameters
    ----------
    service
        The service that the head belongs to.
    head
        The head, which lists the digests of the chunks.
    contents
        The bytes of each chunk by its digest.

    Returns
    -------
    Result
        The assignment, or the chunk or range at fault and the remedy.
    """
    ranges: list[OwnedRange] = []
    for digest in head.chunks:
        part = _decode_chunk(service, digest, contents.get(digest))
        if part.is_error():
            return Error(part.error)
        ranges.extend(part.ok.ranges)
    problem = _order_problem(ranges)
    if problem:
        return Error(MalformedContent(problem))
    return Ok(Assignment(service, tuple(ranges)))


def _segment_bits(count: int) -> int:
    preferred = min(-(-count // RANGES_PER_CHUNK), PREFERRED_CHUNKS)
    needed = -(-count // MAX_RANGES_PER_CHUNK)
    return max(preferred - 1, needed - 1, 0).bit_length()


def _chunk(part: Assignment) -> Chunk:
    content = encode_assignment(part)
    return Chunk(hashlib.sha256(content).hexdigest(), content)


def _decode_chunk(
    service: str,
    digest: str,
    content: bytes | None,
) -> Result[Assignment, MalformedContent]:
    if content is None:
        return _malformed(digest, 'is missing; read it from the store')
    if len(content) > MAX_CHUNK_BYTES:
        return _malformed(digest, f'has {len(content)} bytes; split it')
    if hashlib.sha256(content).hexdigest() != digest:
        return _malformed(digest, 'has other content; read it again')
    try:
        part = decode_assignment(content)
    except capnp.KjException:
        return _malformed(digest, 'is no assignment; read it again')
    if part.service != service:
        return _malformed(digest, f'belongs to {part.service!r}')
    return Ok(part)


def _malformed(
    digest: str, problem: str
) -> Result[Assignment, MalformedContent]:
    return Error(MalformedContent(f'assignment chunk {digest} {problem}'))


def _order_problem(ranges: list[OwnedRange]) -> str:
    for owned in ranges:
        if owned.start > owned.last or not owned.target:
            return f'assignment range {owned} is empty or has no owner'
    for left, right in pairwise(ranges):
        if left.last >= right.start:
            return f'assignment ranges {left} and {right} overlap'
    return ''
