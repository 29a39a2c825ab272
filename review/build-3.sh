#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs of the standard library only: this checks that they can be read.
# The cases need the build of the deploy file (target/release/crocustally-gateway, -control) and nothing else.
set -e
cd "$(dirname "$0")"
for f in common-3/*.py common-3/more/*.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
