"""Limits the request rate that all entry VMs send to a cold backend server.

A server that has just started handles only a few requests a second and fails
under the load of a warm one.
"""

from . import placement


def count_sharing_vms(
    entry_vm: str, entry_vms: list[str], server: str, rate: float
) -> int:
    """Returns how many entry VMs may send to a cold server.

    Rendezvous hashing selects the same VMs on every entry VM, so that their
    shares add up to the rate without any message between them.

    :param entry_vm: the VM that asks.
    :param entry_vms: the entry VMs of the server's region.
    :param rate: requests a second that the server can handle.
    :returns: the number of VMs that share the rate; 0 if ``entry_vm`` is not
        one of them.
    """
    max_count = max(1, min(len(entry_vms), int(rate)))
    ranked = sorted(
        entry_vms, key=lambda one: placement.rendezvous_score(server, one)
    )
    return max_count if entry_vm in ranked[:max_count] else 0


class SendPacer:
    """Spaces the requests of this VM to one cold server evenly.

    :param now: timer seconds from which requests may be sent.
    """

    def __init__(self, now: float) -> None:
        self.next_at = now

    def try_acquire(self, now: float, rate: float) -> bool:
        """Takes a permit to send one request, without allowing bursts.

        :param rate: requests a second.
        :returns: whether a request may be sent now.
        """
        if now < self.next_at or rate <= 0:
            return False
        self.next_at = now + 1 / rate
        return True
