#!/usr/bin/env bash
# The stand-ins are Python programs of this folder; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/deployment.py [1-5]/run.py trials/*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
