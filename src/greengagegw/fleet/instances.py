"""Backend servers from the instance list of the platform."""

import dataclasses
import functools
import ipaddress
import re
import typing

import eliot

from .. import errors

# Limits of a field that are far above what is in use. A list of
# MAX_INSTANCES with fields of this size fits into a frame between VMs.
MAX_FIELD_BYTES = 200
MAX_INSTANCES = 12_000
# Far above the slots of any server; more would overflow in the predictions.
MAX_SLOTS = 1_000_000
# Largest whole number that JSON writers and readers agree on.
MAX_BORN_MS = 2**53
MAX_PORT = 65535
PORT = re.compile(r'[0-9]{1,5}', re.ASCII)
# Labels as in names of hosts and in IPv4 addresses.
HOST = re.compile(r'[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*+', re.ASCII)
# The texts of a list are the same in nearly all readings.
CHECKED_TEXTS = 16384
# Invalid instances of a list of another VM that are logged one by one.
MAX_LOGGED_INSTANCES = 5


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
        """Returns a checked instance from its ``pack`` form.

        :raises InvalidInstanceError: if a value is not what it should be.
        """
        try:
            instance = cls(*values)
        except TypeError as error:
            raise errors.InvalidInstanceError(str(error)) from error
        check(instance)
        return instance


def unpack_valid(packed: typing.Any) -> list[Instance]:
    """Returns the valid instances of a list that another VM has sent.

    A VM of an earlier release may hold entries that are invalid here. They
    are logged.

    :raises PeerProtocolError: if it is not a list.
    """
    if not isinstance(packed, list):
        raise errors.PeerProtocolError('an instance list is not a list')
    valid = []
    invalid_count = 0
    for one in packed:
        try:
            valid.append(Instance.unpack(one))
        except errors.InvalidInstanceError as error:
            invalid_count += 1
            if invalid_count <= MAX_LOGGED_INSTANCES:
                eliot.log_message(
                    'instances:bad_of_peer', reason=error.message
                )
    if invalid_count:
        eliot.log_message('instances:dropped_of_peer', count=invalid_count)
    return valid


def check(instance: Instance) -> None:
    """Checks the types and ranges of the fields of an instance.

    :raises InvalidInstanceError: if a field is invalid.
    """
    check_text('name', instance.name)
    check_text('service', instance.service)
    check_text('domain', instance.domain)
    if instance.software_version != '':
        check_text('software version', instance.software_version)
    check_text('address', instance.address)
    check_address(instance.address)
    check_integer('slots', instance.slots, 1, MAX_SLOTS)
    check_integer('start time', instance.born, 0, MAX_BORN_MS)
    if type(instance.is_leaving) is not bool:
        raise errors.InvalidInstanceError('the leaving flag is not a boolean')
    if type(instance.is_cold) is not bool:
        raise errors.InvalidInstanceError('the cold flag is not a boolean')


def check_text(field: str, value: typing.Any) -> None:
    """Checks a text, which may get into a header or a log line.

    :raises InvalidInstanceError: if it is empty, too long or not printable.
    """
    if not isinstance(value, str) or not value:
        raise errors.InvalidInstanceError(
            f'the {field} is not a non-empty string'
        )
    if len(value) > MAX_FIELD_BYTES:
        raise errors.InvalidInstanceError(
            f'the {field} is over {MAX_FIELD_BYTES} characters'
        )
    fault = find_text_fault(value)
    if fault is not None:
        raise errors.InvalidInstanceError(f'the {field} {fault}')


@functools.lru_cache(maxsize=CHECKED_TEXTS)
def find_text_fault(value: str) -> str | None:
    if not value.isprintable() or value != value.strip():
        return 'has spaces around it or unprintable characters'
    if len(value.encode()) > MAX_FIELD_BYTES:
        return f'is over {MAX_FIELD_BYTES} bytes'
    return None


def check_integer(
    field: str, value: typing.Any, minimum: int, maximum: int
) -> None:
    if type(value) is not int or not minimum <= value <= maximum:
        raise errors.InvalidInstanceError(
            f'the {field} is not a whole number from {minimum} to {maximum}'
        )


def check_address(address: str) -> None:
    """Checks that an address has a host and a port.

    :raises InvalidInstanceError: if it has not.
    """
    fault = find_address_fault(address)
    if fault is not None:
        raise errors.InvalidInstanceError(fault)


@functools.lru_cache(maxsize=CHECKED_TEXTS)
def find_address_fault(address: str) -> str | None:
    host, _, port = address.rpartition(':')
    if PORT.fullmatch(port) is None or not 0 < int(port) <= MAX_PORT:
        return f'the port of the address is not from 1 to {MAX_PORT}'
    if HOST.fullmatch(host) is None and not is_ipv6(host):
        return 'the host of the address is not a name or an IP address'
    return None


def is_ipv6(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return True


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
