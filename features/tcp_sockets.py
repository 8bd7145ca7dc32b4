"""The TCP sockets of this process, whichever library opened them."""

import os
import socket


def open_sockets():
    """Yields copies of the connected TCP sockets, for their options."""
    for name in os.listdir('/proc/self/fd'):
        try:
            one = socket.socket(fileno=os.dup(int(name)))
        except OSError:
            # Not a socket, or closed meanwhile.
            continue
        is_tcp = (one.family, one.type) == (
            socket.AF_INET,
            socket.SOCK_STREAM,
        )
        if is_tcp and is_connected(one):
            yield one
        else:
            one.close()


def is_connected(one):
    try:
        one.getpeername()
    except OSError:
        return False
    return True


def gives_up_early(one):
    """Returns whether TCP_USER_TIMEOUT ends keep-alive probes early."""

    def option(name):
        return one.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))

    probes_seconds = option('TCP_KEEPIDLE') + (
        option('TCP_KEEPINTVL') * option('TCP_KEEPCNT')
    )
    milliseconds = option('TCP_USER_TIMEOUT')
    return 0 < milliseconds < 1000 * probes_seconds
