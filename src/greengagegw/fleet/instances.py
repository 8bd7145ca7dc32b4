"""The backend servers that the platform lists."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One start of a backend server.

    :ivar name: changes with each start, mostly.
    :ivar domain: its failure domain.
    :ivar slots: requests that it runs at once.
    :ivar is_leaving: whether it must get nothing new.
    :ivar is_cold: whether it bears only a low rate of requests.
    :ivar born: Unix milliseconds of its start, 0 if it is not told.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    is_leaving: bool
    is_cold: bool
    born: int

    def pack(self) -> list:
        return list(dataclasses.astuple(self))

    @classmethod
    def unpack(cls, values: list) -> 'Instance':
        return cls(*values)


def usable(
    instances: dict[str, Instance],
    service: str,
    region: str,
    regions: dict[str, str],
    evacuated: frozenset[str],
) -> list[Instance]:
    """Returns the instances of a service that may get requests.

    :param regions: the region of each failure domain.
    """
    return [
        one
        for one in instances.values()
        if one.service == service
        and regions.get(one.domain) == region
        and not one.is_leaving
        and one.domain not in evacuated
    ]
