"""Reserves blocks of loopback addresses that no other run uses."""

import socket

# Programs with fixed addresses, such as the benchmarks, use blocks outside
# this range.
BLOCKS = range(100, 250)
LOCK_PORT = 7699

_lock_sockets: list[socket.socket] = []


def reserve_block() -> int:
    """Returns the second octet of a block of loopback addresses.

    The addresses start with ``127.<octet>``. The block is reserved until this
    process ends. Test runs in parallel would otherwise bind the same fixed
    ports.

    :raises OSError: if all blocks are reserved.
    """
    for block in BLOCKS:
        lock_socket = socket.socket()
        try:
            lock_socket.bind((f'127.{block}.0.99', LOCK_PORT))
            # With SO_REUSEADDR another socket could bind a port that is
            # bound but not listening.
            lock_socket.listen()
        except OSError:
            lock_socket.close()
            continue
        _lock_sockets.append(lock_socket)
        return block
    raise OSError('all blocks of loopback addresses are reserved')
