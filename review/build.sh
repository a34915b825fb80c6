#!/bin/sh
# The stand-ins are Python programs (standard library only) in review/lib: nothing is compiled.
# This checks that they can be run here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 10), sys.version'
python3 -m py_compile lib/*.py [0-9]/case.py
rm -rf lib/__pycache__ [0-9]/__pycache__
echo "stand-ins: nothing to build"
