#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside
# target/cherrylanding: the stand-ins of the second review, into
# target/review-2.  It needs what the build of deploy/system.toml needs.
set -eu

cd "$(dirname "$0")/.."
from=review/standins-2
to=target/review-2
mkdir -p "$to"
for name in hot hubs promise version; do
  gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o "$to/$name" \
    "$from/site.c" "$from/$name.c" -ljansson -lpthread
done
