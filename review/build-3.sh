#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.c; do
  name=$(basename "$source" .c)
  [ "$name" = rig ] && continue
  ${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
    -o "target/review-3/$name" "$source" review/standins-3/rig.c \
    $(pkg-config --cflags --libs jansson)
done
