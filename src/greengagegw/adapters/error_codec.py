"""Converts errors to and from dictionaries.

They are sent in peer streams and HTTP bodies and kept in stored outcomes.
"""

import math
import types
import typing

from .. import errors

RUNS = (errors.NOT_RUN, errors.UNKNOWN, errors.RAN)
# Longer than any time that a VM or a server asks for.
MAX_RETRY_AFTER_SECONDS = 1e6


def pack(error: BaseException) -> dict[str, typing.Any]:
    """Returns an error as a dictionary for :func:`unpack`.

    Any other exception becomes a general internal error without its text.
    """
    if not isinstance(error, errors.GatewayError):
        error = errors.GatewayError('an internal error occurred')
    packed = {
        'code': error.code,
        'message': error.message,
        'status': error.status,
        'run': error.run,
        'retry_after': error.retry_after,
    }
    if isinstance(error, errors.ConflictError):
        packed['current'] = error.current
    if isinstance(error, errors.NotLeaderError):
        packed['leader'] = error.leader
    if isinstance(error, errors.TableError):
        packed['cells'] = [
            [cell.line, cell.column, cell.value, cell.allowed]
            for cell in error.cells
        ]
    return packed


def unpack(packed: dict[str, typing.Any]) -> errors.GatewayError:
    """Returns the error that :func:`pack` converted.

    An error with an unknown code, or with further arguments, becomes a
    RemoteError with the same code, status and run.

    :raises PeerProtocolError: if it is malformed.
    """
    fault = find_fault(packed)
    if fault is not None:
        raise errors.PeerProtocolError(
            f'another VM reported an error whose {fault} is invalid'
        )
    code = packed.get('code')
    if code == errors.ConflictError.code:
        return errors.ConflictError(packed['message'], packed['current'])
    if code == errors.NotLeaderError.code:
        return errors.NotLeaderError(packed['message'], packed['leader'])
    error_class = errors.errors_by_code().get(code)
    if (
        error_class is None
        or error_class.__init__ is not errors.GatewayError.__init__
    ):
        return errors.RemoteError(
            packed.get('message', ''),
            status=packed.get('status', 500),
            code=code or 'internal_error',
            run=packed.get('run', errors.UNKNOWN),
            retry_after=limit_seconds(packed.get('retry_after')),
        )
    return error_class(
        packed['message'],
        run=packed.get('run'),
        retry_after=limit_seconds(packed.get('retry_after')),
    )


def limit_seconds(seconds: float | None) -> float | None:
    """Returns a retry time that can be written into a header."""
    if seconds is None or math.isnan(seconds):
        return None
    return min(max(0.0, seconds), MAX_RETRY_AFTER_SECONDS)


def find_fault(packed: dict[str, typing.Any]) -> str | None:
    """Returns the name of a field that :func:`pack` would not have written.

    Fields may be missing, as in the errors of other releases.
    """
    code = packed.get('code')
    if not isinstance(code, str | None):
        return 'code'
    needed: dict[str, type | types.UnionType] = {}
    if code == errors.ConflictError.code:
        needed = {'message': str, 'current': int}
    elif code == errors.NotLeaderError.code:
        needed = {'message': str, 'leader': str | None}
    elif code in errors.errors_by_code():
        needed = {'message': str}
    for name, kind in needed.items():
        if not isinstance(packed.get(name), kind):
            return name
    if not isinstance(packed.get('message', ''), str):
        return 'message'
    status = packed.get('status', 500)
    if type(status) is not int or not 400 <= status <= 599:
        return 'status'
    if packed.get('run', errors.UNKNOWN) not in RUNS:
        return 'run'
    retry_after = packed.get('retry_after')
    if retry_after is not None and type(retry_after) not in (int, float):
        return 'retry_after'
    return None
