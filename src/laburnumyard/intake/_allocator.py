"""Settings of the C library's allocator for large buffers that grow."""

import ctypes

# Options of ``mallopt`` in the GNU C library.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Buffers from this size on are mapped one by one, so that growing one moves no
# bytes and freeing one returns its memory to the system. It exceeds what is
# read from a socket at once (256 KiB): mapping that each time would be slow.
MAPPED_BYTES = 524_288
# Free memory at the end of the heap that is kept.
KEPT_BYTES = 4_194_304


def map_large_buffers() -> bool:
    """Map large buffers one by one; return whether the library can.

    By default the size from which buffers are mapped grows up to 32 MiB with
    each that is freed. Smaller ones that grow side by side are then moved in
    the heap and leave holes, which count as memory of the process.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    is_mapped = mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    is_trimmed = mallopt(M_TRIM_THRESHOLD, KEPT_BYTES)
    return bool(is_mapped and is_trimmed)
