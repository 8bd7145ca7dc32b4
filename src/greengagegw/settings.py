"""Settings of one VM, read from a YAML file and validated."""

import dataclasses
import functools
import pathlib
import reprlib
import typing

import pydantic
import pydantic.dataclasses
import yaml

from . import errors
from . import machine
from . import request_memory

BYTES_PER_MEGABYTE = 1_000_000
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')
]
Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
Count = typing.Annotated[int, pydantic.Field(ge=1)]
Sha256Digest = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]

settings_dataclass = pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=pydantic.ConfigDict(extra='forbid')
)


@settings_dataclass
class Listener:
    """An IP address and port on which a VM listens."""

    host: pydantic.IPvAnyAddress
    port: Port

    @property
    def address(self) -> tuple[str, int]:
        return str(self.host), self.port


@settings_dataclass
class Peer:
    """A VM of the deployment; one of the peers is the VM itself.

    :ivar disk: whether the VM has a data folder and can hold replicas.
    """

    vm: Name
    region: Name
    failure_domain: Name
    host: pydantic.IPvAnyAddress
    port: Port
    callers_url: pydantic.HttpUrl
    disk: bool = False


@settings_dataclass
class BackendServer:
    """A backend server of one service in one region.

    :ivar resumes: whether it can resume a broken stream at an offset.
    :ivar slots: maximum requests that it runs at once.
    """

    name: Name
    service: Name
    region: Name
    url: pydantic.HttpUrl
    kind: typing.Literal['model', 'plain'] = 'model'
    models: tuple[str, ...] = ()
    checks_fencing: bool = False
    resumes: bool = False
    slots: Count = 16


@settings_dataclass
class Limits:
    """Limits on requests, and of the machine.

    :ivar memory_megabytes: memory that the process may use, in units of
        1,000,000 bytes; by default that of the machine.
    :ivar descriptors: file descriptors that the process may have open; by
        default the soft resource limit of the process.
    """

    header_bytes: Count = 16384
    body_bytes: Count = 4 * 1024 * 1024
    requests_in_flight: Count = 1000
    queue_length: Count = 256
    answer_bytes_stored: Count = 65536
    frame_bytes: Count = 1024 * 1024
    default_max_tokens: Count = 1024
    longest_max_tokens: Count = 32768
    retry_budget_percent: typing.Annotated[
        int, pydantic.Field(ge=0, le=100)
    ] = 10
    claims: Count = 100000
    memory_megabytes: Count | None = None
    descriptors: Count | None = None

    @property
    def memory_bytes(self) -> int | None:
        if self.memory_megabytes is None:
            return None
        return self.memory_megabytes * BYTES_PER_MEGABYTE

    def find_contradictions(self) -> list[str]:
        """Returns a message for each limit that others leave no room for."""
        if self.memory_bytes is None:
            return []
        needed = request_memory.RUNNING_COPIES * self.body_bytes
        available = request_memory.divide(
            machine.MachineLimits(self.memory_bytes, 0)
        ).large_bytes
        if needed <= available:
            return []
        return [
            f'limits.body_bytes: a request of {self.body_bytes} bytes needs'
            f' {needed}, but limits.memory_megabytes leaves {available} for'
            ' large requests'
        ]


@settings_dataclass
class Timeouts:
    body_seconds: Seconds = 30.0
    idle_seconds: Seconds = 20.0
    connect_seconds: Seconds = 2.0
    first_byte_seconds: Seconds = 60.0
    between_bytes_seconds: Seconds = 15.0
    queue_seconds: Seconds = 10.0
    peer_call_seconds: Seconds = 3.0
    peer_accept_seconds: Seconds = 0.5
    heartbeat_seconds: Seconds = 1.0
    peer_silence_seconds: Seconds = 4.0
    load_poll_seconds: Seconds = 0.5
    load_poll_timeout_seconds: Seconds = 2.0
    entries_ttl_seconds: Seconds = 5.0
    stop_seconds: Seconds = 600.0
    claim_keep_seconds: typing.Annotated[
        float, pydantic.Field(gt=0, le=7 * 86400)
    ] = 86400.0


@settings_dataclass
class Objective:
    """Service level objectives of the deployment."""

    success_share: typing.Annotated[float, pydantic.Field(gt=0, lt=1)] = 0.999
    first_token_seconds: Seconds = 0.53
    between_tokens_seconds: Seconds = 0.066
    latency_share: typing.Annotated[float, pydantic.Field(gt=0, lt=1)] = 0.95


