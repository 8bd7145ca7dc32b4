"""The exception tree: every failure that the gateway reports has a type."""

NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
RAN = 'ran'


class GatewayError(Exception):
    """Root of all errors that greengagegw raises.

    Class attributes give how a failure is reported: ``status`` is the HTTP
    status, ``code`` the stable machine-readable name, ``run`` says whether
    the request was run, and ``exit_code`` is what the command line returns.

    :param message: a sentence for people.
    :param run: overrides the class's statement on whether the request ran.
    :param retry_after: seconds after which a retry is worth while.
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
    """A refusal made before any byte left for a backend server."""

    run = NOT_RUN


class BadRequestError(NotRunError):
    status = 400
    code = 'bad_request'


class KeyInRequestError(BadRequestError):
    """The caller's key stands where a backend server would see it."""

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
    """The request may not be run in this region."""

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
    """The call with this idempotency key is still running."""

    status = 409
    code = 'in_progress'
    run = UNKNOWN


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
    """The service's announced end has passed."""

    status = 410
    code = 'service_ended'


class ConfigurationError(NotRunError):
    """A configuration was refused; ``problems`` lists everything wrong."""

    status = 400
    code = 'bad_configuration'

    def __init__(self, problems: tuple) -> None:
        super().__init__('; '.join(problems))
        self.problems = problems


class BodyTooLargeError(NotRunError):
    status = 413
    code = 'body_too_large'


class IdempotencyMismatchError(NotRunError):
    """An idempotency key was used again with another request."""

    status = 422
    code = 'idempotency_key_reused'


class HeadTooLargeError(NotRunError):
    """The request line and headers are larger than allowed."""

    status = 431
    code = 'head_too_large'


class RateLimitError(NotRunError):
    status = 429
    code = 'rate_limit_exceeded'


class BurstExceededError(NotRunError):
    """The request needs more tokens than the organisation's burst."""

    status = 400
    code = 'over_burst'


class OverloadedError(NotRunError):
    status = 503
    code = 'overloaded'


class UnavailableError(NotRunError):
    """Nothing that may run the request can be reached."""

    status = 503
    code = 'unavailable'
    exit_code = 5


class NotReadyError(UnavailableError):
    code = 'not_ready'


class LeaseError(UnavailableError):
    """It cannot be told whether the key was revoked."""

    code = 'lease_expired'


class StoppingError(UnavailableError):
    code = 'stopping'


class LoopDetectedError(NotRunError):
    status = 508
    code = 'loop_detected'


class TableError(NotRunError):
    """A table was refused; ``cells`` lists everything wrong in it."""

    status = 422
    code = 'bad_table'
    exit_code = 3

    def __init__(self, cells: tuple) -> None:
        super().__init__('; '.join(str(cell) for cell in cells))
        self.cells = cells


class BackendError(GatewayError):
    """A backend server failed after the request may have reached it."""

    status = 502
    code = 'backend_error'


class BackendConnectError(BackendError):
    """No connection to the backend server could be made."""

    run = NOT_RUN
    code = 'backend_unreachable'


class BackendRefusedError(BackendError):
    """The backend server said that it did not run the request."""

    run = NOT_RUN
    status = 503
    code = 'backend_refused'


class WrongInstanceError(BackendRefusedError):
    """Another backend server answers at the address now."""

    code = 'wrong_instance'


class BackendStatusError(BackendError):
    """The backend server answered with a status of failure."""

    code = 'backend_status'

    def __init__(self, message: str, backend_status: int) -> None:
        super().__init__(message)
        self.backend_status = backend_status


class BackendTimeoutError(BackendError):
    status = 504
    code = 'backend_timeout'


class BackendUnresponsiveError(BackendError):
    """A server answers nothing at all, so its request goes elsewhere."""

    status = 504
    code = 'backend_silent'


class BrokenStreamError(BackendError):
    """An answer stopped before its end mark."""

    code = 'stream_broken'


class OutcomeUnknownError(GatewayError):
    """It cannot be told whether the call with this key ran."""

    status = 409
    code = 'outcome_unknown'


class PeerError(GatewayError):
    """A VM of the deployment failed or could not be reached."""

    status = 503
    code = 'peer_error'
    exit_code = 5


class PeerUnreachableError(PeerError):
    run = NOT_RUN
    code = 'peer_unreachable'


class PeerLostError(PeerError):
    """The stream to a peer ended while an answer was awaited."""

    code = 'peer_lost'


class PeerTimeoutError(PeerError):
    code = 'peer_timeout'


class PeerUnresponsiveError(PeerTimeoutError):
    """A VM did not say that it has taken a forwarded call."""

    code = 'peer_silent'


class PeerProtocolError(PeerError):
    """A peer sent what the protocol does not allow."""

    code = 'peer_protocol'


class PeerVersionError(PeerProtocolError):
    code = 'peer_version'


class PeerAuthenticationError(PeerProtocolError):
    code = 'peer_authentication'


class FrameTooLargeError(PeerProtocolError):
    code = 'frame_too_large'


class ReplicationError(GatewayError):
    """The replicated log cannot take or confirm a command."""

    status = 503
    code = 'replication'


class NotLeaderError(ReplicationError):
    run = NOT_RUN
    code = 'not_leader'

    def __init__(self, message: str, leader: str | None) -> None:
        super().__init__(message, retry_after=1)
        self.leader = leader


class LostLeadershipError(ReplicationError):
    """The leader stepped down before the command was known committed."""

    code = 'leadership_lost'


class CompactedError(ReplicationError):
    """The revision asked for is no longer held; list again."""

    code = 'compacted'


class StorageError(GatewayError):
    code = 'storage'
    exit_code = 6


class CorruptFileError(StorageError):
    """A file is damaged where a crash cannot explain it."""

    code = 'damaged_file'


class FolderLockedError(StorageError):
    code = 'folder_locked'


class DiskFailedError(StorageError):
    """A write or sync failed; the file must not be trusted again."""

    code = 'disk_failed'


class SettingsError(GatewayError):
    """Settings were refused; ``problems`` lists everything wrong."""

    code = 'bad_settings'
    exit_code = 2

    def __init__(self, problems: tuple) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class UsageError(GatewayError):
    code = 'usage'
    exit_code = 2


class UnknownRequestError(GatewayError):
    """No line of the logs names a request."""

    code = 'unknown_request'


class RemoteError(GatewayError):
    """An error that another VM or the operators' interface reported."""

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
    """Returns every error class of the tree by its code."""
    found = {}
    waiting = [GatewayError]
    while waiting:
        kind = waiting.pop()
        found.setdefault(kind.code, kind)
        waiting.extend(kind.__subclasses__())
    return found
