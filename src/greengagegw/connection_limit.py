"""How many connections a listener accepts, and which one gives way."""

import collections.abc
import dataclasses

from . import machine
from . import request_memory

# Descriptors of the program, its log and its timers.
FILE_DESCRIPTORS = 200
# Part of the other descriptors that accepted connections may use. The rest is
# for backend servers, peers and files.
ACCEPTED_SHARE = 0.6
HANDSHAKE_SHARE = 0.1
# Connections of a listener that only machines of the platform use.
MAX_INTERNAL_CONNECTIONS = 32
# An incomplete request without progress for so long may give way.
STALLED_SECONDS = 1.0
# A client that has connected has at least so long to send the head of its
# request before its connection may give way. Most send it at once; of a crowd
# of 600 that connect again, each gets one of 60 places within a second.
MIN_WAITING_SECONDS = 0.1
# A connection that has served and is idle for so long gives way before one
# that has just come.
IDLE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections the listeners of a process may have open.

    :ivar clients: of all listeners for clients or operators together.
    :ivar internal: of each other listener.
    :ivar handshakes: of peers that are not authenticated yet.
    """

    clients: int
    internal: int
    handshakes: int


def find_limits(limits: machine.MachineLimits) -> ConnectionLimits:
    """Returns the limits on connections that a machine allows."""
    available = max(limits.descriptors - FILE_DESCRIPTORS, 0)
    accepted = max(int(available * ACCEPTED_SHARE), 4)
    internal = min(MAX_INTERNAL_CONNECTIONS, accepted // 4)
    by_memory = request_memory.divide(limits).connections
    return ConnectionLimits(
        max(min(accepted - 2 * internal, by_memory), 1),
        max(internal, 1),
        max(int(available * HANDSHAKE_SHARE), 4),
    )


class Connection:
    """What the limit needs to know of a connection.

    :param abort: closes it at once.
    :ivar has_served: whether it has had a complete response.
    :ivar waiting_since: timer seconds since which it has had no request.
    """

    __slots__ = ('abort', 'has_served', 'holding', 'waiting_since')

    def __init__(
        self,
        holding: request_memory.Holding,
        abort: collections.abc.Callable[[], None],
    ) -> None:
        self.holding = holding
        self.abort = abort
        self.has_served = False
        self.waiting_since = 0.0


class ConnectionLimit:
    """Limits the connections of a listener.

    :ivar waiting: connections without a request that runs or whose body
        arrives, longest waiting first: new ones, and those that have served.
    """

    def __init__(
        self, max_connections: int, memory: request_memory.RequestMemory
    ) -> None:
        self.max_connections = max_connections
        self.memory = memory
        self.connections: set[Connection] = set()
        self.waiting: dict[bool, dict[Connection, None]] = {
            False: {},
            True: {},
        }

    def seconds_until_room(self, opening: int = 0) -> float:
        """Returns in how long a connection may be accepted.

        :param opening: connections that are accepted and not admitted yet.
        """
        if len(self.connections) + opening < self.max_connections:
            return 0.0
        waiting = self.find_waiting()
        if waiting is None or waiting.has_served:
            # If none waits, a stalled request gives way, or the new one is
            # refused.
            return 0.0
        return max(0.0, MIN_WAITING_SECONDS - self.waited_seconds(waiting))

    def admit(self, connection: Connection) -> bool:
        """Adds a connection, for which another one may be closed.

        :returns: False if it has to be closed itself.
        """
        if len(self.connections) >= self.max_connections:
            victim = self.find_waiting()
            if victim is not None:
                self.memory.rejections['connections'] += 1
                self.remove(victim)
                victim.abort()
            elif not self.end_stalled():
                self.memory.rejections['connections'] += 1
                return False
        self.connections.add(connection)
        self.start_waiting(connection)
        return True

    def find_waiting(self) -> Connection | None:
        """Returns the connection that gives way, None if all serve."""
        new, idle = (next(iter(one), None) for one in self.waiting.values())
        if new is None or (
            idle is not None
            and self.waited_seconds(new) < MIN_WAITING_SECONDS
            and self.waited_seconds(idle) >= IDLE_SECONDS
        ):
            return idle
        return new

    def waited_seconds(self, connection: Connection) -> float:
        return self.memory.now() - connection.waiting_since

    def end_stalled(self) -> bool:
        """Closes the connection whose request has stalled for longest.

        :returns: whether there is one.
        """
        stalled_before = self.memory.now() - STALLED_SECONDS
        stalled = [
            one
            for one in self.connections
            if one.holding.phase in request_memory.RECLAIMABLE
            and one.holding.progressed_at < stalled_before
        ]
        if not stalled:
            return False
        victim = min(stalled, key=lambda one: one.holding.progressed_at)
        self.memory.rejections['connections'] += 1
        self.remove(victim)
        victim.abort()
        return True

    def start_waiting(self, connection: Connection) -> None:
        """Notes that a connection has no request."""
        if connection in self.connections:
            connection.waiting_since = self.memory.now()
            self.waiting[connection.has_served][connection] = None

    def stop_waiting(self, connection: Connection) -> None:
        """Notes that a request has begun on a connection."""
        self.waiting[connection.has_served].pop(connection, None)

    def remove(self, connection: Connection) -> None:
        self.stop_waiting(connection)
        self.connections.discard(connection)