@settings_dataclass
class Settings:
    """The content of a settings file."""

    deployment: Name
    vm: Name
    callers: Listener
    operators: Listener
    peers: typing.Annotated[tuple[Peer, ...], pydantic.Field(min_length=1)]
    peer_secret: typing.Annotated[str, pydantic.Field(min_length=16)]
    operator_token_sha256: tuple[Sha256Digest, ...] = ()
    data_folder: pathlib.Path | None = None
    backend_servers: tuple[BackendServer, ...] = ()
    limits: Limits = dataclasses.field(default_factory=Limits)
    timeouts: Timeouts = dataclasses.field(default_factory=Timeouts)
    objective: Objective = dataclasses.field(default_factory=Objective)

    @pydantic.model_validator(mode='after')
    def check_references(self) -> 'Settings':
        problems = _find_duplicates('peers', [peer.vm for peer in self.peers])
        problems += _find_duplicates(
            'backend_servers', [server.name for server in self.backend_servers]
        )
        own_peers = [peer for peer in self.peers if peer.vm == self.vm]
        if not own_peers:
            problems.append(f'vm: {self.vm!r} is not listed under peers')
        elif own_peers[0].disk != (self.data_folder is not None):
            problems.append(
                f'data_folder: required for {self.vm!r} if its peer entry has'
                ' disk: true, and not allowed otherwise'
            )
        regions = {peer.region for peer in self.peers}
        problems += [
            f'backend_servers.{index}.region: {server.region!r} has no VM;'
            f' must be one of {", ".join(sorted(regions))}'
            for index, server in enumerate(self.backend_servers)
            if server.region not in regions
        ]
        if not any(peer.disk for peer in self.peers):
            problems.append('peers: at least one VM must have disk: true')
        problems += self.limits.find_contradictions()
        if problems:
            raise ValueError('\n'.join(problems))
        return self

    # Needed for each request, so computed once.

    @functools.cached_property
    def own_peer(self) -> Peer:
        return next(peer for peer in self.peers if peer.vm == self.vm)

    @functools.cached_property
    def region(self) -> str:
        return self.own_peer.region

    @functools.cached_property
    def regions(self) -> tuple[str, ...]:
        """All regions with a VM, in alphabetical order."""
        return tuple(sorted({peer.region for peer in self.peers}))

    @functools.cached_property
    def vms_by_region(self) -> dict[str, tuple[str, ...]]:
        """The VM names of each region, in the order of the file."""
        return {
            region: tuple(
                peer.vm for peer in self.peers if peer.region == region
            )
            for region in self.regions
        }

    @functools.cached_property
    def regions_by_service(self) -> dict[str, frozenset[str]]:
        """The regions in which each service has backend servers."""
        by_service: dict[str, set[str]] = {}
        for server in self.backend_servers:
            by_service.setdefault(server.service, set()).add(server.region)
        return {
            name: frozenset(regions) for name, regions in by_service.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value in a settings file.

    :ivar path: dotted path of the value, or empty.
    :ivar value: the value as text, or empty if it must not be shown.
    :ivar allowed: what is allowed, or what is wrong.
    """

    file: str
    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        suffix = f' (found {self.value})' if self.value else ''
        return f'{self.file}: {self.path}: {self.allowed}{suffix}'


def load(file: str | pathlib.Path) -> Settings:
    """Returns the validated settings of a YAML file.

    :raises SettingsError: with all problems of the file.
    """
    try:
        text = pathlib.Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            (Problem(str(file), '', '', f'cannot be read: {error}'),)
        ) from error
    return parse(text, str(file))


def parse(text: str, file: str = '<text>') -> Settings:
    """Returns the validated settings of a YAML text.

    :param file: name of the text in error messages.
    :raises SettingsError: with all problems of the text.
    """
    try:
        content = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        # Dates that do not exist and long numbers are values that Python
        # rejects; the parser is recursive.
        message = ' '.join(str(error).split())
        raise errors.SettingsError(
            (Problem(file, '', '', f'is not valid YAML: {message}'),)
        ) from error
    if not isinstance(content, dict):
        raise errors.SettingsError(
            (
                Problem(
                    file, '', reprlib.repr(content)[:80], 'must be a mapping'
                ),
            )
        )
    return check(content, file)


def check(content: dict, file: str) -> Settings:
    """Returns the validated settings of a mapping parsed from YAML.

    :param file: name of the mapping in error messages.
    :raises SettingsError: with all problems of the mapping.
    """
    try:
        return pydantic.TypeAdapter(Settings).validate_python(content)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            tuple(_list_problems(file, error.errors()))
        ) from error


def _find_duplicates(section: str, names: list[str]) -> list[str]:
    return [
        f'{section}: the name {name!r} is used {names.count(name)} times'
        for name in sorted(set(names))
        if names.count(name) > 1
    ]


def _list_problems(file: str, details: list) -> list[Problem]:
    invalid_values = []
    for detail in details:
        path = '.'.join(str(part) for part in detail['loc'])
        if not path:
            message = detail['msg'].removeprefix('Value error, ')
            invalid_values += [
                Problem(file, *_split_path(line))
                for line in message.split('\n')
            ]
            continue
        value = reprlib.repr(detail['input'])[:80]
        if path.endswith('peer_secret'):
            value = ''
        invalid_values.append(Problem(file, path, value, detail['msg']))
    return invalid_values


def _split_path(line: str) -> tuple[str, str, str]:
    path, _, allowed = line.partition(': ')
    return path, '', allowed
