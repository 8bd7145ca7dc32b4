#!/usr/bin/env bash
# The stand-ins of the review are Python files that need nothing but the
# standard library, so there is nothing to build; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -c 'import standins'
