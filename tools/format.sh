#!/usr/bin/env bash
# Formats the C++ sources; with --check it only reports what would change.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=-i
[ "${1:-}" != --check ] || mode='--dry-run -Werror'
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' |
  grep -v '\.pb\.' |
  # shellcheck disable=SC2086
  xargs -r clang-format $mode
