"""Loopback addresses that no other run on this machine uses."""

import socket

# 127.100.x.x to 127.249.x.x are left to runs that take theirs here.
BLOCKS = range(100, 250)
GUARD_PORT = 7699

_guards: list[socket.socket] = []


def take_block() -> int:
    """Returns a second number of loopback addresses, held by this process.

    Two runs of the tests side by side would otherwise meet at fixed ports.

    :raises OSError: if all are taken.
    """
    for block in BLOCKS:
        guard = socket.socket()
        try:
            guard.bind((f'127.{block}.0.99', GUARD_PORT))
            # A port that is bound only can be bound again where addresses
            # are reused.
            guard.listen()
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return block
    raise OSError('every block of loopback addresses is taken')
