"""Settings of the C library's allocator.

By default glibc raises the size from which memory is mapped by itself to that
of the largest block that was freed.  Large buffers that grow side by side then
lie in the heap, where they leave gaps that are never returned to the system.

Example::

    allocator.map_large_blocks()
"""

import ctypes

# From this size on a block is mapped by itself, and returned once it is freed.
# Buffers that single reads fill are smaller.
MIN_MAPPED_BYTES = 131_072
# The number of the parameter in glibc's malloc.h.
_M_MMAP_THRESHOLD = -3


def map_large_blocks():
    """Fix the size from which blocks are mapped; return whether that works."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MIN_MAPPED_BYTES))
