#!/bin/sh
# Fuzzes every parser with libFuzzer and adds new inputs to
# tests/fuzz/corpus, which tests/test_corpus.c replays.  Needs clang.
# usage: fuzz.sh [SECONDS per parser, default 120] [PARSER...]
set -eu

cd "$(dirname "$0")/../.."
seconds=${1:-120}
[ $# -eq 0 ] || shift
[ $# -gt 0 ] || set -- SETTINGS OBJECT VALUE LISTING FRAME REQUEST
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
packages="libevent libevent_openssl evhtp libprotobuf-c libcyaml yaml-0.1 jansson libxxhash openssl"
sources="tests/fuzz/driver.c tests/support/parsers.c $(ls src/*/*.c | grep -v '^src/transport/')"

for parser in "$@"; do
  name=$(echo "$parser" | tr '[:upper:]' '[:lower:]')
  mkdir -p "tests/fuzz/corpus/$name" "$work/$name"
  # shellcheck disable=SC2046,SC2086
  clang -std=gnu11 -g -O1 -fsanitize=fuzzer,address,undefined \
    -fno-sanitize-recover=all -D_GNU_SOURCE -DFUZZ_PARSER=PARSER_$parser \
    -Isrc -Itests $(pkg-config --cflags $packages) -o "$work/fuzz" \
    $sources $(pkg-config --libs $packages) -lm
  "$work/fuzz" -seed=1 -max_total_time="$seconds" -timeout=10 \
    -max_len=4096 -artifact_prefix="tests/fuzz/corpus/$name/" \
    -print_final_stats=1 "$work/$name" "tests/fuzz/corpus/$name" \
    2> "$work/$name.log" || { tail -40 "$work/$name.log"; exit 1; }
  "$work/fuzz" -merge=1 "tests/fuzz/corpus/$name" "$work/$name" \
    2> "$work/merge.log"
  echo "$name: $(sed -n 's/.*number_of_executed_units: *//p' \
    "$work/$name.log") runs, no failure"
done
