#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the program. The
# stand-ins are Python and need no library: this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/*.py 6/*.py 7/*.py 8/*.py 10/*.py <<'CHECK'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 is needed'
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_bytes(), name)
CHECK
