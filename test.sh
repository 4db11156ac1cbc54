#!/usr/bin/env bash
# Builds the project and runs all tests. Installs missing packages first.
set -euo pipefail
cd "$(dirname "$0")"

tools/install-packages.sh
tools/run-tests.sh
