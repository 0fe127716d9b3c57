"""Bucket digests that locate the differences between two member tables."""

import struct
from collections.abc import Iterable
from functools import lru_cache

import xxhash

from laburnumyard.schema._generated import messages

BUCKETS = 64
# Number of members whose digests are cached.
DIGEST_CACHE_SIZE = 4096
BUCKETS_LAYOUT = struct.Struct(f'>{BUCKETS}Q')


@lru_cache(DIGEST_CACHE_SIZE)
def bucket_of(daemon: str) -> int:
    """Return the bucket of a member."""
    return xxhash.xxh3_64_intdigest(daemon.encode()) % BUCKETS


@lru_cache(DIGEST_CACHE_SIZE)
def digest_of(record: messages.Member) -> int:
    """Return the digest of the fields on which two tables should agree."""
    fields = (
        f'{record.daemon}\n{record.incarnation}\n{record.leaving}\n'
        f'{record.refutation}\n{record.suspected}'
    )
    return xxhash.xxh3_64_intdigest(fields.encode())


def digest_buckets(members: Iterable[messages.Member]) -> tuple[int, ...]:
    """Return the digest of each bucket.

    Parameters
    ----------
    members
        One record for each member.

    Returns
    -------
    tuple of int
        One 64-bit digest per bucket, independent of the order of `members`.
    """
    buckets = [0 for _ in range(BUCKETS)]
    for record in members:
        buckets[bucket_of(record.daemon)] ^= digest_of(record)
    return tuple(buckets)


def pack_buckets(buckets: tuple[int, ...]) -> bytes:
    """Encode bucket digests."""
    return BUCKETS_LAYOUT.pack(*buckets)


def unpack_buckets(content: bytes) -> tuple[int, ...] | None:
    """Decode untrusted bucket digests, or return None for a wrong length."""
    if len(content) != BUCKETS_LAYOUT.size:
        return None
    return BUCKETS_LAYOUT.unpack(content)


def join_buckets(buckets: tuple[int, ...]) -> int:
    """Combine bucket digests into one digest of the whole table."""
    return xxhash.xxh3_64_intdigest(pack_buckets(buckets))
