"""Decodes the platform's settings file with lines like ``a.b=value``."""

import collections.abc
import dataclasses
import os
import re
import typing

from .. import errors

FILE_VARIABLE = 'GREENGAGEGW_SETTINGS'
# Part of the platform's rules that is in force where requests compete for
# capacity.
PRESSURE_CONTRACT = 'pressure'
BYTES_PER_MEGABYTE = 1_000_000
PORT = re.compile(r'[0-9]{1,5}', re.ASCII)
MAX_PORT = 65535
DEFAULT_FILE = '/etc/greengagegw/local.conf'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen on or to connect to."""

    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Service levels that the deployment has to meet; times in seconds.

    :ivar revoke_seconds: until every VM rejects a revoked key.
    :ivar stop_seconds: from SIGTERM to SIGKILL.
    :ivar silence_seconds: until a VM that does not respond counts as failed.
    :ivar retry_ratio: retries for each request, in a window.
    :ivar retry_slack: retries in a window beyond the ratio, over all VMs.
    :ivar retry_window: length of the window.
    :ivar directory_ttl_seconds: upper limit of the TTL of directory responses.
    :ivar quota_slack: tokens in a window beyond rate and burst.
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
    """The settings of one process.

    :ivar regions: the region of each failure domain.
    :ivar internal_port_range: first and last port for traffic between VMs.
    :ivar seeds: hosts of control VMs.
    :ivar is_first_start: whether the deployment starts for the first time,
        with empty disks.
    :ivar cores: processor cores that the process may use; 0 if unknown.
    :ivar memory_bytes: memory that the process may use; 0 if unknown.
    :ivar descriptors: file descriptors that the process may have open; 0 if
        unknown.
    :ivar divides_capacity: whether classes and organisations compete for
        capacity, so that overloaded services are divided among them.
    :ivar max_lost_disks: how many disks may be lost at the same time.
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
    cores: float = 0.0
    divides_capacity: bool = False
    memory_bytes: int = 0
    descriptors: int = 0


class SettingsFile:
    """The settings file of this process.

    :param file: its path; by default the one in the environment variable
        GREENGAGEGW_SETTINGS, or DEFAULT_FILE.
    """

    def __init__(self, file: str | None = None) -> None:
        self.file = file or os.environ.get(FILE_VARIABLE, DEFAULT_FILE)
        self.text = ''
        self.settings: Settings | None = None

    def read(self) -> Settings:
        """Returns the settings, which are decoded only if the text changed.

        The file is read each time, since its size and time of modification
        may be the same after a change.

        :raises SettingsError: with all problems of the file.
        """
        try:
            with open(self.file, encoding='utf-8') as opened:
                text = opened.read()
        except (OSError, UnicodeDecodeError) as error:
            raise errors.SettingsError((f'{self.file}: {error}',)) from error
        if self.settings is None or text != self.text:
            self.settings = None
            self.text = text
            self.settings = decode(text)
        return self.settings


def read(file: str | None = None) -> Settings:
    """Returns the settings of this process.

    :param file: as for :class:`SettingsFile`.
    :raises SettingsError: with all problems of the file.
    """
    return SettingsFile(file).read()


