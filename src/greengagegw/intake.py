"""The limits that all listeners of a process share."""

import eliot

from . import connection_limit
from . import machine
from . import request_memory
from . import timers as timer_service

# A crowd is reported at most so often.
REPORT_INTERVAL_SECONDS = 1.0


class Intake:
    """The memory and the connections of the clients of a process.

    :param client_listeners: listeners that share what clients may use.
    """

    def __init__(
        self,
        limits: machine.MachineLimits,
        timers: timer_service.Timers,
        client_listeners: int = 1,
    ) -> None:
        self.limits = limits
        self.timers = timers
        self.client_listeners = client_listeners
        self.connection_limits = connection_limit.find_limits(limits)
        self.memory = request_memory.RequestMemory(
            request_memory.divide(limits), timers.now
        )
        self.listeners: list[connection_limit.ConnectionLimit] = []
        self.reported: dict[str, int] = {}

    def limit_clients(self) -> connection_limit.ConnectionLimit:
        """Returns the limit of a listener for clients or operators."""
        return self.limit(
            max(1, self.connection_limits.clients // self.client_listeners)
        )

    def limit_internal(self) -> connection_limit.ConnectionLimit:
        """Returns the limit of a listener for few known callers."""
        return self.limit(self.connection_limits.internal)

    def limit(self, max_connections: int) -> connection_limit.ConnectionLimit:
        limit = connection_limit.ConnectionLimit(max_connections, self.memory)
        self.listeners.append(limit)
        return limit

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return sum(len(one.connections) for one in self.listeners)

    @property
    def max_connections(self) -> int:
        """Connections that may be open."""
        return sum(one.max_connections for one in self.listeners)

    def start_reporting(self) -> None:
        """Logs rejections, in one line for all of an interval."""
        self.report()
        self.timers.call_later(REPORT_INTERVAL_SECONDS, self.start_reporting)

    def report(self) -> None:
        rejections = dict(self.memory.rejections)
        if rejections == self.reported:
            return
        eliot.log_message(
            'intake:rejected',
            rejected={
                reason: count - self.reported.get(reason, 0)
                for reason, count in rejections.items()
                if count != self.reported.get(reason, 0)
            },
            held_bytes=self.memory.held_bytes,
            max_bytes=self.memory.limits.request_bytes,
            connections=self.connections,
            max_connections=self.max_connections,
        )
        self.reported = rejections
