"""Backend servers from the instance list of the platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One run of a backend server, from its start to its end.

    :ivar name: usually differs after each start.
    :ivar domain: its failure domain.
    :ivar slots: requests that it runs concurrently.
    :ivar is_leaving: whether it is draining, so must get no new requests.
    :ivar is_cold: whether it sustains only a low request rate yet.
    :ivar born: start time in Unix milliseconds, 0 if unknown.
    :ivar software_version: version of the server's own software; empty if the
        list does not say.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    is_leaving: bool
    is_cold: bool
    born: int
    software_version: str = ''

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
    """Returns the instances of a service that may receive requests.

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
