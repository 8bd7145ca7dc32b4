"""Settings of the C library's memory allocator."""

import ctypes

# Parameter of mallopt in the GNU C library.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Makes the allocator return large blocks to the system when freed.

    By default it raises the size from which it does so up to 32 MiB. Bodies
    are then kept between small blocks, and a process keeps the memory of a
    crowd after the crowd has gone.

    :returns: whether the C library has such a setting.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return bool(mallopt and mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
