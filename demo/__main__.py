"""Runs the demonstration and exits 0 only if all of it held."""

import functools
import sys
import tempfile

import anyio

from . import story


def main() -> None:
    with tempfile.TemporaryDirectory(prefix='greengagegw-demo-') as folder:
        run = functools.partial(story.run, folder)
        failed = anyio.run(run, backend_options={'use_uvloop': True})
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
