"""Runs the ``greengagegw`` command from a checkout."""

import pathlib
import signal
import sys

# The default action would end a process that is still importing its modules.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'src'))

from greengagegw.cli import main  # noqa: E402

if __name__ == '__main__':
    main.main()
