"""Digests by which two member tables find out where they differ."""

import struct
from collections.abc import Iterable
from functools import lru_cache

import xxhash

from laburnumyard.schema._generated import messages

BUCKETS = 64
# How many members' digests are kept.
CACHED = 4096
LAYOUT = struct.Struct(f'>{BUCKETS}Q')


@lru_cache(CACHED)
def bucket_of(daemon: str) -> int:
    """Return the bucket of a member."""
    return xxhash.xxh3_64_intdigest(daemon.encode()) % BUCKETS


@lru_cache(CACHED)
def digest_of(news: messages.Member) -> int:
    """Return the digest of what two tables should agree on."""
    fields = (
        f'{news.daemon}\n{news.incarnation}\n{news.leaving}\n'
        f'{news.refutation}\n{news.suspected}'
    )
    return xxhash.xxh3_64_intdigest(fields.encode())


def digest_buckets(members: Iterable[messages.Member]) -> tuple[int, ...]:
    """Return the digest of each bucket.

    Parameters
    ----------
    members
        What is said of each member.

    Returns
    -------
    tuple of int
        One number of 64 bits for each bucket, whatever the order of members.
    """
    buckets = [0 for _ in range(BUCKETS)]
    for news in members:
        buckets[bucket_of(news.daemon)] ^= digest_of(news)
    return tuple(buckets)


def pack_buckets(buckets: tuple[int, ...]) -> bytes:
    """Return the bytes of the digests."""
    return LAYOUT.pack(*buckets)


def unpack_buckets(content: bytes) -> tuple[int, ...] | None:
    """Return the digests of untrusted bytes, or None if they are none."""
    if len(content) != LAYOUT.size:
        return None
    return LAYOUT.unpack(content)


def join_buckets(buckets: tuple[int, ...]) -> int:
    """Return one digest of the whole table."""
    return xxhash.xxh3_64_intdigest(pack_buckets(buckets))
