"""Print what an assignment of many ranges costs a daemon.

``python -m bench.control.assignments`` measures one service with 25,600 ranges
in 100 chunks: its bytes in the store, its memory once decoded, and the patch
that one moved range makes.
"""

import time
import tracemalloc

from bench.control.store import make_document, read_head
from laburnumyard.core.dissemination import DocumentName
from laburnumyard.core.dissemination._patches import PatchApplier, make_patch
from laburnumyard.schema._generated import messages

NAME = DocumentName('assignment/orders')
CHUNKS = 100
RANGES_PER_CHUNK = 256
LIMIT_BYTES = 1 << 24
# Spreads the ranges over the hash space.
RANGE_BITS = 49
MICROSECONDS = 1e6
KIB = 1024


def chunk_of(number: int, owner: str = '') -> bytes:
    """Return a chunk; an owner, if given, has taken its seventh range."""
    ranges = tuple(
        messages.OwnedRange(
            start=(number * RANGES_PER_CHUNK + place) << RANGE_BITS,
            last=((number * RANGES_PER_CHUNK + place + 1) << RANGE_BITS) - 1,
            target=owner if owner and place == 7 else f'orders-{place % 9}',
        )
        for place in range(RANGES_PER_CHUNK)
    )
    return messages.encode_assignment(
        messages.Assignment(service='orders', ranges=ranges),
    )


def decoded_kib(contents: tuple[bytes, ...]) -> float:
    """Return the memory of the decoded ranges."""
    tracemalloc.start()
    decoded = tuple(map(messages.decode_assignment, contents))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    if len(decoded) != CHUNKS:
        raise RuntimeError(f'{len(decoded)} chunks instead of {CHUNKS}')
    return size / KIB


def main() -> None:
    """Measure one service."""
    contents = tuple(map(chunk_of, range(CHUNKS)))
    moved = (*contents[:40], chunk_of(40, 'orders-10'), *contents[41:])
    old = make_document(NAME, 1, contents)
    new = make_document(NAME, 2, moved)
    packed_kib = sum(map(len, contents)) / KIB
    print(f'assignment.ranges={CHUNKS * RANGES_PER_CHUNK}')
    print(f'assignment.packed_kib={packed_kib:.0f}')
    print(f'assignment.decoded_kib={decoded_kib(contents):.0f}')
    started = time.process_time()
    patch = make_patch(old, new)
    made = time.process_time()
    PatchApplier(read_head, LIMIT_BYTES).apply(NAME, old, patch)
    applied = time.process_time()
    print(f'assignment.move_patch_bytes={len(patch)}')
    print(f'assignment.make_patch_us={(made - started) * MICROSECONDS:.0f}')
    print(f'assignment.apply_patch_us={(applied - made) * MICROSECONDS:.0f}')


if __name__ == '__main__':
    main()
