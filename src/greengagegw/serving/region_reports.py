"""Reports of entry VMs that are summed over a region.

A report has numbers for each server and numbers for the VM, by name. Names
that a VM does not know are summed like the others, so that a later release
can add some.
"""

import collections.abc
import contextlib
import math
import operator
import typing

from ..ports import peers

TOKENS = 'tokens'
REQUESTS = 'requests'


class Report:
    """Numbers by server and name, and further numbers by name.

    :ivar servers: numbers by server and name.
    :ivar sums: numbers that belong to no server, by name.
    """

    __slots__ = ('servers', 'sums')

    def __init__(
        self,
        servers: dict[str, dict[str, float]] | None = None,
        sums: dict[str, float] | None = None,
    ) -> None:
        self.servers = {} if servers is None else servers
        self.sums = {} if sums is None else sums

    def __bool__(self) -> bool:
        return bool(self.servers or self.sums)

    def copy(self) -> 'Report':
        """Returns a report that shares the numbers of single servers."""
        return Report(dict(self.servers), dict(self.sums))

    def add(self, other: 'Report') -> None:
        """Adds a report, without changing numbers of a shared server."""
        for server, values in other.servers.items():
            known = self.servers.get(server)
            self.servers[server] = (
                values if known is None else add_values(known, values, 1)
            )
        self.sums = add_values(self.sums, other.sums, 1)

    @classmethod
    def sum(cls, reports: collections.abc.Iterable['Report']) -> 'Report':
        """Returns the sum of reports, which are not changed."""
        result = cls()
        for one in reports:
            for server, values in one.servers.items():
                known = result.servers.get(server)
                if known is None:
                    result.servers[server] = values.copy()
                else:
                    add_in_place(known, values)
            add_in_place(result.sums, one.sums)
        return result

    def subtract(self, other: 'Report') -> None:
        """Subtracts a report that was added."""
        for server, values in other.servers.items():
            left = add_values(self.servers.get(server, {}), values, -1)
            # The rest of a sum of floating-point numbers may not be 0.
            if left.get(REQUESTS, 0.0) < 1:
                self.servers.pop(server, None)
            else:
                self.servers[server] = left
        self.sums = add_values(self.sums, other.sums, -1)

    def pack(self, has_sums: bool = True) -> list:
        """Returns the report as a message.

        The names of the numbers are sent once and not for each server.

        :param has_sums: whether it contains the sums, or says that they are
            those of an earlier message.
        """
        rest = [self.sums] if has_sums else [{}, True]
        names = sorted({name for one in self.servers.values() for name in one})
        if len(names) > 1:
            get_all = operator.itemgetter(*names)
            with contextlib.suppress(KeyError):
                servers = {
                    server: get_all(values)
                    for server, values in self.servers.items()
                }
                return [names, servers, *rest]
        servers = {
            server: [values.get(name, 0) for name in names]
            for server, values in self.servers.items()
        }
        return [names, servers, *rest]

    @classmethod
    def unpack(cls, packed: typing.Any) -> 'Report':
        """Returns the report of a message; later elements are ignored.

        :raises ValueError: or TypeError if the message is malformed.
        """
        names, servers, sums, *_ = packed
        names = [str(name) for name in names]
        unpacked = {}
        for server, values in servers.items():
            # Raises TypeError for a value that is not a number. One that is
            # not a number in the sense of IEEE 754 would stay in all sums.
            if math.isnan(sum(values)):
                raise ValueError('a report with a value that is no number')
            unpacked[str(server)] = dict(zip(names, values, strict=True))
        return cls(
            unpacked,
            {
                str(name): float(peers.check_number(value))
                for name, value in sums.items()
            },
        )


def add_in_place(values: dict[str, float], others: dict[str, float]) -> None:
    for name, value in others.items():
        values[name] = values.get(name, 0) + value


def add_values(
    values: dict[str, float], others: dict[str, float], factor: int
) -> dict[str, float]:
    """Returns the sum, or with factor -1 the difference, but at least 0."""
    result = dict(values)
    for name, value in others.items():
        changed = result.get(name, 0) + factor * value
        result[name] = changed if changed > 0 else 0
    return result
