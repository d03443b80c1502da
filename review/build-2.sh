#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs of the standard library alone
# (kit2.py): nothing is compiled, and none of the project's own stand-ins is started.
set -e
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$(dirname "$0")/kit2.py"
