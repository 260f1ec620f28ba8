#!/bin/sh
# Which failures tests/run.sh passes over: of cases that KNOWN-RED.txt lists,
# and of nothing else.  Runs it in a folder with suites that fail in many ways.
# usage: regress_known.sh BUILD
set -u

here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
. "$here/lib.sh"
mkdir "$work/tests" "$work/build"
cp "$here/run.sh" "$work/tests"
touch "$work/tests/test_fake.c"
cat > "$work/KNOWN-RED.txt" <<'END'
bench: of a program that is no suite
case: of a bench
issue: 1

test: test_fake
command: build/test_fake
case: a.b, with a dot
seen: once
case: of two
issue: 1

test: test_other
case: of another suite
issue: 1

test: regress_fake
open: not known, which case
issue: 1
END

# suite PROGRAM: the program's text; it is run as test_fake.
suite ()
{
  { echo '#!/bin/sh'; echo "$1"; } > "$work/build/test_fake"
  chmod +x "$work/build/test_fake"
}

# runs NAME CODE: the run ends with CODE, and with a list of passed over cases
# only if that is 0.
runs ()
{
  sh "$work/tests/run.sh" "$work/build" > "$work/out" 2>&1
  result "$1" "$2" $?
  result "$1: passed over" "$2" \
    "$(sed '/^listed as known/,$d' "$work/out" | grep -q '^KNOWN'; echo $?)"
}

suite 'echo; echo "FAILED a.b, with a dot"; echo "test_fake: 2 passed, 1 failed"
exit 1'
runs "a listed case" 0
result "its name is printed" 1 \
  "$(grep -cx '       case: a.b, with a dot' "$work/out")"
result "it counts as no failure" "2 passed, 0 failed" "$(tail -1 "$work/out")"
suite 'echo "FAILED a.b, with a dot: wanted 1, got: 0"; echo "FAILED of two"
echo "test_fake: 2 passed, 2 failed"; exit 1'
runs "two listed cases" 0
result "both names are printed" 2 "$(grep -c '^       case: ' "$work/out")"

suite 'echo "FAILED not listed"; echo "test_fake: 2 passed, 1 failed"; exit 1'
runs "another case" 1
suite 'echo "FAILED a.b, with a dot"; echo "FAILED not listed"
echo "test_fake: 2 passed, 2 failed"; exit 1'
runs "another case beside the listed one" 1
for other in "of another suite" "of a bench" "aXb, with a dot" \
  "a.b, with a dot: more" "a.b, with a dot: more: wanted 1, got: 0" \
  "a.b, with a dot and more" "a.b" ""; do
  suite "echo 'FAILED $other'; echo 'test_fake: 2 passed, 1 failed'; exit 1"
  runs "case '$other'" 1
done
suite 'echo "FAILED a.b, with a dot"; echo "test_fake: 2 passed, 2 failed"
exit 1'
runs "a failure without a name" 1
suite 'echo "test_fake: 2 passed, 1 failed"; exit 1'
runs "no name at all" 1

suite 'echo "FAILED a.b, with a dot"; kill -SEGV $$'
runs "a crash" 1
suite 'echo "FAILED a.b, with a dot"; echo "test_fake: 2 passed, 1 failed"
kill -SEGV $$'
runs "a crash after the closing line" 1
suite 'echo "FAILED a.b, with a dot"; echo "test_fake: 2 passed, 1 failed"
exit 124'
runs "a timeout" 1
suite 'echo "FAILED a.b, with a dot"; exit 1'
runs "no closing line" 1
suite 'echo "FAILED a.b, with a dot"; echo "test_fake: 2 passed, 1 failed"
echo "ERROR: AddressSanitizer"; exit 1'
runs "a report after the closing line" 1
suite 'echo "test_fake: 2 passed, 0 failed"; exit 1'
runs "exit code without a failure" 1

suite 'echo "test_fake: 2 passed, 0 failed"'
cat > "$work/tests/regress_fake.sh" <<'END'
echo "FAILED in some check: wanted '1', got '0'"
echo "regress_fake: 1 passed, 1 failed"
exit 1
END
runs "an entry without a case" 1
rm "$work/tests/regress_fake.sh"

# The lines of a real suite, whose second test fails in two checks.
cat > "$work/suite.c" <<'END'
#include "support/suite.h"
static void pass (void) { CU_ASSERT (1); }
static void fail (void) { CU_ASSERT (0); CU_ASSERT (0); }
static const struct suite_test tests[]
    = { { "passes", pass }, { "a.b, with a dot", fail } };
SUITE_MAIN ("test_fake", tests)
END
cc -I "$here" -o "$work/build/test_fake" "$work/suite.c" \
  "$here/support/suite.c" -lcunit
runs "a case of a real suite" 0
sed 's/with a dot/not listed/' "$work/suite.c" > "$work/other.c"
cc -I "$here" -o "$work/build/test_fake" "$work/other.c" \
  "$here/support/suite.c" -lcunit
runs "another case of a real suite" 1

echo "regress_known: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
