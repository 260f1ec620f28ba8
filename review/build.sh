#!/bin/sh
# Builds the stand-ins that the scripts of the review start, after the build of
# the deploy file.  They need gcc and libjansson, as the product does.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.c; do
  [ -f "$source" ] || continue
  ${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Istandins \
    -o "build/case-$(dirname "$source")" "$source" standins/rig.c \
    -ljansson -lpthread
done
