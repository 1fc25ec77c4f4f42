#!/bin/sh
# Checks the stand-ins of the cases 4 to 8. They are Python programs of the standard library alone, so
# there is nothing to compile into the repository.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review-2 python3 -m py_compile review/stand-ins-2/rig.py review/[4-8]/case.py
