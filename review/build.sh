#!/bin/sh
# The stand-ins are Python programs without dependencies: this checks that each can be compiled and run here.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "Python 3.9 or later is needed" >&2; exit 1; }
for file in standins/standin.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
