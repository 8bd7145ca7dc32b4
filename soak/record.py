"""What clients, backend servers and the operator saw during a soak."""

import dataclasses
import time

from . import layout as layouts


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A client's request and its outcome.

    :ivar kind: ``safe``, ``unsafe``, ``home`` for a safe one on the route
        with homes, or ``added`` for one on the route that a version added.
    :ivar status: 0 if the connection ended or was silent until the timeout.
    :ivar is_own: whether a success carried the response to this request.
    :ivar version: the version that added the route, 0 for other routes.
    :ivar key: with which it was sent.
    :ivar left_at: when the client closed its connection without a response.
    """

    attempt: str
    entry_vm: str
    kind: str
    sent_at: float
    ended_at: float
    status: int
    is_own: bool
    version: int = 0
    key: str = ''
    left_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a backend server ran."""

    attempt: str
    server: str
    domain: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order.

    :ivar name: ``put``, ``evacuate`` or ``readmit``.
    :ivar subject: the version, or the failure domain.
    :ivar acknowledged_at: None if the operator gave up.
    :ivar lost_at: when acknowledgements came that the soak itself dropped.
    """

    name: str
    subject: str
    sent_at: float
    acknowledged_at: float | None
    gave_up_at: float | None = None
    lost_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A read of the configuration at one control VM.

    :ivar version: None if the VM did not answer with one.
    :ivar has_sent_content: whether the content is what was sent.
    """

    control_vm: str
    sent_at: float
    version: int | None
    has_sent_content: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault, from its beginning until everything runs again.

    :ivar entry_vm: the only VM that it concerns; empty if there are others.
    """

    name: str
    began_at: float
    ended_at: float
    entry_vm: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of an entry VM, until its process has ended."""

    entry_vm: str
    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request on a connection of its own, or that is kept.

    :ivar sent_at: when its last byte was sent; None if the connection ended
        before that.
    :ivar status: 0 if the connection ended before the response.
    :ivar is_whole: whether the response was complete.
    """

    attempt: str
    entry_vm: str
    kind: str
    work: str
    sent_at: float | None
    ended_at: float
    status: int
    is_whole: bool


class Record:
    """All that was seen, in monotonic seconds since the start.

    :ivar sent_versions: when each version was first sent.
    :ivar home_domains: failure domains that may serve the route with homes.
    :ivar revoked: the first version without a key, by key.
    :ivar run_ends: when servers last worked on each request, or had sent its
        last byte.
    :ivar excesses: what was seen of machines over their limits, by name.
    :ivar accepted_invalid: changes that should have been rejected.
    :ivar read_back: whether the operator got the configuration at the end;
        None if it did not ask.
    """

    def __init__(
        self,
        bounds: layouts.Bounds | None = None,
        home_domains: frozenset[str] = frozenset(),
    ) -> None:
        self.bounds = bounds or layouts.Bounds()
        self.home_domains = home_domains
        self.read_back: bool | None = None
        self.began_at = time.monotonic()
        self.requests: list[Request] = []
        self.runs: list[Run] = []
        self.run_ends: dict[str, float] = {}
        self.exchanges: list[Exchange] = []
        self.stops: list[Stop] = []
        self.orders: list[Order] = []
        self.reads: list[Read] = []
        self.disturbances: list[Disturbance] = []
        self.own_ends: list[str] = []
        self.accepted_invalid: list[str] = []
        self.excesses: dict[str, str] = {}
        self.revoked: dict[str, int] = {}
        self.sent_versions: dict[int, float] = {}

    def now(self) -> float:
        return time.monotonic() - self.began_at
