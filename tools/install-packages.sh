#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < tools/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0

sudo=()
[ "$(id -u)" = 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -q --no-install-recommends "${missing[@]}"
