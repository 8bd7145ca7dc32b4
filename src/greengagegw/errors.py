"""The exceptions of the gateway, one class for each reported failure."""

NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
RAN = 'ran'


class GatewayError(Exception):
    """Base class of all errors that greengagegw raises.

    Class attributes define how a failure is reported: ``status`` is the HTTP
    status, ``code`` the stable machine-readable name, ``run`` whether the
    request was run (:data:`NOT_RUN`, :data:`UNKNOWN` or :data:`RAN`), and
    ``exit_code`` the exit code of the command line.

    :param message: a sentence for people.
    :param run: overrides the class attribute.
    :param retry_after: seconds after which a retry may succeed.
    """

    status = 500
    code = 'internal_error'
    run = UNKNOWN
    exit_code = 1

    def __init__(
        self,
        message: str,
        *,
        run: str | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after = retry_after
        if run is not None:
            self.run = run


class NotRunError(GatewayError):
    """The request failed before any byte was sent to a backend server."""

    run = NOT_RUN


class BadRequestError(NotRunError):
    status = 400
    code = 'bad_request'


class KeyInRequestError(BadRequestError):
    """The client's API key is in a place that backend servers can read."""

    code = 'key_in_request'


class AuthenticationError(NotRunError):
    status = 401
    code = 'invalid_key'


class WithdrawnKeyError(AuthenticationError):
    code = 'key_withdrawn'


class PermissionDeniedError(NotRunError):
    status = 403
    code = 'permission_denied'


class ResidencyError(PermissionDeniedError):
    """Data residency rules do not allow the request in this region."""

    code = 'wrong_region'


class NotFoundError(NotRunError):
    status = 404
    code = 'not_found'


class UnknownServiceError(NotFoundError):
    code = 'unknown_service'


class UnknownModelError(NotFoundError):
    code = 'model_not_found'


class MethodNotAllowedError(NotRunError):
    status = 405
    code = 'method_not_allowed'


class RequestTimeoutError(NotRunError):
    status = 408
    code = 'request_timeout'


class ClaimInProgressError(GatewayError):
    """A request with the same idempotency key is still running."""

    status = 409
    code = 'in_progress'
    run = UNKNOWN


class OrderAbandonedError(GatewayError):
    """The caller of an order closed its connection before it was carried out.

    ``run`` is :data:`NOT_RUN` if no replica can have accepted the order.
    """

    status = 503
    code = 'order_abandoned'


class ConflictError(NotRunError):
    status = 412
    code = 'revision_conflict'
    exit_code = 4

    def __init__(self, message: str, current: int) -> None:
        super().__init__(message)
        self.current = current


class PreconditionRequiredError(NotRunError):
    status = 428
    code = 'if_match_required'


class ServiceEndedError(NotRunError):
    """The announced end of life of the service has passed."""

    status = 410
    code = 'service_ended'


class ConfigurationError(NotRunError):
    """A configuration is invalid; ``problems`` lists all problems."""

    status = 400
    code = 'bad_configuration'

    def __init__(self, problems: tuple) -> None:
        super().__init__('; '.join(problems))
        self.problems = problems


class BodyTooLargeError(NotRunError):
    status = 413
    code = 'body_too_large'


class IdempotencyMismatchError(NotRunError):
    """An idempotency key was reused with a different request."""

    status = 422
    code = 'idempotency_key_reused'


class HeadTooLargeError(NotRunError):
    """The request line and headers exceed the size limit."""

    status = 431
    code = 'head_too_large'


class RateLimitError(NotRunError):
    status = 429
    code = 'rate_limit_exceeded'


class BurstExceededError(NotRunError):
    """The request needs more tokens than the burst of its organisation."""

    status = 400
    code = 'over_burst'


class OverloadedError(NotRunError):
    status = 503
    code = 'overloaded'


class UnavailableError(NotRunError):
    """No VM or backend server that may run the request can be reached."""

    status = 503
    code = 'unavailable'
    exit_code = 5


class NotReadyError(UnavailableError):
    code = 'not_ready'


class LeaseError(UnavailableError):
    """The lease has expired, so that the key may have been withdrawn."""

    code = 'lease_expired'


class StoppingError(UnavailableError):
    code = 'stopping'


class NoServerError(UnavailableError):
    """This VM reaches no backend server that may run the request now."""

    code = 'no_server'


class HeldRequestError(UnavailableError):
    """Backend servers ended under each repeat of the request."""

    code = 'request_held'


class HeldPromptError(HeldRequestError):
    """The prompt has segments under which backend servers ended."""

    code = 'prompt_held'


class LoopDetectedError(NotRunError):
    status = 508
    code = 'loop_detected'


class TableError(NotRunError):
    """A table is invalid; ``cells`` lists all invalid cells."""

    status = 422
    code = 'bad_table'
    exit_code = 3

    def __init__(self, cells: tuple) -> None:
        super().__init__('; '.join(str(cell) for cell in cells))
        self.cells = cells


class BackendError(GatewayError):
    """A backend server failed, and may have received the request."""

    status = 502
    code = 'backend_error'


class BackendConnectError(BackendError):
    """No connection to the backend server could be established."""

    run = NOT_RUN
    code = 'backend_unreachable'


class BackendRefusedError(BackendError):
    """The backend server reported that it did not run the request."""

    run = NOT_RUN
    status = 503
    code = 'backend_refused'


class WrongInstanceError(BackendRefusedError):
    """A different backend server responds at the address."""

    code = 'wrong_instance'


class BackendStatusError(BackendError):
    """The backend server responded with an error status."""

    code = 'backend_status'

    def __init__(self, message: str, backend_status: int) -> None:
        super().__init__(message)
        self.backend_status = backend_status


class BackendTimeoutError(BackendError):
    status = 504
    code = 'backend_timeout'


class InvalidInstanceError(GatewayError):
    """An entry of the list of backend servers names no usable server."""

    status = 502
    code = 'invalid_instance'


class BackendUnresponsiveError(BackendError):
    """A backend server sent nothing; the request is retried elsewhere."""

    status = 504
    code = 'backend_silent'


class BrokenStreamError(BackendError):
    """A streamed response ended before its end marker."""

    code = 'stream_broken'


class ForeignBytesError(BrokenStreamError):
    """A stream contains bytes that are no event, so its rest is unusable."""

    code = 'foreign_bytes'


class StoppedError(BackendError):
    """A VM that was being stopped cut the request, which may have run."""

    status = 502
    code = 'stopped'


class OutcomeUnknownError(GatewayError):
    """It is unknown whether the request with this idempotency key ran."""

    status = 409
    code = 'outcome_unknown'


class PeerError(GatewayError):
    """Another VM of the deployment failed or could not be reached."""

    status = 503
    code = 'peer_error'
    exit_code = 5


class PeerUnreachableError(PeerError):
    run = NOT_RUN
    code = 'peer_unreachable'


class PeerLostError(PeerError):
    """The stream to a peer ended before its response arrived."""

    code = 'peer_lost'


class PeerTimeoutError(PeerError):
    code = 'peer_timeout'


class PeerUnresponsiveError(PeerTimeoutError):
    """A VM did not acknowledge a forwarded request in time."""

    code = 'peer_silent'


class PeerProtocolError(PeerError):
    """A peer violated the protocol."""

    code = 'peer_protocol'


class PeerVersionError(PeerProtocolError):
    code = 'peer_version'


class PeerAuthenticationError(PeerProtocolError):
    code = 'peer_authentication'


class FrameTooLargeError(PeerProtocolError):
    code = 'frame_too_large'


class ReplicationError(GatewayError):
    """A command could not be appended to the replicated log or confirmed."""

    status = 503
    code = 'replication'


class NotLeaderError(ReplicationError):
    run = NOT_RUN
    code = 'not_leader'

    def __init__(self, message: str, leader: str | None) -> None:
        super().__init__(message, retry_after=1)
        self.leader = leader


class LostLeadershipError(ReplicationError):
    """The leader stepped down before it knew the command to be committed."""

    code = 'leadership_lost'


class InvalidCommandError(NotRunError):
    """A command is malformed; no replica changes its state because of it."""

    status = 400
    code = 'invalid_command'


class CompactedError(ReplicationError):
    """The requested revision was compacted; the client must list again."""

    code = 'compacted'


class StorageError(GatewayError):
    code = 'storage'
    exit_code = 6


class CorruptFileError(StorageError):
    """A file is corrupt in a place that a crash cannot explain."""

    code = 'damaged_file'


class FolderLockedError(StorageError):
    code = 'folder_locked'


class DiskFailedError(StorageError):
    """A write or sync failed; the file must not be trusted afterwards."""

    code = 'disk_failed'


class SettingsError(GatewayError):
    """Settings are invalid; ``problems`` lists all problems."""

    code = 'bad_settings'
    exit_code = 2

    def __init__(self, problems: tuple) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class UsageError(GatewayError):
    code = 'usage'
    exit_code = 2


class UnknownRequestError(GatewayError):
    """No line of the logs has the id of the request."""

    code = 'unknown_request'


class RemoteError(GatewayError):
    """An error that another VM or the operator interface reported."""

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        run: str,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message, run=run, retry_after=retry_after)
        self.status = status
        self.code = code


def errors_by_code() -> dict[str, type[GatewayError]]:
    """Returns the error classes by code.

    A class that inherits its code is represented by its base class.
    """
    classes = {}
    pending = [GatewayError]
    while pending:
        error_class = pending.pop()
        classes.setdefault(error_class.code, error_class)
        pending.extend(error_class.__subclasses__())
    return classes
