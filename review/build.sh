#!/bin/sh
# The stand-ins are plain Python without packages: there is nothing to compile. This checks
# that they can be read, and leaves nothing behind.
set -e
cd "$(dirname "$0")"
for file in kit.py [1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
