"""Decodes the platform's settings file, lines of the form ``a.b=value``."""

import collections.abc
import dataclasses
import os
import typing

from .. import errors

FILE_VARIABLE = 'GREENGAGEGW_SETTINGS'
DEFAULT_FILE = '/etc/greengagegw/local.conf'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address that a role listens at, or connects to."""

    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the deployment's operators promise; times in seconds.

    :ivar revoke_seconds: until a revoked key is dead on every VM.
    :ivar stop_seconds: from SIGTERM to SIGKILL.
    :ivar silence_seconds: until a VM that went silent counts as gone.
    :ivar quota_slack: tokens beyond rate and burst in a window.
    :ivar retry_ratio: repeats for each request, in a window.
    :ivar retry_slack: repeats beyond the ratio, over all VMs.
    """

    revoke_seconds: float
    stop_seconds: float
    silence_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    directory_ttl_seconds: float
    quota_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """One process on the platform.

    :ivar regions: the region of each failure domain.
    :ivar internal_ports: first and last port that VMs use among themselves.
    :ivar seeds: hosts of control VMs.
    :ivar is_first_start: whether the deployment starts for the first time,
        with empty disks.
    :ivar lost_disks: how many disks may be lost at once.
    """

    name: str
    host: str
    region: str
    domain: str
    regions: dict[str, str]
    client_endpoint: Endpoint | None
    readiness_endpoint: Endpoint | None
    control_endpoint: Endpoint | None
    directory_endpoint: Endpoint | None
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    instance_list_endpoint: Endpoint
    max_lost_disks: int
    bounds: Bounds


def read(file: str | None = None) -> Settings:
    """Returns the settings of this process.

    :param file: by default, what the environment names.
    :raises SettingsError: with everything that is wrong.
    """
    file = file or os.environ.get(FILE_VARIABLE, DEFAULT_FILE)
    try:
        with open(file, encoding='utf-8') as opened:
            text = opened.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError((f'{file}: {error}',)) from error
    return decode(text)


class SettingsReader:
    """Takes values out of the file and collects what is wrong."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        self.problems: list[str] = []
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip() or line.startswith('#'):
                continue
            name, equals, value = line.partition('=')
            if not equals:
                self.problems.append(f'line {number}: no "=" in {line!r}')
            self.values[name.strip()] = value.strip()

    def parse(
        self,
        name: str,
        convert: collections.abc.Callable[[str], typing.Any],
        allowed: str,
        default: typing.Any = None,
    ) -> typing.Any:
        """Returns a converted value.

        :param allowed: what to tell about a value that is refused.
        :param default: taken when there is no value; None if there must be.
        """
        value = self.values.get(name, '')
        if not value:
            if default is None:
                self.problems.append(f'{name}: missing; {allowed}')
            return default
        try:
            return convert(value)
        except ValueError:
            self.problems.append(f'{name}: {value!r} is not {allowed}')
            return default

    def seconds(self, name: str, default: float, unit: float) -> float:
        """Returns seconds from a number in another unit."""

        def convert(value: str) -> float:
            return parse_non_negative(value) * unit

        return self.parse(name, convert, 'a positive number', default)


def parse_non_negative(value: str) -> float:
    number = float(value)
    if not 0 <= number < float('inf'):
        raise ValueError(value)
    return number


def parse_boolean(value: str) -> bool:
    if value not in ('true', 'false'):
        raise ValueError(value)
    return value == 'true'


def parse_endpoint(value: str) -> Endpoint:
    host, _, port = value.rpartition(':')
    if not host or not 0 < int(port) < 65536:
        raise ValueError(value)
    return Endpoint(host, int(port))


def parse_port_range(value: str) -> tuple[int, int]:
    first, last = (int(one) for one in value.split(','))
    if not 0 < first < last < 65536:
        raise ValueError(value)
    return first, last


def parse_seed_hosts(value: str) -> tuple[str, ...]:
    return tuple(parse_endpoint(one.strip()).host for one in value.split(','))


def decode(text: str) -> Settings:
    """Returns settings from the text of the file.

    :raises SettingsError: with everything that is wrong.
    """
    fields = SettingsReader(text)
    regions = {
        name.removeprefix('zones.'): value
        for name, value in fields.values.items()
        if name.startswith('zones.')
    }

    def listener(name: str) -> Endpoint | None:
        if f'listen.{name}' not in fields.values:
            return None
        return fields.parse(f'listen.{name}', parse_endpoint, 'host:port')

    settings = Settings(
        name=fields.parse('nodeName', str, 'a name'),
        host=fields.parse('ip', str, 'an IPv4 address'),
        region=fields.parse('region', str, 'a name'),
        domain=fields.parse('zone', str, 'a name'),
        regions=regions,
        client_endpoint=listener('front'),
        readiness_endpoint=listener('ready'),
        control_endpoint=listener('control'),
        directory_endpoint=listener('directory'),
        internal_port_range=fields.parse(
            'internalPortRange',
            parse_port_range,
            'two ports, the lower one first',
        ),
        seeds=fields.parse(
            'seeds', parse_seed_hosts, 'a list of host:port', ()
        ),
        is_first_start=fields.parse(
            'bootstrap', parse_boolean, 'true or false', False
        ),
        data_folder=fields.parse('dataDir', str, 'a folder', ''),
        instance_list_endpoint=fields.parse(
            'cloud.address', parse_endpoint, 'host:port'
        ),
        max_lost_disks=fields.parse(
            'faultTolerance.machines', int, 'a whole number', 1
        ),
        bounds=Bounds(
            revoke_seconds=fields.seconds('bounds.revokeMs', 5.0, 0.001),
            stop_seconds=fields.seconds('bounds.graceS', 8.0, 1.0),
            silence_seconds=fields.seconds('bounds.contactMs', 5.0, 0.001),
            retry_ratio=fields.parse(
                'bounds.retryBudgetRatio', parse_non_negative, 'a number', 0.2
            ),
            retry_slack=fields.parse(
                'bounds.retrySlack', parse_non_negative, 'a number', 0.0
            ),
            retry_window=fields.seconds('bounds.budgetWindowS', 10.0, 1.0),
            quota_slack=fields.parse(
                'bounds.quotaSlack', parse_non_negative, 'a number', 0.0
            ),
            directory_ttl_seconds=fields.seconds('bounds.ttl_max_s', 2.0, 1.0),
        ),
    )
    if fields.problems:
        raise errors.SettingsError(tuple(fields.problems))
    return settings
