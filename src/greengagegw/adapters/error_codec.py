"""Converts errors to and from dictionaries.

They are sent in peer streams and HTTP bodies and kept in stored outcomes.
"""

import typing

from .. import errors


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
    """
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
            retry_after=packed.get('retry_after'),
        )
    return error_class(
        packed['message'],
        run=packed['run'],
        retry_after=packed['retry_after'],
    )
