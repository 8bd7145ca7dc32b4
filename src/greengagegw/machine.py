"""The memory and the file descriptors that a process may use."""

import dataclasses
import os
import resource


@dataclasses.dataclass(frozen=True, slots=True)
class MachineLimits:
    """What a process may use of its machine.

    :ivar memory_bytes: resident memory, with what the kernel has received
        for its sockets.
    :ivar descriptors: open file descriptors.
    """

    memory_bytes: int
    descriptors: int


def find_limits(memory_bytes: int, descriptors: int) -> MachineLimits:
    """Returns the limits of this process.

    :param memory_bytes: as in the settings; 0 for the memory of the machine.
    :param descriptors: as in the settings; 0 for the resource limit. A lower
        resource limit goes before the settings.
    """
    if not memory_bytes:
        memory_bytes = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY:
        descriptors = min(descriptors or allowed, allowed)
    return MachineLimits(memory_bytes, descriptors)
