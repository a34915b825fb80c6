#!/bin/sh
# Builds what the scripts of cases 4 to 7 start, beside the service itself (which the deploy file
# builds): the worker's agent. The other stand-ins are Python 3 scripts in review/lib-2 and need
# no build; they use its standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p sorrelhinge-agent ||
    cargo build --release --locked -p sorrelhinge-agent
python3 -c 'import ast, sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]' review/lib-2/*.py
