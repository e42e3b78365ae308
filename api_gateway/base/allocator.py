"""How the C library's allocator keeps memory that the process has freed.

By default it keeps free memory between blocks that are in use, and uses its heap for ever larger blocks.
Under changing loads a process then holds several megabytes that nothing uses.
"""

from __future__ import annotations

import ctypes

# Blocks of this size and above are mapped apart from the heap, and returned to the system when freed.
MAPPED_BLOCK_BYTES = 16 * 1024
# The parameter of mallopt(3) for that size, from malloc.h; setting it also keeps it from growing.
M_MMAP_THRESHOLD = -3


def limit_retention() -> bool:
    """Make the allocator return large blocks when they are freed; return whether the C library can do so."""
    try:
        return bool(ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
    except (OSError, AttributeError):  # not the GNU C library
        return False


def release_free_memory() -> bool:
    """Return all free pages to the system; return whether there were any. It takes up to some 0.5 ms."""
    try:
        return bool(ctypes.CDLL(None).malloc_trim(0))
    except (OSError, AttributeError):
        return False
