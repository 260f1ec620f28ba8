#!/bin/sh
# Replays the golden sessions and compares them with the golden files;
# --rewrite updates the files.
# usage: golden.sh BUILD [--rewrite]
set -eu
cd "$(dirname "$0")/.."
"$1/test_golden" ${2+"$2"}
exec "$1/test_golden_config" ${2+"$2"}
