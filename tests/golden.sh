#!/bin/sh
# Replays the golden sessions; --rewrite writes them anew.
# usage: golden.sh BUILD [--rewrite]
set -eu
cd "$(dirname "$0")/.."
"$1/test_golden" ${2+"$2"}
exec "$1/test_golden_config" ${2+"$2"}
