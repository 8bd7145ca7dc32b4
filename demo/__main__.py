"""Runs the demonstration and exits with 0 if all checks passed."""

import functools
import sys
import tempfile

import anyio

from . import steps


def main() -> None:
    with tempfile.TemporaryDirectory(prefix='greengagegw-demo-') as folder:
        run = functools.partial(steps.run, folder)
        failed = anyio.run(run, backend_options={'use_uvloop': True})
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
