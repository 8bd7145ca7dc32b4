"""Limits the request rate that all entry VMs send to one backend server.

A server that has just started handles only a few requests a second and fails
under the load of a warm one. A server in need names its own limit.
"""

import math

from . import placement


def count_sharing_vms(
    entry_vm: str, entry_vms: list[str], server: str, max_count: int
) -> int:
    """Returns how many entry VMs may send to a limited server.

    Rendezvous hashing selects the same VMs on every entry VM, so that their
    shares add up to the rate without any message between them.

    :param entry_vm: the VM that asks.
    :param entry_vms: the entry VMs of the server's region.
    :param max_count: how many of them may.
    :returns: the number of VMs that share the rate; 0 if ``entry_vm`` is not
        one of them.
    """
    max_count = max(1, min(len(entry_vms), max_count))
    ranked = sorted(
        entry_vms, key=lambda one: placement.rendezvous_score(server, one)
    )
    return max_count if entry_vm in ranked[:max_count] else 0


class SendPacer:
    """Spaces the requests of this VM to one limited server evenly.

    :ivar last_at: timer seconds of the last request; infinitely long ago if
        there was none.
    """

    def __init__(self) -> None:
        self.last_at = -math.inf

    def next_at(self, rate: float) -> float:
        """Returns the timer seconds from which a request may be sent.

        :param rate: requests a second; infinite without a limit.
        """
        return self.last_at + 1 / rate if rate > 0 else math.inf

    def record_send(self, now: float) -> None:
        self.last_at = now