class SettingsReader:
    """Reads typed values from the settings text and collects the problems.

    :ivar problems: a message for each invalid line or value.
    """

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
        """Returns a converted value, or the default if there is none.

        :param allowed: description of valid values, for the error message.
        :param default: None if the value is required.
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
        """Returns a duration in seconds.

        :param unit: length in seconds of the unit in the file.
        """

        def convert(value: str) -> float:
            return parse_non_negative(value) * unit

        return self.parse(name, convert, 'a non-negative number', default)


def parse_non_negative(value: str) -> float:
    number = float(value)
    if not 0 <= number < float('inf'):
        raise ValueError(value)
    return number


def parse_boolean(value: str) -> bool:
    if value not in ('true', 'false'):
        raise ValueError(value)
    return value == 'true'


def parse_port(value: str) -> int:
    """Returns a port; ``int`` also accepts signs, spaces and underscores."""
    if PORT.fullmatch(value) is None or not 0 < int(value) <= MAX_PORT:
        raise ValueError(value)
    return int(value)


def parse_endpoint(value: str) -> Endpoint:
    host, _, port = value.rpartition(':')
    if not host or not host.isprintable():
        raise ValueError(value)
    return Endpoint(host, parse_port(port))


def parse_port_range(value: str) -> tuple[int, int]:
    first, last = (parse_port(one.strip()) for one in value.split(','))
    if not first < last:
        raise ValueError(value)
    return first, last


def parse_seed_hosts(value: str) -> tuple[str, ...]:
    return tuple(parse_endpoint(one.strip()).host for one in value.split(','))


def decode_cores(reader: SettingsReader) -> float:
    """Returns the processor cores that the process may use, 0 if unknown.

    A share up to 1 is a part of the cores; a larger one is a number of cores.
    """
    share, cores = (
        reader.parse(name, parse_non_negative, 'a non-negative number', 0.0)
        for name in ('limits.cpuShare', 'limits.cores')
    )
    if not share or not cores:
        return share or cores
    return share * cores if share <= 1 else min(share, cores)


def decode(text: str) -> Settings:
    """Returns the settings in the text of a settings file.

    :raises SettingsError: with all problems of the text.
    """
    reader = SettingsReader(text)
    regions = {
        name.removeprefix('zones.'): value
        for name, value in reader.values.items()
        if name.startswith('zones.')
    }

    def listener(name: str) -> Endpoint | None:
        if f'listen.{name}' not in reader.values:
            return None
        return reader.parse(f'listen.{name}', parse_endpoint, 'host:port')

    settings = Settings(
        name=reader.parse('nodeName', str, 'a name'),
        host=reader.parse('ip', str, 'an IPv4 address'),
        region=reader.parse('region', str, 'a name'),
        domain=reader.parse('zone', str, 'a name'),
        regions=regions,
        client_endpoint=listener('front'),
        readiness_endpoint=listener('ready'),
        control_endpoint=listener('control'),
        directory_endpoint=listener('directory'),
        internal_port_range=reader.parse(
            'internalPortRange',
            parse_port_range,
            'two ports, the lower one first',
        ),
        seeds=reader.parse(
            'seeds', parse_seed_hosts, 'a list of host:port', ()
        ),
        is_first_start=reader.parse(
            'bootstrap', parse_boolean, 'true or false', False
        ),
        data_folder=reader.parse('dataDir', str, 'a folder', ''),
        instance_list_endpoint=reader.parse(
            'cloud.address', parse_endpoint, 'host:port'
        ),
        max_lost_disks=reader.parse(
            'faultTolerance.machines', int, 'an integer', 1
        ),
        divides_capacity=(
            PRESSURE_CONTRACT in reader.values.get('contracts', '').split(',')
        ),
        bounds=Bounds(
            revoke_seconds=reader.seconds('bounds.revokeMs', 5.0, 0.001),
            stop_seconds=reader.seconds('bounds.graceS', 8.0, 1.0),
            silence_seconds=reader.seconds('bounds.contactMs', 5.0, 0.001),
            retry_ratio=reader.parse(
                'bounds.retryBudgetRatio',
                parse_non_negative,
                'a non-negative number',
                0.2,
            ),
            retry_slack=reader.parse(
                'bounds.retrySlack',
                parse_non_negative,
                'a non-negative number',
                0.0,
            ),
            retry_window=reader.seconds('bounds.budgetWindowS', 10.0, 1.0),
            quota_slack=reader.parse(
                'bounds.quotaSlack',
                parse_non_negative,
                'a non-negative number',
                0.0,
            ),
            directory_ttl_seconds=reader.seconds('bounds.ttl_max_s', 2.0, 1.0),
        ),
        cores=decode_cores(reader),
        memory_bytes=int(
            BYTES_PER_MEGABYTE
            * reader.parse(
                'limits.memoryMb',
                parse_non_negative,
                'a non-negative number',
                0.0,
            )
        ),
        descriptors=int(
            reader.parse(
                'limits.maxFds',
                parse_non_negative,
                'a non-negative number',
                0.0,
            )
        ),
    )
    if reader.problems:
        raise errors.SettingsError(tuple(reader.problems))
    return settings
