#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the edge process. The stand-ins are
# Python programs without dependencies: they are only compiled once, to show that they can be.
set -e
cd "$(dirname "$0")/.."
for file in review/harness3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
