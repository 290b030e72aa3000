#!/bin/sh
# The stand-ins of the cases use the standard library of Python 3.11 only, and
# none of the project's own, so there is nothing to build; this checks that they
# compile. The routers come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
for source in lib/*.py [1-5]/*.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source" || exit 1
done
