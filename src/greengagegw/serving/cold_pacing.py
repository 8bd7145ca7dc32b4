"""Paces what a cold backend server gets from all entry VMs together.

The load pattern behind it: servers that have just started bear a few
requests a second, and break down under the share of a warm one.
"""

from . import placement


def count_sharing_vms(
    entry_vm: str, entry_vms: list[str], server: str, rate: float
) -> int:
    """Returns how many entry VMs share a cold server; 0 for others.

    Each of a few VMs, found by hashing, may send its share, so that the sum
    holds without a message.

    :param entries: the entry VMs of the server's region.
    :param rate: requests a second that the server bears.
    """
    max_count = max(1, min(len(entry_vms), int(rate)))
    ranked = sorted(
        entry_vms, key=lambda one: placement.rendezvous_score(server, one)
    )
    return max_count if entry_vm in ranked[:max_count] else 0


class SendPacer:
    """The sends of this VM to one cold server.

    :param now: when the pace begins; the first send is a share later.
    """

    def __init__(self, now: float) -> None:
        self.next_at = now

    def try_acquire(self, now: float, rate: float) -> bool:
        """Takes one send at a rate a second, without any burst."""
        if now < self.next_at or rate <= 0:
            return False
        self.next_at = now + 1 / rate
        return True
