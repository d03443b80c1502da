#!/bin/sh
# The scripts of review 3 start `mimosapass gateway` of the deploy file's build and nothing else that
# has to be built: their store, runners and clients are review/kit3.py, in Python 3 without packages.
# This checks that both are there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in review/kit3.py review/1[1-5]/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/release/mimosapass
