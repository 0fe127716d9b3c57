"""Cost class of a request: what it shows of its cost, as one number.

Gateways compute it, and the coordinator of a service learns how much work the
requests of each class are. A class consists of three parts, from the coarsest
to the finest: method and shape of the path, size of the body, range of the key.
"""

import re
from zlib import crc32

from laburnumyard.core.ids import ShardKey

HASH_BITS = 32
SHAPE_BITS = 12
SIZE_BITS = 4
RANGE_BITS = 6
# Bits of the finer parts, which a coarser class leaves out.
SIZE_SHIFT = RANGE_BITS
SHAPE_SHIFT = RANGE_BITS + SIZE_BITS
# Set in every class, so that none is 0.
KNOWN = 1 << (SHAPE_SHIFT + SHAPE_BITS)
# A key range has 2 ** 11 of the 65,536 keys; 0 stands for no key.
KEY_RANGE_SHIFT = 11
# Sizes differ by a factor of four from one class to the next.
SIZE_CLASS_BITS = 2
# Only the beginning of a long path counts, which bounds the time for it.
MAX_SHAPE_CHARS = 256
# Path segments and values of a query that name one of many things.
IDENTIFIER = re.compile(r'(?<=[/=])[^/?&=]*[0-9][^/?&=]*')


def cost_class(method: str, path: str, size: int, key: ShardKey | None) -> int:
    """Return the cost class of a request; never 0.

    Parameters
    ----------
    method, path
        Its method, and its path with the query.
    size
        Size of its body, in bytes.
    key
        Its shard key, None without one.
    """
    shape = f'{method} {path_shape(path)}'.encode('utf-8', 'replace')
    shape_hash = crc32(shape) >> (HASH_BITS - SHAPE_BITS)
    size_class = min(
        (1 << SIZE_BITS) - 1, (size.bit_length() + 1) // SIZE_CLASS_BITS
    )
    key_range = 0 if key is None else 1 + (key >> KEY_RANGE_SHIFT)
    return (
        KNOWN | shape_hash << SHAPE_SHIFT | size_class << SIZE_SHIFT | key_range
    )


def path_shape(path: str) -> str:
    """Return a path with one sign for each part that names a thing."""
    return IDENTIFIER.sub('*', path[:MAX_SHAPE_CHARS])


def coarser_classes(number: int) -> tuple[int, int, int]:
    """Return a class with one, two and all three of its parts."""
    return (
        number >> SHAPE_SHIFT << SHAPE_SHIFT,
        # The bits of the key range are all set in no class.
        number >> SIZE_SHIFT << SIZE_SHIFT | (1 << RANGE_BITS) - 1,
        number,
    )
