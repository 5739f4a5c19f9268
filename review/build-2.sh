#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python and need no build: this checks
# that they can be read and that the build of the deploy file has been done.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "needs Python 3.11"'
for file in common-2/*.py [6-9]/*.py 10/*.py trials-2/*/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done
test -x ../target/cyclamen-node
