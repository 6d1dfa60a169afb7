#!/bin/sh
# Builds the stand-ins of the cases from 6 on.  They are Python programs that
# need the standard library only, so this checks that each compiles.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$source" "target/review-2/$(basename "$source")c"
done
