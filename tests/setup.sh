#!/bin/sh
# Installs the Debian packages given as arguments if any of them is missing.
set -eu

missing=""
for package in "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
    | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0

sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing
