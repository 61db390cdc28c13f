#!/bin/sh
# The stand-ins of the scripts are Python with its standard library only, so there is nothing to
# compile: this checks that the interpreter is there and can read them.
cd "$(dirname "$0")" || exit 1
for file in standins/fleet.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
