#!/bin/sh
# Runs the build line of deploy/system.toml on a copy of the sources, and
# compares its packages with those that own the headers and libraries in use.
# usage: regress_deploy.sh BUILD
set -u

top=$(cd "$(dirname "$0")/.." && pwd)
file=$top/deploy/system.toml
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
trap 'rm -rf "$work"' EXIT

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$file")
run=$(sed -n 's/^run = "\([^ "]*\).*"$/\1/p' "$file")
sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$file" | tr -d '" ' | tr ',' '\n' \
  | sort > "$work/listed"

mkdir "$work/tree"
cp -R "$top/Makefile" "$top/proto" "$top/src" "$top/platform" "$work/tree"
(cd "$work/tree" && env -u MAKEFLAGS -u MFLAGS -u MODE sh -c "$build") \
  > "$work/build" 2>&1
result "build line: exit code" 0 $?
[ -x "$work/tree/$run" ] || sed 's/^/  /' "$work/build"
result "program of the run line is built" yes \
  "$([ -x "$work/tree/$run" ] && echo yes || echo no)"
result "program --version: exit code" 0 \
  "$("$work/tree/$run" --version > /dev/null 2>&1; echo $?)"

# Packages that own the headers included by the sources and the libraries
# linked with them.
sed -n 's/^PACKAGES = //p' "$top/Makefile" | tr ' ' '\n' > "$work/modules"
find "$top/src" "$top/platform" -name '*.[ch]' -exec \
  sed -n 's/^#include <\([^>]*\)>.*/\1/p' {} + | sort -u > "$work/headers"
{
  while read -r header; do
    [ -e "/usr/include/$header" ] && echo "/usr/include/$header"
  done < "$work/headers"
  while read -r module; do
    echo "$(pkg-config --variable=pcfiledir "$module")/$module.pc"
  done < "$work/modules"
} | xargs dpkg -S 2> "$work/unowned" | sed 's/:.*//' \
  | grep -vE '^(libc6-dev|linux-libc-dev)$' | sort -u > "$work/owners"
result "files that belong to no package" "" "$(cat "$work/unowned")"
printf 'gcc\nmake\npkg-config\n' | sort -u - "$work/owners" > "$work/needed"
result "packages needed, but not listed" "" \
  "$(comm -13 "$work/listed" "$work/needed" | tr '\n' ' ')"
result "packages listed, but not needed" "" \
  "$(comm -23 "$work/listed" "$work/needed" | tr '\n' ' ')"

echo
echo "regress_deploy: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
